"""Decides whether a failed request may be tried again."""

from __future__ import annotations

from typing import Final

from ..errors import ErrorKind, Refusal

#: Retries that are allowed before any first try is counted.
_INITIAL_TOKENS: Final = 3.0
#: Maximum number of unused retries.
_MAX_TOKENS: Final = 50.0
#: Minimum time left for another try.
_MIN_REMAINING_S: Final = 0.05

#: Consecutive answers with a possible internal fault from which a request isn't sent
#: again. A fault that recurs at each try doesn't go away at another try, and the caller
#: gets no answer meanwhile.
_MAX_FAULTS_IN_ROW: Final = 4

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


#: Internal faults from which a sample is given up. Several agents have tried the sample
#: by then, so that the sample itself causes the fault.
_MAX_SAMPLE_FAULTS: Final = 8


class RetryBudget:
    """Limits retries to a fixed fraction of the first tries."""

    def __init__(self, percent: int) -> None:
        self._ratio = percent / 100.0
        self._tokens = _INITIAL_TOKENS

    def count_first_try(self) -> None:
        """Count a first try."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._ratio)

    @property
    def has_retry(self) -> bool:
        """Whether a retry is left."""
        return self._tokens >= 1.0

    def spend_retry(self) -> bool:
        """Use one retry of the budget; return False if the budget is used up."""
        if not self.has_retry:
            return False
        self._tokens -= 1.0
        return True


def may_retry(refusal: Refusal, idempotent: bool, remaining_s: float) -> bool:
    """Return whether a request may go to another instance after ``refusal``."""
    if refusal.kind in _FINAL_KINDS or remaining_s < _MIN_REMAINING_S:
        return False
    return refusal.did_not_run or idempotent


def may_resend(refusal: Refusal, faults_in_row: int) -> bool:
    """Return whether a trainer's request may be sent again unchanged.

    ``faults_in_row`` is the number of consecutive answers, up to this refusal, that
    report an internal fault. A step that isn't open has to be opened before a request
    for the step is sent again.
    """
    if refusal.retry_after_s is None or refusal.kind is ErrorKind.UNKNOWN_STEP:
        return False
    return faults_in_row < _MAX_FAULTS_IN_ROW


def should_give_up_sample(faults: int) -> bool:
    """Return whether a sample with this number of internal faults is given up.

    Other failures come from an engine or a link and may be temporary.
    """
    return faults >= _MAX_SAMPLE_FAULTS
