"""Usage reports of entries that run as processes, to a stand-in of the platform."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

from pistachioglade.platform import names
from pistachioglade.standins._duty_api import DutyApiStandin

from .serving import (
    JOBS,
    LOOKUP,
    REWARD,
    Fleet,
    configuration,
    run_case,
    submission,
)

_WINDOW_S: Final = 2.0
_DELAY_S: Final = 8.0
_KEYS: Final = {"key-of-first": "first", "key-of-second": "second"}


def _counts(platform: DutyApiStandin, since: int, until: int) -> Counter[str]:
    """Return the counts of some windows, each of which was reported."""
    by_window = platform.by_window()
    total: Counter[str] = Counter()
    for window in range(since, until + 1):
        total.update(by_window[window][0].counts)
    return total


def _with_accounts(version: int) -> dict[str, Any]:
    accounts = [{"name": name, "api-keys": [key]} for key, name in _KEYS.items()]
    value = configuration(version, tenants=accounts)
    for route in value["routes"]:
        route["public"] = route["path-prefix"] == REWARD
    return value


async def _add_entries(fleet: Fleet, platform: DutyApiStandin, count: int) -> None:
    fleet.extra_settings |= {
        "cloud-api.address": f"127.0.0.1:{await platform.start()}",
        "cloud-api.duties": "usage_reporting,autoscaling",
        "bounds.report-window-s": f"{_WINDOW_S:g}",
        "bounds.usage-delay-s": f"{_DELAY_S:g}",
        "bounds.fencing-enforced": "true",
    }
    await fleet.configure(_with_accounts(2))
    for number in range(count):
        await fleet.add_entry(f"reporting-{number}")
    async with asyncio.timeout(20.0):
        while not platform.reports:
            await asyncio.sleep(0.1)


async def _look_up(fleet: Fleet, number: int) -> str:
    """Make a lookup at one of the live entries; return its account."""
    entries = [item for item in fleet.entries if item.process is not None]
    live = [item for item in entries if item.process.returncode is None]  # type: ignore[union-attr]
    key, account = list(_KEYS.items())[number % 3 == 0]
    answer = await fleet.call(
        live[number % len(live)],
        "POST",
        f"{LOOKUP}x",
        f"u-{number}",
        **{names.KEY: key},
    )
    assert answer.status == 200
    return account


async def _wait_for_report(platform: DutyApiStandin, window: int) -> None:
    async with asyncio.timeout(_DELAY_S + 20.0):
        while window not in platform.by_window():
            await asyncio.sleep(0.1)


def test_each_window_has_one_right_report_though_its_holder_is_killed(
    tmp_path: Path,
) -> None:
    async def case(fleet: Fleet) -> None:
        platform = DutyApiStandin()
        await _add_entries(fleet, platform, 3)
        since = int(time.time() // _WINDOW_S)
        expected: Counter[str] = Counter()
        for number in range(30):
            expected[await _look_up(fleet, number)] += 1
        # Items of jobs, reward calls and refused requests are not counted.
        key = {names.KEY: "key-of-first"}
        job = submission(1, 2)
        entry = fleet.entries[1]
        assert (
            await fleet.call(entry, "POST", f"{JOBS}x", "job-1", job, **key)
        ).status == 202
        assert (await fleet.call(entry, "POST", f"{LOOKUP}x", "u-x")).status == 401
        # Counters are copied to another entry within a tenth of a second.
        await asyncio.sleep(1.0)
        holder = platform.reports[-1].holder
        killed = next(item for item in fleet.entries if item.name == holder)
        killed.send_signal(signal.SIGKILL)
        await killed.wait_for_exit()
        for number in range(30, 50):
            expected[await _look_up(fleet, number)] += 1
        until = int(time.time() // _WINDOW_S)
        await _wait_for_report(platform, until)
        assert _counts(platform, since, until) == expected
        assert platform.reports[-1].holder != holder
        assert not platform.contradictions(lease_s=3.0)

    run_case(tmp_path, case, entries=0)
