"""When the texts of unlisted samples are saved to the store.

The load it answers: samples of up to 200 events run for seven seconds of a step's 7.5,
and a step waits for its longest ones. What the death of the node that runs them costs
of such a sample comes on top, and delays the steps behind it.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import Final, TypeVar

Sample = TypeVar("Sample", bound=Hashable)

#: Least time between two saves of a job, and so what a death costs of a sample at most.
_LEAST_INTERVAL_S: Final = 0.4
#: Longest such time.
_LONGEST_INTERVAL_S: Final = 1.5
#: Bytes of texts that a job may save in a second: a small part of a small link.
_BYTES_PER_S: Final = 800_000
#: Events by which the samples of a save have to differ from the last one, together;
#: fewer are made again in the time of a save.
_LEAST_CHANGED_EVENTS: Final = 6
#: Events that a sample must have to be saved: a shorter text is made again within a
#: second, long before the step's longest sample has gone on to its end.
LEAST_SAVED_EVENTS: Final = 24


def save_interval_s(last_bytes: int) -> float:
    """Return the time to the next save after one of so many bytes."""
    wanted_s = last_bytes / _BYTES_PER_S
    return min(_LONGEST_INTERVAL_S, max(_LEAST_INTERVAL_S, wanted_s))


def should_save(
    saved_events: Mapping[Sample, int], events: Mapping[Sample, int]
) -> bool:
    """Return whether texts differ enough from those of the last save.

    Both map each sample to the events of its text. Samples count one by one: the sum
    over a full object stays the same while all its texts grow and the shorter ones no
    longer fit.
    """
    changed = sum(
        abs(events.get(sample, 0) - saved_events.get(sample, 0))
        for sample in saved_events.keys() | events.keys()
    )
    return changed >= _LEAST_CHANGED_EVENTS
