"""Calls and jobs while another writer or a restart changes instance entries."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from pistachioglade.platform import names
from pistachioglade.standins._instance_entry import instance_entry

from .serving import JOBS, LOOKUP, Fleet, instances_of, run_case, submission

_LOOKUPS = 20


async def _send_lookups(fleet: Fleet, prefix: str) -> Counter[int]:
    """Send lookups to the only entry; return the number of answers by status."""
    answers = [
        await fleet.call(fleet.entries[0], "GET", f"{LOOKUP}x", f"{prefix}-{number}")
        for number in range(_LOOKUPS)
    ]
    return Counter(answer.status for answer in answers)


async def _wait_for_event(fleet: Fleet, event: str) -> None:
    while not fleet.entries[0].log_lines(event):
        await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    "value",
    [
        None,
        {},
        [1, 2],
        instance_entry("app", state="resting"),
        instance_entry("app", "127.0.0.1:0"),
        instance_entry("app", slots="8"),
        instance_entry("app", "x" * 100_000),
    ],
)
def test_an_instance_with_an_invalid_entry_gets_no_calls(
    tmp_path: Path, value: Any
) -> None:
    """The instance must get no calls through its earlier entry or the invalid one."""

    async def case(fleet: Fleet) -> None:
        invalid, valid = instances_of(fleet, "app")
        writer = fleet.store.client()
        await writer.replace(names.INSTANCE_KIND, invalid.id, value, None)
        await _wait_for_event(fleet, "instance-refused")
        before = sum(invalid.runs.values())
        assert await _send_lookups(fleet, "during") == {200: _LOOKUPS}
        assert sum(invalid.runs.values()) == before
        assert sum(valid.runs.values()) == _LOOKUPS
        # The next entry that the instance writes is valid.
        await fleet.register_instance(invalid)
        while not sum(invalid.runs.values()) > before:
            await _send_lookups(fleet, f"after-{sum(valid.runs.values())}")
        assert await fleet.entries[0].is_ready()
        lines = fleet.entries[0].log.read_text().splitlines()
        assert max(map(len, lines)) < 4000

    run_case(tmp_path, case)


def test_samples_complete_when_an_engine_restarts_under_its_id(tmp_path: Path) -> None:
    """The restarted engine has no samples and only its initial weights."""

    async def case(fleet: Fleet) -> None:
        engines = instances_of(fleet, "lm")
        for engine in engines:
            engine.events, engine.event_s, engine.born_ms = 120, 0.03, 1_000
            engine.versions = {"m": 3}
            await fleet.register_instance(engine)
        await asyncio.sleep(1.5)
        entry = fleet.entries[0]
        job = submission(2, 4, min_version=2)
        await fleet.call(entry, "POST", f"{JOBS}x", "job-1", job)
        while not all(engine.running for engine in engines):
            await asyncio.sleep(0.02)
        restarted, other = engines
        restarted.restart()
        writer = fleet.store.client()
        await writer.replace(names.INSTANCE_KIND, restarted.id, restarted.entry(), None)
        await _wait_for_event(fleet, "instance-restarted")
        before = Counter(restarted.runs)
        results = await fleet.read_results(entry, "job-1", 8)
        assert {result["state"] for result in results} == {"completed"}
        assert all(result["weight-versions"] == [3] for result in results)
        # The restarted engine's weights are too old: the other engine ran the rest.
        assert Counter(restarted.runs) == before
        assert len(other.runs) == 8

    run_case(tmp_path, case)
