"""Classifies an instance's refusal and decides on its consequences.

Expected load: after a power loss, a fleet reads a list of the engines from before the
loss. Other engines answer at those addresses within a second, while all samples of all
steps wait for an instance. Besides, engines refuse the samples of one model while they
load its weights, several times a minute each.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Final

#: Time for which an instance isn't used after another instance answered at its address:
#: longer than a silent instance stays on the list.
ABSENT_EXCLUSION_S: Final = 6.0
#: Number of instances found absent from which the list is read again immediately.
_MIN_ABSENT: Final = 3
#: Time within which those instances have to be found absent.
_ABSENCE_WINDOW_S: Final = 1.0
#: Minimum time between two such reads.
_MIN_READ_INTERVAL_S: Final = 1.0


class InstanceRefusal(Enum):
    """Why an instance did not run a request."""

    # Another instance answers at the instance's address.
    ABSENT = "absent"
    # The instance's weights are not the version that the request is pinned to.
    OUTDATED = "outdated"
    # The instance loads the weights of the request's model.
    LOADING = "loading"
    # The instance has no free slot.
    FULL = "full"


def classify_refusal(
    is_misdirected: bool, is_version_pinned: bool, free_slots: int | None
) -> InstanceRefusal:
    """Return the reason for which an instance refused a request.

    ``is_misdirected`` says that the answering instance isn't the addressed one,
    ``is_version_pinned`` that the request is pinned to a weight version. ``free_slots``
    is the number of free slots in the instance's load report; None without a report.
    """
    if is_misdirected:
        return InstanceRefusal.OUTDATED if is_version_pinned else InstanceRefusal.ABSENT
    if free_slots is not None and free_slots > 0:
        return InstanceRefusal.LOADING
    return InstanceRefusal.FULL


def should_read_list(
    absent_since_s: Iterable[float], last_read_s: float, now_s: float
) -> bool:
    """Whether enough instances were found absent to read the list again."""
    recent = sum(1 for since_s in absent_since_s if now_s - since_s < _ABSENCE_WINDOW_S)
    return recent >= _MIN_ABSENT and now_s - last_read_s >= _MIN_READ_INTERVAL_S
