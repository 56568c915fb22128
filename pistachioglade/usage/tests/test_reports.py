"""Usage reports while the holder of the duty, the store or the platform fails.

Guards against two reports of one window with different counts, against holders that
take turns within a lease, and against windows that are reported late or off.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from itertools import product
from random import Random

import pytest

from ...leases.tests.fenced_api import be_busy, be_silent
from ...store.tests.scripted import now_s, run_virtual, until
from .reporting import ReportingEntry, ReportingFleet

#: Time at which each fault begins, in seconds: two reports have been made by then.
_FAULT_S = 18.0
_END_S = 45.0
#: Last window that is due before the end.
_LAST_WINDOW = 5

#: Plays a fault on a fleet.
Fault = Callable[[ReportingFleet], Awaitable[None]]


def _play(fleet_of: Callable[[], ReportingFleet], fault: Fault, at_s: float) -> None:
    async def work() -> None:
        fleet = fleet_of()
        serving = asyncio.create_task(fleet.serve(_END_S))
        await until(at_s)
        await fault(fleet)
        await until(_END_S)
        await serving
        fleet.stop()
        fleet.assert_safe()
        assert not fleet.wrong_windows(_LAST_WINDOW)

    run_virtual(work)


async def _nothing(fleet: ReportingFleet) -> None:
    pass


async def _let_counts_be_copied(entry: ReportingEntry) -> None:
    """Let an entry begin no requests for longer than it gathers counts."""
    entry.is_serving = False
    await asyncio.sleep(0.3)


async def _holder_killed(fleet: ReportingFleet) -> None:
    holder = fleet.holder
    await _let_counts_be_copied(holder)
    await fleet.lose(holder.node)
    await asyncio.sleep(1.0)
    holder.start()
    fleet.listed.add(holder.node)


async def _holder_killed_and_back_at_once(fleet: ReportingFleet) -> None:
    holder = fleet.holder
    await _let_counts_be_copied(holder)
    holder.kill()
    await asyncio.sleep(0.4)
    holder.start()


async def _holder_frozen(fleet: ReportingFleet) -> None:
    await fleet.holder.freeze(4.0)


async def _holder_without_store(fleet: ReportingFleet) -> None:
    holder = fleet.holder
    holder.reaches_store = False
    await asyncio.sleep(6.0)
    holder.reaches_store = True


async def _holder_without_api(fleet: ReportingFleet) -> None:
    holder = fleet.holder
    holder.reaches_api = False
    await asyncio.sleep(8.0)
    holder.reaches_api = True


async def _holder_without_entries(fleet: ReportingFleet) -> None:
    holder = fleet.holder
    holder.reaches_entries = False
    await asyncio.sleep(3.0)
    holder.reaches_entries = True


async def _api_silent(fleet: ReportingFleet) -> None:
    await be_silent(fleet.api)


async def _api_busy(fleet: ReportingFleet) -> None:
    await be_busy(fleet.api)


async def _late_calls(fleet: ReportingFleet) -> None:
    fleet.api.late_calls_s += [2.0, 5.0]


async def _store_answers_lost(fleet: ReportingFleet) -> None:
    fleet.store.lost_answers = 3


async def _late_writes(fleet: ReportingFleet) -> None:
    fleet.store.late_writes_s += [0.5, 3.0]


_FAULTS = {
    fault.__name__.strip("_"): fault
    for fault in (
        _nothing,
        _holder_killed,
        _holder_killed_and_back_at_once,
        _holder_frozen,
        _holder_without_store,
        _holder_without_api,
        _holder_without_entries,
        _api_silent,
        _api_busy,
        _late_calls,
        _store_answers_lost,
        _late_writes,
    )
}


@pytest.mark.parametrize("checks_fences", [True, False])
@pytest.mark.parametrize("moment", range(5))
@pytest.mark.parametrize("name", _FAULTS)
def test_each_window_is_reported_once_and_right(
    name: str, moment: int, checks_fences: bool
) -> None:
    """One fault at each second of a window."""
    _play(
        lambda: ReportingFleet(checks_fences=checks_fences),
        _FAULTS[name],
        _FAULT_S + moment,
    )


@pytest.mark.parametrize("checks_fences", [True, False])
@pytest.mark.parametrize("seed", range(40))
def test_mixed_faults_never_make_two_reports_of_a_window(
    seed: int, checks_fences: bool
) -> None:
    """Faults at random moments, one upon the other; only safety is promised here.

    Calls that the platform carries out late are played where it checks fences: nothing
    else can stop the call of a holder that has been replaced.
    """
    faults_played = [
        fault for fault in _FAULTS.values() if checks_fences or fault is not _late_calls
    ]

    async def work() -> None:
        random = Random(seed)
        fleet = ReportingFleet(checks_fences=checks_fences)
        serving = asyncio.create_task(fleet.serve(60.0))
        faults = []
        await until(14.0)
        while now_s() < 50.0:
            await asyncio.sleep(random.uniform(0.1, 3.0))
            if fleet.reports:
                fault = random.choice(faults_played)
                faults.append(asyncio.create_task(fault(fleet)))
        await until(75.0)
        await serving
        await asyncio.gather(*faults)
        fleet.stop()
        fleet.assert_safe()
        assert fleet.reports[-1].window >= 10

    run_virtual(work)


@pytest.mark.parametrize("error_s", [-2.0, 2.0])
def test_a_clock_that_was_moved_at_the_start_is_corrected(error_s: float) -> None:
    """A third of the clocks is two seconds off when the processes start."""

    async def work() -> None:
        fleet = ReportingFleet(6)
        for entry in list(fleet.entries.values())[:2]:
            entry.kill()
            entry.clock_error_s = error_s
            entry.start()
        serving = asyncio.create_task(fleet.serve(_END_S))
        await until(_END_S)
        await serving
        fleet.stop()
        fleet.assert_safe()
        # Clocks are compared with the first reports.
        wrong = fleet.wrong_windows(_LAST_WINDOW)
        assert [window for window in wrong if window > 2] == []

    run_virtual(work)


def test_a_calm_window_costs_one_write() -> None:
    async def work() -> None:
        fleet = ReportingFleet()
        await until(20.0)
        before, reports = fleet.store.calls, len(fleet.reports)
        await until(40.0)
        fleet.stop()
        assert fleet.store.calls - before == len(fleet.reports) - reports == 4

    run_virtual(work)


def test_a_planned_stop_of_the_holder_delays_no_report() -> None:
    async def stop(fleet: ReportingFleet) -> None:
        holder = fleet.holder
        await holder.reporter.stop()
        await _let_counts_be_copied(holder)
        holder.kill()
        fleet.listed.discard(holder.node)

    for moment, checks in product(range(5), (True, False)):
        _play(
            lambda checks=checks: ReportingFleet(checks_fences=checks),  # type: ignore[misc]
            stop,
            _FAULT_S + moment,
        )


@pytest.mark.parametrize("checks_fences", [True, False])
@pytest.mark.parametrize("tenth", range(12))
def test_a_planned_stop_during_a_report_makes_no_second_report(
    tenth: int, checks_fences: bool
) -> None:
    """The report waits for a frozen entry, so that the holder stops in the middle.

    The holder acquired the lease anew after its release. The payload of the store then
    replaced the counts that it was about to report, and the next holder counted again.
    """

    async def work() -> None:
        fleet = ReportingFleet(checks_fences=checks_fences)
        serving = asyncio.create_task(fleet.serve(_END_S))
        await until(17.9)
        holder = fleet.holder
        frozen = next(item for item in fleet.entries.values() if item is not holder)
        freeze = asyncio.create_task(frozen.freeze(1.0))
        await until(18.0 + tenth / 10)
        await holder.reporter.stop()
        holder.is_serving = False
        await freeze
        await until(20.0)
        # All processes start again without their counters, and look at windows that are
        # not due yet.
        for entry in fleet.entries.values():
            entry.kill()
            entry.start()
        await until(_END_S)
        await serving
        fleet.stop()
        fleet.assert_safe()
        assert fleet.reports[-1].window >= _LAST_WINDOW

    run_virtual(work)
