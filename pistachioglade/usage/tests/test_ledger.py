"""The ledger of usage reports, as other writers and late holders may find it."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from ...decisions import MAX_LEDGER_WINDOWS
from ...store.tests.scripted import run_virtual, until
from .._ledger import LedgerEntry, ReportLedger, decode_ledger
from .reporting import START_UNIX_S, TERMS, ReportingFleet


def test_the_ledger_keeps_the_latest_windows_and_their_counts() -> None:
    ledger = ReportLedger()
    for window in range(30):
        ledger = ledger.with_entry(window, LedgerEntry({"a": window}))
    ledger = ledger.acknowledged(29)
    assert len(ledger.entries) == MAX_LEDGER_WINDOWS
    assert ledger.newest == 29
    assert decode_ledger(ledger.encode()) == ledger


@pytest.mark.parametrize(
    "payload",
    [
        3,
        [],
        {"x": {"counts": {}, "ok": True}},
        {"7": None},
        {"7": {"ok": True}},
        {"7": {"counts": {"a": "1"}, "ok": True}},
        {"7": {"counts": {"a": True}, "ok": True}},
    ],
)
def test_a_spoilt_ledger_is_not_taken_for_an_empty_one(payload: Any) -> None:
    assert decode_ledger(payload) is None
    assert decode_ledger(None) == ReportLedger()


def test_a_holder_that_is_far_behind_reports_no_window_again() -> None:
    """It has missed all announcements, and the ledger has forgotten those windows."""

    async def work() -> None:
        fleet = ReportingFleet()
        serving = asyncio.create_task(fleet.serve(120.0))
        await until(100.0)
        late = next(
            entry
            for entry in fleet.entries.values()
            if entry.node != fleet.holder.node and entry.duty.rank is not None
        )
        late.reporter._next_window = TERMS.window_at(START_UNIX_S) + 1
        await fleet.lose(fleet.holder.node, 0.1)
        fleet.listed = {late.node}
        await until(150.0)
        await serving
        fleet.stop()
        fleet.assert_safe()
        assert fleet.holder is late

    run_virtual(work)


def test_a_spoilt_ledger_in_the_store_stops_no_later_report() -> None:
    async def work() -> None:
        fleet = ReportingFleet()
        await until(20.0)
        fleet.store.spoil("usage", "payload", "no ledger")
        holder = fleet.holder
        await fleet.lose(holder.node)
        await until(60.0)
        fleet.stop()
        assert fleet.reports[-1].window >= 9
        reported = [report.window for report in fleet.reports]
        assert len(set(reported)) == len(reported)

    run_virtual(work)
