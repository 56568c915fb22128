"""Reports each window's usage once, at whichever entry holds the duty."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final

from ..decisions import ReportTerms
from ..errors import ErrorKind, Refusal
from ..leases import Duty, Entries, PlatformApi
from ..links import LinkPool
from ..logs import logger
from ..messages import Acknowledged, UsageReported
from ..metrics import Metrics
from ..platform import usage_call
from ._clock import Clock
from ._collector import UsageCollector
from ._counters import UsageCounters
from ._ledger import LedgerEntry, ReportLedger, decode_ledger

_LINK_TIMEOUT_S: Final = 0.5
#: Longest sleep between two looks at the list of entries and at others' reports.
_MAX_SLEEP_S: Final = 1.0
#: Pause after a report that failed.
_RETRY_PAUSE_S: Final = 0.3
#: Windows for which an entry leaves the duty to others after it has given up.
_REST_WINDOWS: Final = 2


class UsageReporter:
    """Reports windows in their order, while this entry is first for the duty."""

    def __init__(
        self,
        entries: Entries,
        links: LinkPool,
        api: PlatformApi,
        duty: Duty,
        terms: ReportTerms,
        collector: UsageCollector,
        counters: UsageCounters,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._entries = entries
        self._links = links
        self._api = api
        self._duty = duty
        self._terms = terms
        self._collector = collector
        self._counters = counters
        self._clock = clock
        self._metrics = metrics
        self._log = logger(__name__)
        # First window that isn't known to be reported. An earlier process may have left
        # windows that are not due yet.
        self._next_window = terms.window_at(clock.now_s() - terms.delay_s)
        # Time of day of the first of the failures in a row; None after a success.
        self._failing_since_s: float | None = None

    async def run(self) -> None:
        """Report windows as they fall to this entry, until cancelled."""
        while True:
            rank = self._duty.rank
            if rank is None:
                await asyncio.sleep(_MAX_SLEEP_S)
                continue
            await self._prepare(rank)
            window = self._next_window
            wait_s = self._terms.report_s(window, rank) - self._clock.now_s()
            if wait_s > 0.0:
                await asyncio.sleep(min(wait_s, _MAX_SLEEP_S))
                continue
            if self._terms.is_overdue(window, self._clock.now_s()):
                self._finish(window, "missed")
                continue
            refusal = await self._report(window)
            if refusal is None:
                self._failing_since_s = None
            else:
                await self._handle_failure(window, refusal)

    async def _prepare(self, rank: int) -> None:
        """Take the lease before it is needed, if its last holder has left the list."""
        if rank == 0 and self._duty.last_holder not in (self._entries.node, ""):
            await self._duty.acquire()

    async def _report(self, window: int) -> Refusal | None:
        """Report a window; return why that failed, or None."""
        refusal = await self._duty.acquire()
        if refusal is not None:
            return refusal
        ledger = self._read_ledger()
        entry = ledger.entries.get(window)
        if entry is None and window <= ledger.newest:
            # Windows are recorded in their order: this one was given up, or reported so
            # long ago that the ledger has forgotten its counts.
            self._finish(window, "missed")
            return None
        if entry is None:
            entry = await self._count(window)
            ledger = ledger.with_entry(window, entry)
            self._duty.payload = ledger.encode()
        if not entry.is_acknowledged:
            refusal = await self._send(window, entry.counts)
            if refusal is not None:
                return refusal
            self._duty.payload = ledger.acknowledged(window).encode()
        self._duty.last_holder = self._entries.node
        self._finish(window, "late" if self._is_late(window) else "reported")
        await self._announce(window)
        return None

    def _is_late(self, window: int) -> bool:
        return self._clock.now_s() > self._terms.due_s(window)

    def _read_ledger(self) -> ReportLedger:
        """Return the ledger of the lease.

        With a ledger that can't be read, windows that may have been reported are never
        reported again.
        """
        ledger = decode_ledger(self._duty.payload)
        if ledger is not None:
            return ledger
        self._log.error("usage-ledger-unreadable", window=self._next_window)
        reported = LedgerEntry({}, is_acknowledged=True)
        current = self._terms.window_at(self._clock.now_s())
        ledger = ReportLedger({current - 1: reported})
        self._duty.payload = ledger.encode()
        return ledger

    async def _count(self, window: int) -> LedgerEntry:
        missing = await self._collector.collect(window)
        counts = self._counters.total(window)
        self._log.info(
            "usage-counted",
            window=window,
            requests=sum(counts.values()),
            accounts=len(counts),
            runs={
                run: sum(known.values())
                for run, known in self._counters.known(window).items()
            },
            missing=missing,
        )
        return LedgerEntry(counts)

    async def _send(self, window: int, counts: Mapping[str, int]) -> Refusal | None:
        token = await self._duty.obtain_token(self._terms.window_s)
        if isinstance(token, Refusal):
            return token
        call = usage_call(window, counts, self._entries.node, token)
        refusal = await self._api.make(call)
        self._log.info(
            "usage-sent",
            window=window,
            token=token,
            outcome="accepted" if refusal is None else refusal.reason,
        )
        if refusal is not None and refusal.kind is ErrorKind.FENCED:
            self._duty.mark_lost(self._terms.window_s)
        return refusal

    async def _handle_failure(self, window: int, refusal: Refusal) -> None:
        """Pause after a failed report; leave the duty to another entry at length."""
        now_s = self._clock.now_s()
        self._log.info(
            "usage-not-reported",
            window=window,
            kind=refusal.kind.value,
            reason=refusal.reason,
        )
        if refusal.kind is ErrorKind.BAD_REQUEST:
            self._finish(window, "refused")
            return
        # Another holder, and the wait of a new holder for its first call, are not
        # failures: leaving the duty would only start the next entry's wait.
        is_turn = refusal.kind in (ErrorKind.CONFLICT, ErrorKind.FENCED)
        if self._failing_since_s is None or is_turn:
            self._failing_since_s = now_s
        if now_s - self._failing_since_s > self._terms.give_up_after_s:
            self._failing_since_s = None
            self._log.warning("duty-left", window=window, reason=refusal.reason)
            await self._duty.leave(_REST_WINDOWS * self._terms.window_s)
            return
        wait_s = refusal.retry_after_s if refusal.kind is ErrorKind.FENCED else None
        await asyncio.sleep(min(_MAX_SLEEP_S, max(_RETRY_PAUSE_S, wait_s or 0.0)))

    def _finish(self, window: int, outcome: str) -> None:
        """Record the end of a window's report."""
        self._metrics.record_usage_window(outcome)
        self._log.info("usage-window-ended", window=window, outcome=outcome)
        self._next_window = max(self._next_window, window + 1)

    async def _announce(self, window: int) -> None:
        """Tell the entries that would take the duty over."""
        message = UsageReported(window, self._entries.node)
        await asyncio.gather(
            *(
                self._links.call(
                    self._entries.address_of_node(name), message, _LINK_TIMEOUT_S
                )
                for name in self._duty.order
                if name != self._entries.node
            )
        )

    def record_reported(self, message: UsageReported) -> Acknowledged:
        """Record that another entry has reported a window."""
        if message.window >= self._next_window:
            self._next_window = message.window + 1
            self._duty.last_holder = message.holder
        return Acknowledged()

    async def stop(self) -> None:
        """Leave the duty to another entry, before a planned stop."""
        await self._duty.leave(float("inf"))
