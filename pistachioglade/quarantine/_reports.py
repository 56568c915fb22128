"""Reports crashes that the store doesn't hold yet to the other entries."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable
from itertools import islice, product
from typing import Final

import attrs

from ..decisions import report_delay_s
from ..logs import logger
from ._ledger import CrashLedger

#: Interval at which unacknowledged reports are repeated and new entries are looked for.
_REPEAT_INTERVAL_S: Final = 0.25
#: Maximum number of unanswered reports to an entry whose last report was acknowledged.
_MAX_IN_FLIGHT: Final = 64
#: Maximum number of unanswered reports to an entry that hasn't acknowledged its last
#: report. If its link is not open, each of them makes another attempt to open it.
_MAX_IN_FLIGHT_UNPROVEN: Final = 4
#: Time without an acknowledgement after which callers no longer wait for an entry. A
#: link that fails for a moment is open again by then.
_LOST_AFTER_S: Final = 1.0
#: Maximum number of entries that a log line names.
_MAX_LOGGED_ENTRIES: Final = 8

#: Sends a request's digest and its crashed instances to the named entry; returns
#: whether the entry acknowledged them.
SendReport = Callable[[str, str, frozenset[str]], Awaitable[bool]]
#: Returns an object that identifies the open connection to the named entry; None if
#: there is none.
FindConnection = Callable[[str], object | None]


def _no_connection(entry: str) -> None:
    """Return None; used where the entries' processes aren't replaced."""


@attrs.define(eq=False)
class _Peer:
    """Another entry, and what it has acknowledged."""

    # Digests of the requests to report, in order.
    pending: dict[str, None] = attrs.field(factory=dict)
    # Crashed instances that the entry has acknowledged, by request digest.
    acknowledged: dict[str, frozenset[str]] = attrs.field(factory=dict)
    # Connection over which the entry sent the last acknowledgement.
    connection: object | None = None
    # Number of reports without an answer yet.
    in_flight: int = 0
    # Whether the last report was acknowledged.
    is_reachable: bool = False
    # Monotonic time of the first failure since the last acknowledgement, in seconds;
    # None if there was none.
    failing_since_s: float | None = None

    @property
    def has_capacity(self) -> bool:
        """Whether another report may be sent now."""
        limit = _MAX_IN_FLIGHT if self.is_reachable else _MAX_IN_FLIGHT_UNPROVEN
        return self.in_flight < limit

    def record_outcome(self, is_acknowledged: bool, now_s: float) -> None:
        """Record whether the entry acknowledged a report."""
        self.is_reachable = is_acknowledged
        if is_acknowledged:
            self.failing_since_s = None
        elif self.failing_since_s is None:
            self.failing_since_s = now_s

    def is_lost(self, now_s: float) -> bool:
        """Whether callers no longer wait for the entry."""
        since_s = self.failing_since_s
        return since_s is not None and now_s - since_s >= _LOST_AFTER_S

    def knows(self, digest: str, instances: frozenset[str]) -> bool:
        """Whether the entry has acknowledged these crashes."""
        return instances <= self.acknowledged.get(digest, frozenset())

    def report_again(self, digests: Iterable[str]) -> None:
        """Report requests again, since the entry's process may have been replaced."""
        self.acknowledged.clear()
        self.pending |= dict.fromkeys(digests)


class CrashReports:
    """Reports unstored crashes to each other entry until the entry acknowledges them.

    An entry that doesn't know of the crashes sends the request to further instances.
    While the store is down, only these reports tell it.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        entry_names: Callable[[], Collection[str]],
        send: SendReport,
        find_connection: FindConnection = _no_connection,
    ) -> None:
        self._ledger = ledger
        # Returns the names of the other entries that may serve callers.
        self._entry_names = entry_names
        self._send = send
        self._find_connection = find_connection
        self._log = logger(__name__)
        self._peers: dict[str, _Peer] = {}
        # Requests with reported crashes that the store may not hold yet.
        self._reported: set[str] = set()
        self._has_reported = asyncio.Event()
        # Reports without an answer yet.
        self._sending: set[asyncio.Task[None]] = set()
        # Events that wake the waits for a request's crashes to be shared, by digest.
        self._progress: dict[str, asyncio.Event] = {}
        ledger.on_crash.append(self._schedule_report)
        ledger.on_settled.append(self._notify_waiters)
        ledger.wait_until_shared = self.wait_until_shared

    def _schedule_report(self, digest: str) -> None:
        """Report a request's crashes as soon as they are due."""
        record = self._ledger.find(digest)
        delay_s = report_delay_s(0 if record is None else len(record.instances))
        if delay_s > 0.0:
            asyncio.get_running_loop().call_later(delay_s, self._report, digest)
        else:
            self._report(digest)

    def _report(self, digest: str) -> None:
        if not self._ledger.unstored_instances(digest):
            return
        self._reported.add(digest)
        self._has_reported.set()
        self._update_peers()
        for name, peer in self._peers.items():
            peer.pending[digest] = None
            self._send_pending(name, peer)
        if self._is_shared(digest):
            self._notify_waiters(digest)

    def _update_peers(self) -> None:
        """Follow the list of entries; a newly listed entry gets all reports."""
        names = self._entry_names()
        self._peers = {
            name: self._peers.get(name) or _Peer(dict.fromkeys(self._reported))
            for name in names
        }

    def _send_pending(self, name: str, peer: _Peer) -> None:
        while peer.pending and peer.has_capacity:
            digest = next(iter(peer.pending))
            del peer.pending[digest]
            record = self._ledger.find(digest)
            unstored = self._ledger.unstored_instances(digest)
            if record is None or peer.knows(digest, unstored):
                continue
            peer.in_flight += 1
            work = self._send_one(name, peer, digest, record.instances)
            task = asyncio.get_running_loop().create_task(work)
            self._sending.add(task)
            task.add_done_callback(self._finish)

    async def _send_one(
        self, name: str, peer: _Peer, digest: str, instances: frozenset[str]
    ) -> None:
        is_acknowledged = False
        try:
            is_acknowledged = await self._send(name, digest, instances)
        finally:
            peer.in_flight -= 1
            peer.record_outcome(is_acknowledged, asyncio.get_running_loop().time())
            if is_acknowledged:
                known = peer.acknowledged.get(digest, frozenset())
                peer.acknowledged[digest] = known | instances
                peer.connection = self._find_connection(name)
            else:
                peer.pending[digest] = None
            self._notify_waiters(digest)
        if is_acknowledged:
            self._send_pending(name, peer)
        if is_acknowledged and self._is_shared(digest):
            self._log.info(
                "crashes-shared",
                request_digest=digest,
                crashes=len(instances),
                entries=sum(item.is_reachable for item in self._peers.values()),
                unreachable=sum(not item.is_reachable for item in self._peers.values()),
            )

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._sending.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            # The next repetition sends the report again.
            self._log.error("crash-report-failed", exc_info=error)

    async def run(self) -> None:
        """Repeat unacknowledged reports until the store holds the crashes, forever."""
        while True:
            await self._has_reported.wait()
            await asyncio.sleep(_REPEAT_INTERVAL_S)
            self._drop_stored()
            self._update_peers()
            for name, peer in self._peers.items():
                connection = self._find_connection(name)
                if peer.acknowledged and connection is not peer.connection:
                    # Once all reports are acknowledged, none fails any more. Only the
                    # lost connection shows that the process may have been replaced.
                    peer.report_again(self._reported)
                self._send_pending(name, peer)

    def _drop_stored(self) -> None:
        stored = {
            digest
            for digest in self._reported
            if not self._ledger.unstored_instances(digest)
        }
        self._reported -= stored
        for peer, digest in product(self._peers.values(), stored):
            peer.pending.pop(digest, None)
            peer.acknowledged.pop(digest, None)
        if not self._reported:
            self._has_reported.clear()
            # An earlier failure of an entry says nothing about the next outage.
            self._peers = {}

    def _notify_waiters(self, digest: str) -> None:
        progress = self._progress.pop(digest, None)
        if progress is not None:
            progress.set()

    def _is_shared(self, digest: str) -> bool:
        """Whether the store or each entry that isn't lost holds a request's crashes."""
        unstored = self._ledger.unstored_instances(digest)
        if not unstored:
            return True
        now_s = asyncio.get_running_loop().time()
        return digest in self._reported and all(
            peer.knows(digest, unstored) or peer.is_lost(now_s)
            for peer in self._peers.values()
        )

    def _uninformed_entries(self, digest: str) -> list[str]:
        """Return some entries that have not acknowledged a request's crashes."""
        unstored = self._ledger.unstored_instances(digest)
        names = (
            name
            for name, peer in self._peers.items()
            if not peer.knows(digest, unstored)
        )
        return list(islice(names, _MAX_LOGGED_ENTRIES))

    async def wait_until_shared(self, digest: str, timeout_s: float) -> None:
        """Wait until the store or each entry that answers holds a request's crashes.

        Returns after ``timeout_s`` at the latest.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not self._is_shared(digest):
                    await self._progress.setdefault(digest, asyncio.Event()).wait()
        except TimeoutError:
            self._log.info(
                "crashes-not-shared",
                request_digest=digest,
                waited_s=round(timeout_s, 3),
                entries=self._uninformed_entries(digest),
            )
