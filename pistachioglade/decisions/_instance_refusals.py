"""What an instance's refusal tells, and what follows from it.

The load it answers: a fleet that lost its power reads a list of the engines of before,
at whose addresses other engines answer within a second, while every sample of every
step looks for a place; and engines that refuse one model's samples while they load its
weights, several times a minute each.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Final

#: Time for which an instance isn't used whose address another one answers at: longer
#: than the entry of a silent instance stays listed.
ABSENT_S: Final = 6.0
#: Instances that must be found absent for the list to be read at once.
_MANY_ABSENT: Final = 3
#: Time within which they must be found so.
_TOGETHER_S: Final = 1.0
#: Least time between two such readings.
_READ_AGAIN_S: Final = 1.0


class InstanceRefusal(Enum):
    """Why an instance did not run a request."""

    # Another instance answers at its address.
    ABSENT = "absent"
    # Its weights are not those that the request is tied to.
    OUTDATED = "outdated"
    # It loads the weights of the request's model.
    LOADING = "loading"
    # It has no room.
    FULL = "full"


def kind_of_refusal(
    is_misdirected: bool, names_version: bool, free_slots: int | None
) -> InstanceRefusal:
    """Return what a refusal says.

    ``is_misdirected`` is the answer of an instance that a request isn't for,
    ``names_version`` whether the request is tied to a weight version, ``free_slots``
    the room in the instance's load report; None without one.
    """
    if is_misdirected:
        return InstanceRefusal.OUTDATED if names_version else InstanceRefusal.ABSENT
    if free_slots is not None and free_slots > 0:
        return InstanceRefusal.LOADING
    return InstanceRefusal.FULL


def should_read_list(
    absent_since_s: Iterable[float], last_read_s: float, now_s: float
) -> bool:
    """Whether so many instances are absent that the list must be out of date."""
    recent = sum(1 for since_s in absent_since_s if now_s - since_s < _TOGETHER_S)
    return recent >= _MANY_ABSENT and now_s - last_read_s >= _READ_AGAIN_S
