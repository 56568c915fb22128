"""Callers' streams through the serving programs: forwarded, resumed, broken off."""

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

from .serving import HOST, Fleet, ServingProcess, configuration, small_fleet

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


def _run_case(folder: Path, case: Case) -> None:
    async def work() -> None:
        async with small_fleet(folder) as fleet:
            for engine in _engines(fleet):
                engine.events, engine.event_s = EVENTS, 0.02
            await fleet.configure(_with_streams(2))
            entry = fleet.entries[0]
            while not any(
                line["version"] == 2
                for line in entry.log_lines("configuration-in-force")
            ):
                await asyncio.sleep(0.02)
            await case(fleet)

    run(work)


def _engines(fleet: Fleet) -> list[FleetInstance]:
    return [item for item in fleet.instances if item.upstream == "lm"]


@attrs.frozen
class Received:
    """The part of an answer that a caller has received."""

    # Response head; None if none came.
    head: ResponseHead | None
    # Received part of the body.
    body: bytes
    # Whether the end of the body was received.
    is_complete: bool


async def _request_stream(entry: ServingProcess, path: str, **fields: str) -> Received:
    connection = await open_connection("127.0.0.1", entry.port, 2.0)
    assert not isinstance(connection, Refusal)
    sent = (("Host", HOST), (names.ATTEMPT_ID, "id-1"), *fields.items())
    exchange = connection.start("POST", path, sent, b"prompt")
    head = await exchange.head()
    if isinstance(head, Refusal):
        return Received(None, b"", False)
    body = b""
    while isinstance(part := await exchange.read(), bytes):
        body += part
    connection.close()
    return Received(head, body, part is None)


def _events(first: int, end: int) -> bytes:
    return b"".join(
        f"id: {number}\ndata: {event_data('id-1', number)}\n\n".encode()
        for number in range(first, end)
    )


@attrs.frozen
class Expected:
    """Expected outcome of a request whose first instance has a fault."""

    # Name of the fault; empty for no fault.
    fault: str
    # Path prefix of the request.
    path: str
    # Status that the caller receives.
    status: int
    # Whether the answer is complete.
    is_complete: bool
    # Number of complete events in the answer.
    events: int
    # Number of times that an instance began to run the request.
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
        # The least loaded instance is chosen; at equal load, the first by name.
        if expected.fault:
            setattr(first.faults, expected.fault, 1)
        received = await _request_stream(fleet.entries[0], f"{expected.path}x")
        assert received.head is not None
        assert received.head.status == expected.status
        assert received.is_complete is expected.is_complete
        if expected.status == 200:
            assert received.body == _events(0, expected.events)
            assert received.head.field(names.SIGNATURE) == "sig-id-1"
        assert first.runs["id-1"] + second.runs["id-1"] == expected.runs
        if name == "cut, resumable":
            assert second.resumed == {"id-1": 1}

    _run_case(tmp_path, case)


def test_events_are_forwarded_as_they_arrive(tmp_path: Path) -> None:
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

    _run_case(tmp_path, case)


def test_a_caller_with_a_last_event_id_gets_the_later_events(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        resumed = {names.LAST_EVENT_ID: "4"}
        received = await _request_stream(fleet.entries[0], f"{RESUMABLE}x", **resumed)
        assert received.is_complete
        assert received.body == _events(5, EVENTS)

    _run_case(tmp_path, case)


def test_a_stream_ends_at_its_deadline(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        for engine in _engines(fleet):
            engine.event_s = 0.1
        received = await _request_stream(
            fleet.entries[0], f"{RESUMABLE}x", **{names.DEADLINE_MS: "350"}
        )
        assert not received.is_complete
        assert received.body != _events(0, EVENTS)
        assert _events(0, EVENTS).startswith(received.body)
        while sum(engine.running for engine in _engines(fleet)):
            await asyncio.sleep(0.02)

    _run_case(tmp_path, case)
