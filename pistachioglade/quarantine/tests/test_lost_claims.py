"""Tests of claims of trial runs whose answers are late or lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from ...platform import EntryChanges
from ...standins._object_api import ObjectApiFaults
from ...store.tests.served import eventually, run, served_store
from .. import CrashLedger, CrashRecordStore


async def _no_changes(kind: str, revision: int) -> EntryChanges | None:
    return None


def _lose_one_answer(faults: ObjectApiFaults) -> None:
    faults.lose_answers = 1


def _answer_late(faults: ObjectApiFaults) -> None:
    faults.slow_s = 0.4


@pytest.mark.parametrize("disturb", [_lose_one_answer, _answer_late])
def test_a_trial_is_used_up_only_by_a_run(
    disturb: Callable[[ObjectApiFaults], None],
) -> None:
    """Guards against trials that are counted and never run.

    The claim took effect in the store and its answer came too late, so that the
    request was refused for the next pause, which is four times as long.
    """

    async def work() -> None:
        async with served_store() as store:
            ledger = CrashLedger()
            records = CrashRecordStore(
                ledger, store.client(), _no_changes, lambda _digest: True
            )
            tasks = [
                asyncio.create_task(records.mirror.run()),
                asyncio.create_task(records.run()),
            ]
            await records.mirror.is_synced.wait()
            for number in range(3):
                ledger.record_crash("d", f"i-{number}", "r")
            await eventually(lambda: not ledger.unwritten())
            disturb(store.standin.faults)
            is_claimed = await records.claim_trial("d")
            await asyncio.sleep(1.0)
            record = ledger.find("d")
            assert record is not None
            used = record.trials
            for task in tasks:
                task.cancel()
            assert used == int(is_claimed), (is_claimed, used)

    run(work)
