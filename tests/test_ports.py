"""Reserved ports are assigned to no other process; failed starts are reported."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from .ports import reserve_port, reserve_port_pair
from .serving import Fleet, small_fleet


def test_the_kernel_hands_no_reserved_port_out() -> None:
    reserved = {reserve_port() for _ in range(200)}
    assert len(reserved) == 200
    held = []
    for _ in range(2000):
        other = socket.socket()
        other.bind(("127.0.0.1", 0))
        held.append(other)
    found = {other.getsockname()[1] for other in held}
    for other in held:
        other.close()
    assert not found & reserved


def test_no_connection_goes_out_from_a_reserved_port() -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=2048) as server:
        reserved = {reserve_port() for _ in range(200)}
        held = [socket.create_connection(server.getsockname()) for _ in range(1000)]
        found = {one.getsockname()[1] for one in held}
        for one in held:
            one.close()
    assert not found & reserved


@pytest.mark.parametrize("place", [0, 1])
def test_a_server_can_listen_at_its_reserved_port_repeatedly(place: int) -> None:
    port = reserve_port_pair() + place

    async def listen_and_close() -> None:
        server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", port)
        _reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.close()
        server.close()
        await server.wait_closed()

    asyncio.run(listen_and_close())
    asyncio.run(listen_and_close())


def test_an_entry_that_exits_at_its_start_is_reported_at_once(tmp_path: Path) -> None:
    """Guards against waiting forever for an entry whose port is already in use."""

    async def work() -> None:
        async with small_fleet(tmp_path, entries=0) as fleet:
            with (
                socket.create_server(("127.0.0.1", 0)) as taken,
                pytest.raises(AssertionError, match="address already in use"),
            ):
                await _add_entry_at(fleet, taken.getsockname()[1])

    async def bounded() -> None:
        async with asyncio.timeout(30.0):
            await work()

    asyncio.run(bounded())


async def _add_entry_at(fleet: Fleet, internal_port: int) -> None:
    fleet.extra_settings["internal-port-range"] = f"{internal_port},{internal_port}"
    await fleet.add_entry("entry-0")
