"""Times of an entry's planned stop, between the SIGTERM and the SIGKILL."""

from __future__ import annotations

from typing import Final

import attrs

#: Time that the platform needs to remove a node from rotation, in seconds: two failed
#: readiness checks, a second apart, and an answer.
_ROTATION_EXIT_S: Final = 2.3
#: Longest time from the end of the wait for requests until the SIGKILL, in seconds. The
#: process writes its last log lines and ends within it.
_EXIT_S: Final = 0.5
#: The same as a fraction of the grace period, for short ones. The platform allows
#: requests to be cut off in the last sixth only.
_EXIT_FRACTION: Final = 1.0 / 12.0
#: Longest time in which refused requests get their answers, in seconds.
_REFUSAL_S: Final = 0.2
#: The same as a fraction of the grace period, for short ones.
_REFUSAL_FRACTION: Final = 1.0 / 24.0


@attrs.frozen
class StopTimes:
    """Times of a planned stop, in seconds after its start."""

    # The entry accepts no more connections and closes idle ones.
    rotation_exit_s: float
    # Requests that still wait for an instance are refused.
    refusal_s: float
    # The process ends, also with requests in progress.
    end_s: float


def stop_times(grace_s: float) -> StopTimes:
    """Return the times of a stop for a grace period, in seconds.

    Requests in progress get all of the grace period but what the process itself needs
    to end.
    """
    end_s = grace_s - min(_EXIT_S, grace_s * _EXIT_FRACTION)
    refusal_s = end_s - min(_REFUSAL_S, grace_s * _REFUSAL_FRACTION)
    return StopTimes(min(_ROTATION_EXIT_S, refusal_s), refusal_s, end_s)
