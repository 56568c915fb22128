"""Which finished steps an owner keeps for a trainer that opens a step again."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

#: Finished and recorded steps that are kept for a trainer that returns to its
#: checkpoint and opens a step again.
_MAX_RECORDED_STEPS: Final = 2


@attrs.frozen
class FinishedStep:
    """A step whose samples the trainer has all receipted."""

    # Number of the step.
    step: int
    # Whether the current record of the step is stored in the object API.
    is_recorded: bool


def steps_to_evict(finished: Iterable[FinishedStep]) -> tuple[int, ...]:
    """Return the finished steps that an owner may forget.

    Only a recorded step is forgotten. A step that is opened again to be recorded, or
    that waits while the object API is unavailable, is the oldest of all, and its
    trainer must learn when the record is stored.
    """
    recorded = sorted(item.step for item in finished if item.is_recorded)
    return tuple(recorded[:-_MAX_RECORDED_STEPS])
