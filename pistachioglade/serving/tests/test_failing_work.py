"""Each of an entry's background tasks is made to fail once, and the entry goes on.

A task that ended left one line in the log, and the entry served on without it: by a
list of instances that stood still, or without a look at the store.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import pytest

from ...metrics import Metrics
from ...platform import names
from ...standins._instance_entry import instance_entry
from ...store.tests.scripted import ScriptedStore, ScriptedWay, now_s, run_virtual
from ...tasks import Work
from .._entry_program import EntryProgram
from .._settings_watch import SettingsWatch
from .test_lost_way import SETTINGS

#: Time within which a change is known though the copy's task has just failed: its
#: longest first pause, and one list.
_KNOWN_S = 0.2
_TASKS = (
    "configurations",
    "instances",
    "jobs",
    "entries",
    "crash-records",
    "crash-record-writes",
    "crash-record-expiry",
    "versions",
    "announcements",
    "store-beat",
    "enabling-jobs",
    "enrolment",
    "neighbour",
    "samples-running",
    "orphans",
    "store-ways",
    "cleaner",
    "owner",
    "texts",
    "housekeeping",
    "settings",
)


async def _failing_once(work: Work, failed: list[str], name: str) -> None:
    if name in failed:
        await work()
        return
    running = asyncio.ensure_future(work())
    await asyncio.sleep(1.0)
    running.cancel()
    failed.append(name)
    raise ZeroDivisionError(name)


@pytest.mark.parametrize("name", _TASKS)
def test_a_task_that_fails_is_started_again(name: str, tmp_path: Any) -> None:
    async def work() -> None:
        store = ScriptedStore()
        store.put(names.INSTANCE_KIND, "i-1", instance_entry("app"))
        metrics = Metrics()
        program = EntryProgram(SettingsWatch(tmp_path, SETTINGS), metrics)
        program._store._pool = ScriptedWay(store)  # type: ignore[assignment]
        started: list[str] = []
        failed: list[str] = []
        start = program._supervisor.start

        def start_failing(task: str, inner: Work, may_end: bool = False) -> None:
            started.append(task)
            wrapped = partial(_failing_once, inner, failed, task)
            start(task, wrapped if task == name else inner, may_end)

        program._supervisor.start = start_failing  # type: ignore[method-assign]
        program._start_work()
        assert started == list(_TASKS)
        await asyncio.sleep(1.0)
        store.put(names.INSTANCE_KIND, "i-2", instance_entry("app"))
        changed_s = now_s()
        while not program._view.may_send_to("i-2"):
            await asyncio.sleep(0.01)
        assert now_s() - changed_s < _KNOWN_S + program._instances_gather_s()
        await asyncio.sleep(5.0)
        assert failed == [name]
        told = f'pistachioglade_task_failures_total{{task="{name}"}} 1.0'
        assert told.encode() in metrics.text()
        assert not program._is_leaving.is_set()
        program._supervisor.stop()

    run_virtual(work)


def test_work_that_keeps_failing_ends_the_entry_in_order(tmp_path: Any) -> None:
    """It isn't ready any more, and stops as it does when it is asked to."""

    async def work() -> None:
        program = EntryProgram(SettingsWatch(tmp_path, SETTINGS), Metrics())
        program._store._pool = ScriptedWay(ScriptedStore())  # type: ignore[assignment]

        async def fail() -> None:
            raise ZeroDivisionError

        program._supervisor.start("instances", fail)
        await asyncio.wait_for(program._is_leaving.wait(), 30.0)
        assert not program.is_ready

    run_virtual(work)
