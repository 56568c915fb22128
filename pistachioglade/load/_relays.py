"""TCP relays in front of the nodes' link servers, to cut and to stall links.

A cut relay aborts its connections and closes new ones. A stalled relay keeps its
connections open and forwards no data, like half-open connections after a lost route.
"""

from __future__ import annotations

import asyncio
import random
import socket
import threading
from collections.abc import Coroutine
from enum import Enum
from itertools import count
from typing import Any, Final, TypeVar

import attrs

_CHUNK_BYTES: Final = 65536
_CALL_TIMEOUT_S: Final = 10.0

T = TypeVar("T")


class RelayState(Enum):
    """Treatment of connections and data by a relay."""

    OPEN = "open"
    CUT = "cut"
    STALLED = "stalled"


def _choose_host() -> str:
    """Return a loopback address that no other process is likely to use."""
    numbers = [random.SystemRandom().randint(1, 254) for _position in range(3)]
    return ".".join(map(str, (127, *numbers)))


_HOST: Final = _choose_host()
_PORTS: Final = count(20_000)


def free_address() -> str:
    """Return a free loopback address; no address is returned twice.

    Each process uses a loopback host of its own. On a shared host, an outgoing
    connection of another process could take a free port before the caller listens.
    """
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((_HOST, port))
            except OSError:
                continue
        return f"{_HOST}:{port}"
    raise OSError("no port is left")


@attrs.define(eq=False)
class _Relay:
    # Host and port that the relay forwards to.
    target: str
    # Current treatment of connections and data.
    state: RelayState = RelayState.OPEN
    # Set unless the relay is stalled; data waits for the event.
    is_open: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Writers to both ends of each connection.
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)


class Relays:
    """Relays by node, on an event loop in a separate thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._relays: dict[str, _Relay] = {}

    def _run_on_loop(self, work: Coroutine[Any, Any, T]) -> T:
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(_CALL_TIMEOUT_S)

    def add(self, node: str, target: str) -> str:
        """Start a relay to ``target``; return the address to reach it at."""
        return self._run_on_loop(self._add(node, target))

    async def _add(self, node: str, target: str) -> str:
        relay = _Relay(target)
        relay.is_open.set()
        self._relays[node] = relay
        server = await asyncio.start_server(
            lambda reader, writer: self._forward_connection(relay, reader, writer),
            "127.0.0.1",
            0,
        )
        port = server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _forward_connection(
        self,
        relay: _Relay,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if relay.state is RelayState.CUT:
            writer.close()
            return
        host, _, port = relay.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        relay.writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward_data(relay, reader, target_writer),
            self._forward_data(relay, target_reader, writer),
        )
        relay.writers -= {writer, target_writer}

    async def _forward_data(
        self,
        relay: _Relay,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await relay.is_open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def set_state(self, node: str, state: RelayState) -> None:
        """Open, cut or stall the links to a node."""
        self._run_on_loop(self._set_state(self._relays[node], state))

    async def _set_state(self, relay: _Relay, state: RelayState) -> None:
        relay.state = state
        if state is RelayState.STALLED:
            relay.is_open.clear()
            return
        relay.is_open.set()
        if state is RelayState.CUT:
            for writer in tuple(relay.writers):
                writer.transport.abort()

    @staticmethod
    async def _cancel_all() -> None:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def close(self) -> None:
        """Stop every relay and the event loop."""
        self._run_on_loop(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CALL_TIMEOUT_S)
