"""When the texts of unlisted samples are saved to the store.

The load it answers: samples of up to 200 events run for seven seconds of a step's 7.5,
and a step waits for its longest ones. What the death of the node that runs them costs
of such a sample comes on top, and delays the steps behind it.
"""

from __future__ import annotations

from typing import Final

#: Least time between two saves of a job, and so what a death costs of a sample at most.
#: A save is one call for all samples of a job: two and a half calls a second cost less
#: than 0.002 of a day's worth; the half second that a death costs, 0.05 and more
#: (docs/MEASUREMENTS.md, round 11).
_LEAST_INTERVAL_S: Final = 0.4
#: Longest such time.
_LONGEST_INTERVAL_S: Final = 1.5
#: Bytes of texts that a job may save in a second: a fifteenth of a link of 100 Mbit/s.
_BYTES_PER_S: Final = 800_000
#: Events that have to be new since the last save, over all samples of a job; fewer are
#: made again in the time of a save.
_LEAST_NEW_EVENTS: Final = 6
#: Events that a sample must have to be saved: a shorter text is made again within a
#: second, long before the step's longest sample has gone on to its end.
LEAST_SAVED_EVENTS: Final = 24


def save_interval_s(last_bytes: int) -> float:
    """Return the time to the next save after one of so many bytes."""
    wanted_s = last_bytes / _BYTES_PER_S
    return min(_LONGEST_INTERVAL_S, max(_LEAST_INTERVAL_S, wanted_s))


def should_save(new_events: int) -> bool:
    """Return whether a job's texts have grown enough since the last save."""
    return new_events >= _LEAST_NEW_EVENTS
