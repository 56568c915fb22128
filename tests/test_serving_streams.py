"""Callers' streams through the serving programs: passed on, resumed, broken off."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
import pytest

from pistachioglade.errors import Refusal
from pistachioglade.http1 import ResponseHead, open_connection
from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import FleetInstance, event_data
from pistachioglade.store.tests.served import run

from .serving import HOST, EntryProcess, Fleet, configuration, small_fleet

Case = Callable[[Fleet], Awaitable[None]]
STREAM = "/stream/"
RESUMABLE = "/resumable/"
EVENTS = 12


def _with_streams(version: int) -> dict[str, Any]:
    value = configuration(version)
    lookup = value["routes"][0]
    common = {"type": "streaming", "service": "lm"}
    more = {"path-prefix": RESUMABLE, "name": "resumable", "resumable": True}
    value["routes"] += [
        lookup | common | {"path-prefix": STREAM, "name": "stream"},
        lookup | common | more,
    ]
    return value


def _play(folder: Path, case: Case) -> None:
    async def work() -> None:
        async with small_fleet(folder) as fleet:
            for engine in _engines(fleet):
                engine.events, engine.event_s = EVENTS, 0.02
            await fleet.configure(_with_streams(2))
            entry = fleet.entries[0]
            while not any(
                line["version"] == 2 for line in entry.lines("configuration-in-force")
            ):
                await asyncio.sleep(0.02)
            await case(fleet)

    run(work)


def _engines(fleet: Fleet) -> list[FleetInstance]:
    return [item for item in fleet.instances if item.upstream == "lm"]


@attrs.frozen
class Seen:
    """What a caller has seen of an answer."""

    # Its head; None if it never came.
    head: ResponseHead | None
    # Its body as far as it came.
    body: bytes
    # Whether its framing ended.
    is_whole: bool


async def _ask(entry: EntryProcess, path: str, **fields: str) -> Seen:
    connection = await open_connection("127.0.0.1", entry.port, 2.0)
    assert not isinstance(connection, Refusal)
    sent = (("Host", HOST), (names.ATTEMPT_ID, "id-1"), *fields.items())
    exchange = connection.start("POST", path, sent, b"prompt")
    head = await exchange.head()
    if isinstance(head, Refusal):
        return Seen(None, b"", False)
    body = b""
    while isinstance(part := await exchange.read(), bytes):
        body += part
    connection.close()
    return Seen(head, body, part is None)


def _events(first: int, end: int) -> bytes:
    return b"".join(
        f"id: {number}\ndata: {event_data('id-1', number)}\n\n".encode()
        for number in range(first, end)
    )


@attrs.frozen
class Expected:
    """What becomes of a request whose first instance has a fault."""

    # Name of the fault; empty for none.
    fault: str
    # Path that is asked for.
    path: str
    # Status that the caller sees.
    status: int
    # Whether the answer is whole.
    is_whole: bool
    # Whole events that it holds.
    events: int
    # How often an instance began to work on it.
    runs: int


_CASES = {
    "no fault": Expected("", STREAM, 200, True, EVENTS, 1),
    "refused": Expected("refused", STREAM, 200, True, EVENTS, 1),
    "failed, once only": Expected("failed", STREAM, 500, True, 0, 1),
    "failed, resumable": Expected("failed", RESUMABLE, 200, True, EVENTS, 2),
    "cut, once only": Expected("cut", STREAM, 200, False, 2, 1),
    "cut, resumable": Expected("cut", RESUMABLE, 200, True, EVENTS, 2),
    "silent, resumable": Expected("silent", RESUMABLE, 200, True, EVENTS, 2),
    "another's answer": Expected("wrong_id", STREAM, 502, True, 0, 1),
    "another's, resumable": Expected("wrong_id", RESUMABLE, 200, True, EVENTS, 2),
    "unsigned, once only": Expected("unsigned", STREAM, 502, True, 0, 1),
}


@pytest.mark.parametrize("name", _CASES)
def test_a_stream_whose_first_instance_has_a_fault(name: str, tmp_path: Path) -> None:
    expected = _CASES[name]

    async def case(fleet: Fleet) -> None:
        first, second = _engines(fleet)
        # Load decides; with equal loads the first name is taken.
        if expected.fault:
            setattr(first.faults, expected.fault, 1)
        seen = await _ask(fleet.entries[0], f"{expected.path}x")
        assert seen.head is not None
        assert seen.head.status == expected.status
        assert seen.is_whole is expected.is_whole
        if expected.status == 200:
            assert seen.body == _events(0, expected.events)
            assert seen.head.field(names.SIGNATURE) == "sig-id-1"
        assert first.runs["id-1"] + second.runs["id-1"] == expected.runs
        if name == "cut, resumable":
            assert second.resumed == {"id-1": 1}

    _play(tmp_path, case)


def test_events_are_passed_on_as_they_come(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        for engine in _engines(fleet):
            engine.event_s = 1.0
        connection = await open_connection("127.0.0.1", fleet.entries[0].port, 2.0)
        assert not isinstance(connection, Refusal)
        sent = (("Host", HOST), (names.ATTEMPT_ID, "id-1"))
        exchange = connection.start("POST", f"{STREAM}x", sent, b"prompt")
        first = await exchange.read()
        assert isinstance(first, bytes)
        assert first.startswith(_events(0, 1))
        assert sum(engine.running for engine in _engines(fleet)) == 1
        connection.close()
        while sum(engine.running for engine in _engines(fleet)):
            await asyncio.sleep(0.02)

    _play(tmp_path, case)


def test_a_caller_that_has_the_first_events_gets_the_others(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        resumed = {names.LAST_EVENT_ID: "4"}
        seen = await _ask(fleet.entries[0], f"{RESUMABLE}x", **resumed)
        assert seen.is_whole
        assert seen.body == _events(5, EVENTS)

    _play(tmp_path, case)


def test_a_stream_ends_at_its_routes_time(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        for engine in _engines(fleet):
            engine.event_s = 0.1
        seen = await _ask(
            fleet.entries[0], f"{RESUMABLE}x", **{names.DEADLINE_MS: "350"}
        )
        assert not seen.is_whole
        assert seen.body != _events(0, EVENTS)
        assert _events(0, EVENTS).startswith(seen.body)
        while sum(engine.running for engine in _engines(fleet)):
            await asyncio.sleep(0.02)

    _play(tmp_path, case)
