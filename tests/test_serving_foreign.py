"""Callers and trainers while another writer, or a second start, disturbs the store."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from pistachioglade.platform import names
from pistachioglade.standins._instance_entry import instance_entry

from .serving import JOBS, LOOKUP, Fleet, instances_of, play, submission

_LOOKUPS = 20


async def _lookups(fleet: Fleet, prefix: str) -> Counter[int]:
    """Make lookups at the one entry; return how many had each status."""
    answers = [
        await fleet.call(fleet.entries[0], "GET", f"{LOOKUP}x", f"{prefix}-{number}")
        for number in range(_LOOKUPS)
    ]
    return Counter(answer.status for answer in answers)


async def _told(fleet: Fleet, event: str) -> None:
    while not fleet.entries[0].lines(event):
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
def test_callers_are_served_by_the_other_instance(tmp_path: Path, value: Any) -> None:
    """It was sent to as before, by its earlier entry or by the foreign one."""

    async def case(fleet: Fleet) -> None:
        spoilt, sound = instances_of(fleet, "app")
        writer = fleet.store.client()
        await writer.replace(names.INSTANCE_KIND, spoilt.id, value, None)
        await _told(fleet, "instance-refused")
        before = sum(spoilt.runs.values())
        assert await _lookups(fleet, "during") == {200: _LOOKUPS}
        assert sum(spoilt.runs.values()) == before
        assert sum(sound.runs.values()) == _LOOKUPS
        # Its own next entry is true again.
        await fleet.list_instance(spoilt)
        while not sum(spoilt.runs.values()) > before:
            await _lookups(fleet, f"after-{sum(sound.runs.values())}")
        assert await fleet.entries[0].is_ready()
        lines = fleet.entries[0].log.read_text().splitlines()
        assert max(map(len, lines)) < 4000

    play(tmp_path, case)


def test_samples_go_on_over_a_second_start_under_one_id(tmp_path: Path) -> None:
    """The engine knows nothing of them, and holds the weights that it was born with."""

    async def case(fleet: Fleet) -> None:
        engines = instances_of(fleet, "lm")
        for engine in engines:
            engine.events, engine.event_s, engine.born_ms = 120, 0.03, 1_000
            engine.versions = {"m": 3}
            await fleet.list_instance(engine)
        await asyncio.sleep(1.5)
        entry = fleet.entries[0]
        job = submission(2, 4, min_version=2)
        await fleet.call(entry, "POST", f"{JOBS}x", "job-1", job)
        while not all(engine.running for engine in engines):
            await asyncio.sleep(0.02)
        again, other = engines
        again.start_again()
        writer = fleet.store.client()
        await writer.replace(names.INSTANCE_KIND, again.id, again.entry(), None)
        await _told(fleet, "instance-restarted")
        before = Counter(again.runs)
        results = await fleet.results(entry, "job-1", 8)
        assert {result["state"] for result in results} == {"completed"}
        assert all(result["weight-versions"] == [3] for result in results)
        # Its weights are too old now, so that the other engine has made the rest.
        assert Counter(again.runs) == before
        assert len(other.runs) == 8

    play(tmp_path, case)
