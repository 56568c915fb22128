"""Tests of crash records whose write ends with an error."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from ...errors import Refusal
from ...metrics import Metrics
from ...platform import Entry, EntryChanges
from ...store.tests.served import eventually, run, served_store
from ...tasks import Supervisor
from .. import CrashLedger, CrashRecordStore

#: Time within which a restarted task has written the crashes, in seconds.
_RECOVERY_S = 5.0


async def _no_changes(kind: str, revision: int) -> EntryChanges | None:
    return None


def test_crashes_are_written_after_an_error_of_a_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against crashes that are forgotten by the task that writes them.

    The task had reset the event that it waits for, and was restarted after an error
    without any record to write.
    """

    async def work() -> None:
        async with served_store() as store:
            ledger, client = CrashLedger(), store.client()
            create, failures = client.create, [ValueError("an unreadable answer")]

            async def create_once_failing(*values: Any) -> Entry | Refusal:
                if failures:
                    raise failures.pop()
                return await create(*values)

            monkeypatch.setattr(client, "create", create_once_failing)
            records = CrashRecordStore(
                ledger, client, _no_changes, lambda _digest: True
            )
            supervisor = Supervisor(Metrics(), lambda: None, random.Random(1))
            supervisor.start("mirror", records.mirror.run)
            supervisor.start("writes", records.run)
            try:
                await records.mirror.is_synced.wait()
                ledger.record_crash("d", "i-1", "r")
                async with asyncio.timeout(_RECOVERY_S):
                    await eventually(lambda: not ledger.unwritten())
                assert not failures
            finally:
                supervisor.stop()

    run(work)
