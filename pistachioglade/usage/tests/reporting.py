"""Entries that report usage to a simulated platform, on a virtual clock."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import Any, Final

import attrs

from ...decisions import ReportTerms
from ...errors import ErrorKind, Refusal, refuse
from ...http1 import Fields, Response
from ...leases import DUTY_LEASE_KIND, Duty, Lease, LeaseTerms, PlatformApi
from ...leases.tests.fenced_api import FencedApi
from ...messages import AskDuty, FetchUsage, UsageCounted, UsageReported
from ...metrics import Metrics
from ...platform import names
from ...store.tests.conditional import ConditionalStore
from ...store.tests.scripted import now_s
from .. import (
    Clock,
    UsageCollector,
    UsageCopies,
    UsageCounters,
    UsageMeter,
    UsageReporter,
)

TERMS: Final = ReportTerms(5.0, 10.0)
LEASE_S: Final = 3.0
#: Time of day at the start of the virtual clock: the start of a window.
START_UNIX_S: Final = 1_000_000.0
ACCOUNTS: Final = ("a0", "a1", "a2")


@attrs.frozen
class Report:
    """A report that the platform has accepted."""

    # Virtual time of the acceptance, in seconds.
    at_s: float
    # Node that sent the report.
    holder: str
    # Window, as its number since the start.
    window: int
    # Counts by account.
    counts: dict[str, int]


class ReportingEntry:
    """An entry whose calls hang while it is frozen or cut off."""

    host = "api"
    port = 1

    def __init__(self, node: str, fleet: ReportingFleet) -> None:
        self.node = node
        self._fleet = fleet
        # Seconds by which the entry's clock is ahead at its start.
        self.clock_error_s = 0.0
        self.reaches_store = self.reaches_api = self.reaches_entries = True
        self._is_awake = asyncio.Event()
        self._is_awake.set()
        self._boots = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.is_running = False
        self.start()

    def start(self) -> None:
        """Start the entry's process, without its counters of before."""
        self._boots += 1
        # Whether requests begin here.
        self.is_serving = True
        clock = Clock(now_s, lambda: START_UNIX_S + self.clock_error_s + now_s())
        counters = UsageCounters(f"{self.node}#{self._boots}", TERMS.kept_windows)
        self.meter = UsageMeter(counters, clock, TERMS)
        self.copies = UsageCopies(self, self, counters)  # type: ignore[arg-type]
        self.collector = UsageCollector(
            self,
            self,  # type: ignore[arg-type]
            counters,
            clock,
            TERMS,
        )
        terms = LeaseTerms(
            DUTY_LEASE_KIND,
            "usage",
            LEASE_S,
            self._fleet.checks_fences,
            may_call_at_once=True,
        )
        lease = Lease(
            self,  # type: ignore[arg-type]
            terms,
            self.node,
            str(self._boots),
        )
        self.duty = Duty(
            "usage",
            self,
            self,  # type: ignore[arg-type]
            lease,
        )
        self.reporter = UsageReporter(
            self,
            self,  # type: ignore[arg-type]
            PlatformApi(self),  # type: ignore[arg-type]
            self.duty,
            TERMS,
            self.collector,
            counters,
            clock,
            Metrics(),
        )
        self.is_running = True
        self._tasks = [
            asyncio.create_task(self.copies.run()),
            asyncio.create_task(self.reporter.run()),
        ]

    def kill(self) -> None:
        self.is_running = self.is_serving = False
        for task in self._tasks:
            task.cancel()

    async def freeze(self, duration_s: float) -> None:
        self._is_awake.clear()
        await asyncio.sleep(duration_s)
        self._is_awake.set()

    # The list of entries.

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(sorted(self._fleet.listed))

    @property
    def domains(self) -> Mapping[str, str]:
        return {name: name[-1] for name in self.names}

    def address_of_node(self, node: str) -> str:
        return node if node in self._fleet.listed else ""

    # Links.

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        try:
            async with asyncio.timeout(timeout_s):
                await self._is_awake.wait()
                await asyncio.sleep(0.002)
                other = self._fleet.entries.get(address)
                if other is None or not other.is_running:
                    return refuse(ErrorKind.LINK_NOT_OPEN, "no such entry")
                if not (self.reaches_entries and other.reaches_entries):
                    await asyncio.sleep(3600.0)
                answer = await other.answer(message)
                await self._is_awake.wait()
                return answer
        except TimeoutError:
            return refuse(ErrorKind.DEADLINE_EXCEEDED, "no answer")

    async def answer(self, message: Any) -> Any:
        await self._is_awake.wait()
        answers = {
            UsageCounted: self.copies.answer,
            FetchUsage: self.collector.answer,
            UsageReported: self.reporter.record_reported,
            AskDuty: lambda _message: self.duty.answer(),
        }
        return answers[type(message)](message)  # type: ignore[operator]

    # The store.

    async def create(self, *arguments: Any) -> Any:
        await self._is_awake.wait()
        if not self.reaches_store:
            await asyncio.sleep(1.0)
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")
        answer = await self._fleet.store.create(*arguments)
        await self._is_awake.wait()
        return answer

    async def replace(self, *arguments: Any) -> Any:
        await self._is_awake.wait()
        if not self.reaches_store:
            await asyncio.sleep(1.0)
            return refuse(ErrorKind.PLATFORM_UNCERTAIN, "no answer")
        answer = await self._fleet.store.replace(*arguments)
        await self._is_awake.wait()
        return answer

    # The platform's API.

    async def request(
        self, method: str, path: str, fields: Fields, body: bytes, timeout_s: float
    ) -> Response | Refusal:
        assert (method, path) == ("POST", names.USAGE_PATH)
        async with asyncio.timeout(timeout_s):
            await self._is_awake.wait()
            if not self.reaches_api:
                await asyncio.sleep(3600.0)
            answer = await self._fleet.api.request(fields, body)
            await self._is_awake.wait()
            return answer


class ReportingFleet:
    """Entries that report to one platform, and the true counts."""

    def __init__(self, size: int = 5, checks_fences: bool = True) -> None:
        self.checks_fences = checks_fences
        self.store = ConditionalStore()
        self.api = FencedApi(lambda _body: "usage", checks_fences)
        nodes = [f"entry-{number}-{'abc'[number % 3]}" for number in range(size)]
        self.listed = set(nodes)
        self.entries: dict[str, ReportingEntry] = {}
        for node in nodes:
            self.entries[node] = ReportingEntry(node, self)
        # True number of begun requests by window, as its number since the start.
        self.truth: defaultdict[int, Counter[str]] = defaultdict(Counter)

    @property
    def reports(self) -> list[Report]:
        """The reports that the platform has accepted."""
        first = TERMS.window_at(START_UNIX_S)
        return [
            Report(
                call.at_s,
                call.holder,
                call.body["window-number"] - first,
                call.body["counts"],
            )
            for call in self.api.accepted
        ]

    @property
    def holder(self) -> ReportingEntry:
        """The entry that reported last."""
        return self.entries[self.reports[-1].holder]

    async def serve(self, until_s: float) -> None:
        """Begin requests of all accounts at all entries, a few a second."""
        for number in range(10**6):
            if now_s() >= until_s:
                return
            node = sorted(self.entries)[number % len(self.entries)]
            entry = self.entries[node]
            if entry.is_serving:
                account = ACCOUNTS[number % len(ACCOUNTS)]
                self.truth[int(now_s() // TERMS.window_s)][account] += 1
                entry.meter.count(account, entry.meter.begun_s())
            await asyncio.sleep(0.137)

    async def lose(self, node: str, unlisted_after_s: float = 2.0) -> None:
        """Kill an entry; it leaves the list somewhat later."""
        self.entries[node].kill()
        await asyncio.sleep(unlisted_after_s)
        self.listed.discard(node)

    def stop(self) -> None:
        for entry in self.entries.values():
            entry.kill()

    def assert_safe(self) -> None:
        """Check that reports agree, and that holders take no turns."""
        by_window: dict[int, dict[str, int]] = {}
        for report in self.reports:
            assert by_window.setdefault(report.window, report.counts) == report.counts
        self.api.assert_turns(LEASE_S)

    def wrong_windows(self, last: int) -> list[int]:
        """Return the windows up to ``last`` that were reported late, off or not at all.

        The first window is left out: entries start in it.
        """
        right = {
            report.window
            for report in self.reports
            if report.counts == dict(self.truth[report.window])
            and report.at_s <= (report.window + 1) * TERMS.window_s + TERMS.delay_s
        }
        return [window for window in range(1, last + 1) if window not in right]
