"""Usage reports of entries that run as processes, to a stand-in of the platform."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

from pistachioglade.http1 import HttpServer, Reply, Request, Response, ServerLimits
from pistachioglade.platform import names

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


class _Platform:
    """The platform's API: accepts usage reports with rising fencing tokens."""

    def __init__(self) -> None:
        self._server = HttpServer(self._handle, ServerLimits())
        self._token = 0
        # Reports of each window: holder and counts.
        self.reports: dict[int, list[tuple[str, dict[str, int]]]] = {}

    async def start(self) -> int:
        await self._server.start("127.0.0.1", 0)
        return self._server.port

    async def _handle(self, request: Request, reply: Reply) -> None:
        token = int(request.field(names.FENCING_TOKEN) or 0)
        if request.path != names.USAGE_PATH or token < self._token:
            reply.send(Response(409))
            return
        self._token = token
        sent: dict[str, Any] = json.loads(request.body)
        holder = request.field(names.DUTY_HOLDER) or ""
        reports = self.reports.setdefault(sent["window-number"], [])
        reports.append((holder, sent["counts"]))
        reply.send(Response(200))

    @property
    def last_holder(self) -> str:
        """Entry that reported last."""
        return self.reports[max(self.reports)][-1][0]

    def counts(self, since: int, until: int) -> Counter[str]:
        """Return the counts of some windows, each of which was reported once."""
        total: Counter[str] = Counter()
        for window in range(since, until + 1):
            reports = self.reports[window]
            assert len({json.dumps(counts) for _, counts in reports}) == 1
            total.update(reports[0][1])
        return total


def _with_accounts(version: int) -> dict[str, Any]:
    accounts = [{"name": name, "api-keys": [key]} for key, name in _KEYS.items()]
    value = configuration(version, tenants=accounts)
    for route in value["routes"]:
        route["public"] = route["path-prefix"] == REWARD
    return value


async def _add_entries(fleet: Fleet, platform: _Platform, count: int) -> None:
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


async def _wait_for_report(platform: _Platform, window: int) -> None:
    async with asyncio.timeout(_DELAY_S + 20.0):
        while window not in platform.reports:
            await asyncio.sleep(0.1)


def test_each_window_has_one_right_report_though_its_holder_is_killed(
    tmp_path: Path,
) -> None:
    async def case(fleet: Fleet) -> None:
        platform = _Platform()
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
        holder = platform.last_holder
        killed = next(item for item in fleet.entries if item.name == holder)
        killed.send_signal(signal.SIGKILL)
        await killed.wait_for_exit()
        for number in range(30, 50):
            expected[await _look_up(fleet, number)] += 1
        until = int(time.time() // _WINDOW_S)
        await _wait_for_report(platform, until)
        assert platform.counts(since, until) == expected
        assert platform.last_holder != holder

    run_case(tmp_path, case, entries=0)
