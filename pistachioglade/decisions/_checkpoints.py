"""When partial texts of samples are checkpointed in the store.

Samples of up to 200 events run for seven seconds of a step's 7.5 s, and a step waits
for its longest samples. When the node that runs such a sample crashes, repeating the
text since the last checkpoint delays the step and the steps after it.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import Final, TypeVar

Sample = TypeVar("Sample", bound=Hashable)

#: Shortest interval between two checkpoints. At this interval, a crash loses at most as
#: much work on a sample.
_MIN_INTERVAL_S: Final = 0.4
#: Longest interval between two checkpoints.
_MAX_INTERVAL_S: Final = 1.5
#: Rate of checkpoint writes, in bytes per second: a small fraction of a small link.
_BYTES_PER_S: Final = 800_000
#: Total events by which the samples must differ from the last checkpoint. Fewer events
#: are repeated in the time that a checkpoint takes.
_MIN_CHANGED_EVENTS: Final = 6
#: Events that a sample needs to be checkpointed. A shorter text is repeated within a
#: second, long before the step's longest sample ends.
MIN_CHECKPOINT_EVENTS: Final = 24


def checkpoint_interval_s(last_bytes: int) -> float:
    """Return the time to the next checkpoint after a checkpoint of ``last_bytes``."""
    wanted_s = last_bytes / _BYTES_PER_S
    return min(_MAX_INTERVAL_S, max(_MIN_INTERVAL_S, wanted_s))


def should_checkpoint(
    saved_events: Mapping[Sample, int], events: Mapping[Sample, int]
) -> bool:
    """Return whether texts differ enough from those of the last checkpoint.

    Both arguments map each sample to the number of events of its text. The differences
    are summed sample by sample: the total number of events in a full object stays the
    same while its texts grow and the shorter texts stop fitting.
    """
    changed = sum(
        abs(events.get(sample, 0) - saved_events.get(sample, 0))
        for sample in saved_events.keys() | events.keys()
    )
    return changed >= _MIN_CHANGED_EVENTS
