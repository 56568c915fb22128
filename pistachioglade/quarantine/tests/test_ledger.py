"""Tests of crash records fed by local runs, other entries and the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from ...decisions import Admission
from ...store.tests.scripted import run_virtual
from .. import CrashLedger
from .._ledger import _MAX_REQUESTS, MAX_INSTANCES, StoredCrashes

_OPEN = ("i-7", "i-8")


def _stored(revision: int, *instances: str, trials: int = 0) -> StoredCrashes:
    return StoredCrashes(frozenset(instances), trials, revision)


def _instances(ledger: CrashLedger) -> set[str]:
    record = ledger.find("d")
    return set() if record is None else set(record.instances)


def _run_case(case: Callable[[CrashLedger], None]) -> None:
    async def work() -> None:
        case(CrashLedger())

    run_virtual(work)


def test_an_instance_counts_once_across_sources() -> None:
    def case(ledger: CrashLedger) -> None:
        ledger.record_crash("d", "i-1", "r")
        ledger.record_crash("d", "i-1", "r")
        ledger.record_reported("d", ["i-1", "i-2"])
        ledger.apply_stored("d", _stored(5, "i-2", "i-3"))
        assert _instances(ledger) == {"i-1", "i-2", "i-3"}
        assert ledger.quarantined_count == 1
        assert ledger.unwritten() == ["d"]
        ledger.apply_stored("d", _stored(6, "i-1", "i-2", "i-3"))
        assert ledger.unwritten() == []

    _run_case(case)


def test_an_answer_clears_a_request() -> None:
    def case(ledger: CrashLedger) -> None:
        ledger.apply_stored("d", _stored(5, "i-1", "i-2"))
        ledger.record_crash("d", "i-3", "r")
        ledger.record_answer("d")
        assert _instances(ledger) == set()
        record = ledger.find("d")
        assert (
            record is not None and record.is_unwritten and not record.instances_to_store
        )
        ledger.record_crash("d", "i-4", "r")
        assert _instances(ledger) == {"i-4"}
        assert record.instances_to_store == {"i-4"}

    _run_case(case)


@pytest.mark.parametrize("later", [None, _stored(7, "i-9")])
def test_an_answer_at_another_entry_clears_a_request(
    later: StoredCrashes | None,
) -> None:
    def case(ledger: CrashLedger) -> None:
        ledger.record_crash("d", "i-1", "r")
        ledger.record_crash("d", "i-2", "r")
        ledger.apply_stored("d", _stored(5, "i-1", "i-2"))
        ledger.apply_stored("d", later)
        expected = set() if later is None else {"i-9"}
        assert _instances(ledger) == expected
        assert ledger.unwritten() == []

    _run_case(case)


def test_an_unwritten_crash_survives_a_removal() -> None:
    def case(ledger: CrashLedger) -> None:
        ledger.apply_stored("d", _stored(5, "i-1"))
        ledger.record_crash("d", "i-2", "r")
        ledger.apply_stored("d", None)
        assert _instances(ledger) == {"i-2"}
        assert ledger.unwritten() == ["d"]

    _run_case(case)


def test_an_answer_clears_more_crashes_than_a_record_holds() -> None:
    # Guards against an answered request being quarantined again.
    def case(ledger: CrashLedger) -> None:
        names = [f"i-{number:03}" for number in range(MAX_INSTANCES + 9)]
        for name in names:
            ledger.record_crash("d", name, "r")
        ledger.apply_stored("d", _stored(5, *names[:MAX_INSTANCES]))
        ledger.apply_stored("d", None)
        assert _instances(ledger) == set()
        assert ledger.unwritten() == []

    _run_case(case)


def test_an_older_revision_is_ignored() -> None:
    def case(ledger: CrashLedger) -> None:
        ledger.apply_stored("d", _stored(5, "i-1", "i-2", trials=1))
        ledger.apply_stored("d", _stored(4, "i-1"))
        assert _instances(ledger) == {"i-1", "i-2"}

    _run_case(case)


def test_trials_without_a_store_are_counted_locally() -> None:
    async def work() -> None:
        ledger = CrashLedger()
        for number in range(3):
            ledger.record_crash("d", f"i-{number}", "r")
        assert ledger.decide_admission("d", _OPEN).admission is Admission.REFUSE
        await asyncio.sleep(31.0)
        assert ledger.decide_admission("d", _OPEN).admission is Admission.TRIAL
        assert await ledger.claim_trial("d")
        assert ledger.decide_admission("d", _OPEN).admission is Admission.REFUSE
        ledger.record_answer("d")
        assert ledger.decide_admission("d", ("i-7",)).admission is Admission.SEND

    run_virtual(work)


def test_a_record_that_repeats_known_crashes_does_not_restart_the_pause() -> None:
    """A record written after an outage delayed the trial run by the outage's length."""

    async def work() -> None:
        ledger = CrashLedger()
        ledger.record_reported("d", ["i-1", "i-2", "i-3"])
        await asyncio.sleep(20.0)
        ledger.apply_stored("d", _stored(5, "i-1", "i-2", "i-3"))
        await asyncio.sleep(11.0)
        assert ledger.decide_admission("d", _OPEN).admission is Admission.TRIAL

    run_virtual(work)


def test_one_run_at_a_time_from_two_crashes_on() -> None:
    def case(ledger: CrashLedger) -> None:
        ledger.record_reported("d", ["i-1", "i-2"])
        decision = ledger.decide_admission("d", _OPEN, is_running=True)
        assert decision.admission is Admission.REFUSE
        assert ledger.decide_admission("d", _OPEN).admission is Admission.SEND

    _run_case(case)


def test_memory_is_bounded_and_old_records_expire() -> None:
    async def work() -> None:
        ledger = CrashLedger()
        for number in range(_MAX_REQUESTS + 10):
            ledger.record_crash(f"d-{number}", "i-1", "r")
        assert ledger.count == _MAX_REQUESTS
        ledger.apply_stored("d-0", _stored(3, "i-1"))
        await asyncio.sleep(601.0)
        assert ledger.drop_expired() == ["d-0"]
        assert ledger.count == 1
        ledger.apply_stored("d-0", None)
        assert ledger.drop_expired() == []

    run_virtual(work)
