"""Counts a caller's request once, in the window in which an instance began it."""

from __future__ import annotations

from ..decisions import ReportTerms
from ._clock import Clock
from ._counters import UsageCounters


class UsageMeter:
    """Counts the begun requests of this entry."""

    def __init__(
        self, counters: UsageCounters, clock: Clock, terms: ReportTerms | None
    ) -> None:
        self._counters = counters
        self._clock = clock
        # None if the platform wants no reports.
        self._terms = terms

    def begun_s(self) -> float:
        """Return the time of day, for a request that begins now."""
        return self._clock.now_s()

    def count(self, account: str, begun_s: float) -> None:
        """Count a request that an instance began at a time of day."""
        if self._terms is not None and account:
            self._counters.count(account, self._terms.window_at(begun_s))


class RequestMeter:
    """Follows the tries of one request and counts the request once.

    A try that an instance refused without running it counts for nothing. A try whose
    outcome is unknown counts: the instance has read the request, or has been lost while
    it ran.
    """

    def __init__(self, meter: UsageMeter | None, account: str) -> None:
        self._meter = meter if account else None
        self._account = account
        self._sent_s: float | None = None

    def record_sent(self) -> None:
        """Record that a try is being sent to an instance."""
        if self._meter is not None:
            self._sent_s = self._meter.begun_s()

    def record_end(self, did_not_run: bool) -> None:
        """Record the end of a try; count the request at the first try that ran."""
        if self._meter is None or self._sent_s is None:
            return
        sent_s, self._sent_s = self._sent_s, None
        if not did_not_run:
            self._meter.count(self._account, sent_s)
            self._meter = None

    def close(self) -> None:
        """Count a request whose caller left while an instance was at work."""
        self.record_end(did_not_run=False)
