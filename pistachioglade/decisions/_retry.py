"""When a failed request may be tried again."""

from __future__ import annotations

from typing import Final

from ..errors import ErrorKind, Refusal

#: Retries that are allowed before any first try was counted.
_INITIAL_TOKENS: Final = 3.0
#: Most retries that can be saved up.
_MAX_TOKENS: Final = 50.0
#: Least time that must be left for another try.
_MIN_REMAINING_S: Final = 0.05

#: Answers in a row that may be a fault of the program. One that comes back at each try
#: is not mended by a further one, and whoever waits learns nothing meanwhile.
_MOST_FAULTS: Final = 4

_FINAL_KINDS: Final = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.FORBIDDEN,
        ErrorKind.NOT_FOUND,
        ErrorKind.CONFLICT,
        ErrorKind.TOO_LARGE,
        ErrorKind.KEY_SPENT,
        ErrorKind.CANCELLED,
    }
)


#: Times that a sample's making may end in a fault of the program: several agents have
#: tried by then, and the fault is the sample's own.
_MOST_SAMPLE_FAULTS: Final = 8


class RetryBudget:
    """Holds retries to a fixed part of the first tries."""

    def __init__(self, percent: int) -> None:
        self._ratio = percent / 100.0
        self._tokens = _INITIAL_TOKENS

    def first_try(self) -> None:
        """Count a first try."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._ratio)

    def take(self) -> bool:
        """Use one retry, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(refusal: Refusal, idempotent: bool, remaining_s: float) -> bool:
    """Return whether a request may go to another instance after ``refusal``."""
    if refusal.kind in _FINAL_KINDS or remaining_s < _MIN_REMAINING_S:
        return False
    return refusal.did_not_run or idempotent


def may_repeat(refusal: Refusal, faults_in_row: int) -> bool:
    """Return whether a request of a trainer may be sent once more as it is.

    ``faults_in_row`` counts the answers up to this one that were a fault of the
    program. A step that isn't open has to be opened before it is asked of again.
    """
    if refusal.retry_after_s is None or refusal.kind is ErrorKind.UNKNOWN_STEP:
        return False
    return faults_in_row < _MOST_FAULTS


def is_sample_hopeless(faults: int) -> bool:
    """Return whether a sample is made no more, after so many faults of the program.

    Other failures are trouble of an engine or a link, which may pass.
    """
    return faults >= _MOST_SAMPLE_FAULTS
