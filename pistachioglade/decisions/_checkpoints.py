"""When the texts of unfinished samples are saved to the store.

The load it answers: samples of up to 200 events run for seven seconds, and a step waits
for its longest ones; a death of the node that runs them, or of all nodes, would start
these again from nothing, too late for the step's due time.
"""

from __future__ import annotations

from typing import Final

#: Time between two saves: what a death costs of a sample at most. A save is one call
#: to the store for all samples of a job.
CHECKPOINT_INTERVAL_S: Final = 1.5
#: Events that have to be new since the last save, over all samples of a job; fewer are
#: made again in the time of a save.
_LEAST_NEW_EVENTS: Final = 24
#: Events that a sample must have to be saved: a shorter text is made again in a third
#: of a second.
LEAST_SAVED_EVENTS: Final = 8


def should_save(new_events: int, since_last_s: float) -> bool:
    """Return whether a job's texts are saved now."""
    return since_last_s >= CHECKPOINT_INTERVAL_S and new_events >= _LEAST_NEW_EVENTS
