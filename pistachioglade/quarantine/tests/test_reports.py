"""Tests of crash reports to other entries while the store doesn't hold the crashes."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable

import attrs

from ...store.tests.scripted import now_s, run_virtual
from .. import CrashLedger, CrashReports
from .._ledger import StoredCrashes

#: Time that a report and its answer take, in seconds.
_ROUND_TRIP_S = 0.002
#: Time after which an unanswered report has failed, in seconds.
_TIMEOUT_S = 0.5
#: Bound of a wait that is expected to end sooner, in seconds.
_LONG_WAIT_S = 30.0


@attrs.define
class _Entries:
    """The other entries, as the reporting entry reaches them."""

    # Names of the listed entries.
    listed: set[str] = attrs.field(factory=lambda: {"b", "c"})
    # Entries that don't answer.
    silent: set[str] = attrs.field(factory=set)
    # Entries that refuse connections.
    refusing: set[str] = attrs.field(factory=set)
    # Number of sends that raise an error.
    errors: int = 0
    # Time at which an entry got a report, with its crashes, by entry.
    received: defaultdict[str, list[tuple[float, frozenset[str]]]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    # Number of times that an entry's process was replaced, by entry.
    restarts: defaultdict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    # Number of started sends by entry.
    sends: defaultdict[str, int] = attrs.field(factory=lambda: defaultdict(int))

    async def send(self, entry: str, digest: str, instances: frozenset[str]) -> bool:
        self.sends[entry] += 1
        if self.errors:
            self.errors -= 1
            raise ValueError("a fault of the sender")
        if entry in self.refusing:
            return False
        if entry in self.silent:
            await asyncio.sleep(_TIMEOUT_S)
            return False
        await asyncio.sleep(_ROUND_TRIP_S / 2)
        self.received[entry].append((now_s(), instances))
        await asyncio.sleep(_ROUND_TRIP_S / 2)
        return True

    def restart(self, entry: str) -> None:
        """Replace an entry's process, which knows no crashes afterwards."""
        self.received[entry].clear()
        self.restarts[entry] += 1

    def find_connection(self, entry: str) -> int:
        return self.restarts[entry]

    def known(self, entry: str) -> frozenset[str]:
        """Return the crashes that an entry has been told of."""
        return frozenset().union(*(names for _, names in self.received[entry]))


_Case = Callable[[CrashLedger, _Entries], Awaitable[None]]


def _run_case(case: _Case, entries: _Entries | None = None) -> None:
    async def work() -> None:
        others = entries or _Entries()
        ledger = CrashLedger()
        reports = CrashReports(
            ledger, lambda: others.listed, others.send, others.find_connection
        )
        task = asyncio.create_task(reports.run())
        await case(ledger, others)
        task.cancel()

    run_virtual(work)


def _crash(ledger: CrashLedger, *instances: str) -> None:
    for instance in instances:
        ledger.record_crash("d", instance, "r")


def test_crashes_of_a_suspect_request_reach_all_entries_at_once() -> None:
    """Entries were told of later crashes only when a write had failed."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        _crash(ledger, "i-1", "i-2", "i-3")
        await asyncio.sleep(_ROUND_TRIP_S)
        assert entries.known("b") == entries.known("c") == {"i-1", "i-2", "i-3"}

    _run_case(case)


def test_a_first_crash_that_is_stored_in_time_is_not_reported() -> None:
    """Each crash would cost a message to each entry, also with the store up."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        _crash(ledger, "i-1")
        await asyncio.sleep(0.02)
        ledger.apply_stored("d", StoredCrashes(frozenset({"i-1"}), 0, 5))
        await asyncio.sleep(1.0)
        assert not entries.sends

    _run_case(case)


def test_a_first_crash_that_is_not_stored_in_time_is_reported_once() -> None:
    """An acknowledged report was repeated, or a first crash was never reported."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        _crash(ledger, "i-1")
        await asyncio.sleep(5.0)
        assert entries.sends == {"b": 1, "c": 1}
        assert entries.received["b"][0][0] < 0.06

    _run_case(case)


def test_a_report_is_repeated_until_the_entry_acknowledges_it() -> None:
    """An entry that missed the only report ran the request until the store was back."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        entries.silent.add("b")
        _crash(ledger, "i-1", "i-2")
        await asyncio.sleep(3.0)
        assert entries.known("c") == {"i-1", "i-2"}
        assert not entries.known("b")
        entries.silent.clear()
        await asyncio.sleep(1.0)
        assert entries.known("b") == {"i-1", "i-2"}

    _run_case(case)


def test_an_entry_that_is_listed_later_is_told_of_earlier_crashes() -> None:
    """Reports went only to the entries listed at the moment of the crash."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        _crash(ledger, "i-1", "i-2")
        await asyncio.sleep(1.0)
        entries.listed.add("d")
        await asyncio.sleep(0.5)
        assert entries.known("d") == {"i-1", "i-2"}

    _run_case(case)


def test_an_entry_that_is_replaced_is_told_of_earlier_crashes() -> None:
    """The new process ran the request, since the earlier one had acknowledged it."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        _crash(ledger, "i-1", "i-2")
        await asyncio.sleep(1.0)
        entries.restart("b")
        await asyncio.sleep(0.5)
        assert entries.known("b") == {"i-1", "i-2"}
        assert entries.sends["c"] == 1

    _run_case(case)


def test_an_error_of_a_send_does_not_end_the_reports() -> None:
    """An error ended the task that sent the only report, without a log line."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        _crash(ledger, "i-1", "i-2")
        await asyncio.sleep(1.0)
        assert entries.known("b") == entries.known("c") == {"i-1", "i-2"}

    _run_case(case, _Entries(errors=2))


def test_a_later_crash_does_not_wait_for_the_answer_to_an_earlier_report() -> None:
    """A busy entry answers late, and runs the request if it knows only two crashes."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        entries.silent.add("b")
        _crash(ledger, "i-1", "i-2")
        await asyncio.sleep(0.01)
        entries.silent.clear()
        _crash(ledger, "i-3")
        await asyncio.sleep(_ROUND_TRIP_S)
        assert entries.known("b") == {"i-1", "i-2", "i-3"}

    _run_case(case)


def test_few_reports_wait_for_an_entry_that_cannot_be_reached() -> None:
    """Many instances lost in an outage give each lost request a report."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        entries.silent.add("b")
        for number in range(500):
            ledger.record_crash(f"d-{number}", "i-1", "r")
            ledger.record_crash(f"d-{number}", "i-2", "r")
        await asyncio.sleep(2.0)
        assert len(entries.received["c"]) >= 500
        assert entries.sends["b"] <= 20
        entries.silent.clear()
        await asyncio.sleep(1.0)
        assert len(entries.received["b"]) >= 500

    _run_case(case)


def test_a_lost_answer_repeats_one_report() -> None:
    """Each lost answer repeated the reports of all requests, without an end."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        for number in range(100):
            ledger.record_crash(f"d-{number}", "i-1", "r")
        await asyncio.sleep(1.0)
        entries.silent.add("b")
        _crash(ledger, "i-1", "i-2")
        await asyncio.sleep(0.1)
        entries.silent.clear()
        await asyncio.sleep(2.0)
        assert entries.known("b") == {"i-1", "i-2"}
        assert entries.sends["b"] <= 103

    _run_case(case)


def test_reports_end_once_the_store_holds_the_crashes() -> None:
    """Reports to a lost entry went on after the outage."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        entries.silent.add("b")
        _crash(ledger, "i-1", "i-2")
        await asyncio.sleep(1.0)
        ledger.apply_stored("d", StoredCrashes(frozenset({"i-1", "i-2"}), 0, 5))
        await asyncio.sleep(1.0)
        sends = entries.sends["b"]
        await asyncio.sleep(5.0)
        assert entries.sends["b"] == sends

    _run_case(case)


async def _wait_time_s(ledger: CrashLedger) -> float:
    begun_s = now_s()
    await ledger.wait_until_shared("d", _LONG_WAIT_S)
    return now_s() - begun_s


def test_a_wait_ends_when_all_entries_know_the_crashes() -> None:
    """A caller that was answered sooner ended instances at other entries."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        _crash(ledger, "i-1")
        assert 0.05 <= await _wait_time_s(ledger) < 0.06
        assert entries.known("b") == entries.known("c") == {"i-1"}
        _crash(ledger, "i-2")
        assert await _wait_time_s(ledger) < 0.01
        assert entries.known("b") == entries.known("c") == {"i-1", "i-2"}

    _run_case(case)


def test_a_wait_ends_when_the_store_holds_the_crashes() -> None:
    """Callers waited for reports though the store had the crashes."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        _crash(ledger, "i-1")
        stored = StoredCrashes(frozenset({"i-1"}), 0, 5)
        asyncio.get_running_loop().call_later(0.02, ledger.apply_stored, "d", stored)
        assert 0.0 < await _wait_time_s(ledger) < 0.03

    _run_case(case)


def test_a_wait_ends_when_the_request_is_answered() -> None:
    """Callers waited for reports of crashes that an answer had cleared."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        _crash(ledger, "i-1")
        asyncio.get_running_loop().call_later(0.02, ledger.record_answer, "d")
        assert 0.0 < await _wait_time_s(ledger) < 0.03

    _run_case(case)


def test_callers_wait_for_an_entry_whose_link_fails_for_a_moment() -> None:
    """A report refused at once let the caller go on to the entry that missed it."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        entries.refusing.add("b")
        _crash(ledger, "i-1", "i-2")
        asyncio.get_running_loop().call_later(0.2, entries.refusing.clear)
        assert 0.2 < await _wait_time_s(ledger) < 0.5
        assert entries.known("b") == {"i-1", "i-2"}

    _run_case(case)


def test_callers_do_not_wait_for_an_entry_that_is_lost() -> None:
    """Each failure was answered late for as long as one entry was lost."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        entries.silent.add("b")
        _crash(ledger, "i-1", "i-2")
        assert await _wait_time_s(ledger) <= 2.0
        _crash(ledger, "i-3")
        assert await _wait_time_s(ledger) < 0.01

    _run_case(case)


def test_callers_do_not_wait_if_no_other_entry_can_be_reached() -> None:
    """Each failed request waited 0.5 s for entries that were known to be silent."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        entries.silent |= {"b", "c"}
        for number in range(10):
            ledger.record_crash(f"d-{number}", "i-1", "r")
        await asyncio.sleep(2.0)
        _crash(ledger, "i-1")
        assert await _wait_time_s(ledger) <= 0.06

    _run_case(case)


def test_callers_wait_for_an_entry_that_was_lost_in_an_earlier_outage() -> None:
    """An entry that had failed once counted as lost until its next acknowledgement."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        entries.silent.add("b")
        _crash(ledger, "i-1", "i-2")
        await asyncio.sleep(2.0)
        ledger.apply_stored("d", StoredCrashes(frozenset({"i-1", "i-2"}), 0, 5))
        await asyncio.sleep(5.0)
        entries.silent.clear()
        entries.refusing.add("b")
        asyncio.get_running_loop().call_later(0.2, entries.refusing.clear)
        _crash(ledger, "i-3")
        await _wait_time_s(ledger)
        assert entries.known("b") == {"i-1", "i-2", "i-3"}

    _run_case(case)


def test_a_wait_is_bounded() -> None:
    """A caller waited for a silent entry beyond the bound of the wait."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        entries.silent.add("b")
        _crash(ledger, "i-1", "i-2")
        await ledger.wait_until_shared("d", 0.1)
        assert now_s() <= 0.1

    _run_case(case)


def test_a_single_entry_does_not_wait_for_others() -> None:
    """A caller of a deployment with one entry waited for the bound."""

    async def case(ledger: CrashLedger, entries: _Entries) -> None:
        _crash(ledger, "i-1")
        assert await _wait_time_s(ledger) <= 0.06

    _run_case(case, _Entries(listed=set()))
