"""Each background task of an entry fails once, and the entry restarts the task.

Guards against a failed task that leaves one line in the log while the entry serves on
without the task: with a stale list of instances, or without checks of the store.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import pytest

from ...metrics import Metrics
from ...platform import names
from ...standins._instance_entry import instance_entry
from ...store.tests.scripted import ScriptedRoute, ScriptedStore, now_s, run_virtual
from ...tasks import Work
from .._entry_program import EntryProgram
from .._settings_watch import SettingsWatch
from .test_lost_way import SETTINGS

#: Longest delay that a failure of a mirror's task adds to a change: the longest first
#: pause of the supervisor, and one read of the list.
_RESTART_DELAY_S = 0.2
_TASKS = (
    "configurations",
    "configuration-check",
    "instances",
    "jobs",
    "entries",
    "crash-records",
    "crash-record-writes",
    "crash-reports",
    "crash-record-expiry",
    "versions",
    "announcements",
    "store-beat",
    "enabling-jobs",
    "enrolment",
    "neighbour",
    "samples-running",
    "paces",
    "orphans",
    "store-ways",
    "refusal-reports",
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
def test_a_failed_task_is_restarted(name: str, tmp_path: Any) -> None:
    async def work() -> None:
        store = ScriptedStore()
        store.put(names.INSTANCE_KIND, "i-1", instance_entry("app"))
        metrics = Metrics()
        program = EntryProgram(SettingsWatch(tmp_path, SETTINGS), metrics)
        program._store._pool = ScriptedRoute(store)  # type: ignore[assignment]
        started: list[str] = []
        failed: list[str] = []
        start = program._supervisor.start

        def start_failing(task: str, inner: Work, may_end: bool = False) -> None:
            started.append(task)
            wrapped = partial(_failing_once, inner, failed, task)
            start(task, wrapped if task == name else inner, may_end)

        program._supervisor.start = start_failing  # type: ignore[method-assign]
        program._start_tasks()
        assert started == list(_TASKS)
        await asyncio.sleep(1.0)
        store.put(names.INSTANCE_KIND, "i-2", instance_entry("app"))
        changed_s = now_s()
        while not program._view.accepts_requests("i-2"):
            await asyncio.sleep(0.01)
        assert (
            now_s() - changed_s
            < _RESTART_DELAY_S + program._mirrors.instances_gather_s()
        )
        await asyncio.sleep(5.0)
        assert failed == [name]
        expected = f'pistachioglade_task_failures_total{{task="{name}"}} 1.0'
        assert expected.encode() in metrics.render()
        assert not program._is_leaving.is_set()
        program._supervisor.stop()

    run_virtual(work)


def test_a_task_that_keeps_failing_shuts_the_entry_down(tmp_path: Any) -> None:
    """The entry stops being ready, and shuts down as after SIGTERM."""

    async def work() -> None:
        program = EntryProgram(SettingsWatch(tmp_path, SETTINGS), Metrics())
        program._store._pool = ScriptedRoute(ScriptedStore())  # type: ignore[assignment]

        async def fail() -> None:
            raise ZeroDivisionError

        program._supervisor.start("instances", fail)
        await asyncio.wait_for(program._is_leaving.wait(), 30.0)
        assert not program.is_ready

    run_virtual(work)
