"""Which finished steps an owner keeps, for a trainer that asks of them again."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

#: Finished and written steps that are kept, for a trainer that goes back to its
#: checkpoint and opens one of them again.
_KEPT_STEPS: Final = 2


@attrs.frozen
class FinishedStep:
    """A step of which the trainer has taken every sample."""

    # Number of the step.
    step: int
    # Whether its record, as it is now, is in the object API.
    is_recorded: bool


def steps_to_forget(finished: Iterable[FinishedStep]) -> tuple[int, ...]:
    """Return the finished steps that an owner may forget.

    Only a recorded one is forgotten. One that is opened again to have it recorded, or
    that waits while the object API is away, is the oldest of all, and its trainer has
    to be told when it is written.
    """
    recorded = sorted(item.step for item in finished if item.is_recorded)
    return tuple(recorded[:-_KEPT_STEPS])
