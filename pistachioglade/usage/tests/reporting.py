"""Entries that report usage to a simulated platform, on a virtual clock."""

from __future__ import annotations

import asyncio
import json
from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import Any, Final

import attrs

from ...decisions import ReportTerms
from ...errors import ErrorKind, Refusal, refuse
from ...http1 import Fields, Response, first_field
from ...leases import DUTY_LEASE_KIND, Duty, Lease, LeaseTerms
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
    # Fencing token.
    token: int
    # Window, as its number since the start.
    window: int
    # Counts by account.
    counts: dict[str, int]


class PlatformApi:
    """Stand-in for the platform's API, as the connection pool of every entry."""

    def __init__(self, checks_fences: bool) -> None:
        self._checks_fences = checks_fences
        self._highest_token = 0
        # Status of all answers; None while the API works.
        self.status: int | None = None
        # Whether no call is answered, or carried out.
        self.is_silent = False
        # Delays of following calls that get no answer and are carried out later.
        self.late_calls_s: list[float] = []
        self.reports: list[Report] = []
        self._late: set[asyncio.Task[int]] = set()

    async def request(self, fields: Fields, body: bytes) -> Response:
        await asyncio.sleep(0.005)
        if self.is_silent:
            await asyncio.sleep(3600.0)
        if self.status is not None:
            return Response(self.status)
        if self.late_calls_s:
            work = self._accept_late(fields, body, self.late_calls_s.pop(0))
            task = asyncio.create_task(work)
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(3600.0)
        return Response(self._accept(fields, body))

    async def _accept_late(self, fields: Fields, body: bytes, delay_s: float) -> int:
        await asyncio.sleep(delay_s)
        return self._accept(fields, body)

    def _accept(self, fields: Fields, body: bytes) -> int:
        token = int(first_field(fields, names.FENCING_TOKEN) or 0)
        if self._checks_fences and token < self._highest_token:
            return 409
        self._highest_token = max(token, self._highest_token)
        sent = json.loads(body)
        holder = first_field(fields, names.DUTY_HOLDER) or ""
        window = sent["window-number"] - TERMS.window_at(START_UNIX_S)
        self.reports.append(Report(now_s(), holder, token, window, sent["counts"]))
        return 200


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
            self,  # type: ignore[arg-type]
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
        self.api = PlatformApi(checks_fences)
        nodes = [f"entry-{number}-{'abc'[number % 3]}" for number in range(size)]
        self.listed = set(nodes)
        self.entries: dict[str, ReportingEntry] = {}
        for node in nodes:
            self.entries[node] = ReportingEntry(node, self)
        # True number of begun requests by window, as its number since the start.
        self.truth: defaultdict[int, Counter[str]] = defaultdict(Counter)

    @property
    def holder(self) -> ReportingEntry:
        """The entry that reported last."""
        return self.entries[self.api.reports[-1].holder]

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
        """Check that reports agree, tokens ascend, and holders don't take turns."""
        by_window: dict[int, dict[str, int]] = {}
        by_token: dict[int, str] = {}
        for report in self.api.reports:
            assert by_window.setdefault(report.window, report.counts) == report.counts
            assert by_token.setdefault(report.token, report.holder) == report.holder
        for first, second, third in _triples(self.api.reports):
            if first.holder == third.holder != second.holder:
                assert third.at_s - first.at_s >= LEASE_S, (first, second, third)

    def wrong_windows(self, last: int) -> list[int]:
        """Return the windows up to ``last`` that were reported late, off or not at all.

        The first window is left out: entries start in it.
        """
        right = {
            report.window
            for report in self.api.reports
            if report.counts == dict(self.truth[report.window])
            and report.at_s <= (report.window + 1) * TERMS.window_s + TERMS.delay_s
        }
        return [window for window in range(1, last + 1) if window not in right]


def _triples(reports: list[Report]) -> list[tuple[Report, Report, Report]]:
    """Return for each change of holder and back the reports that enclose it."""
    return [
        (reports[i], reports[j], reports[k])
        for i in range(len(reports))
        for j in range(i + 1, len(reports))
        for k in range(j + 1, len(reports))
    ]
