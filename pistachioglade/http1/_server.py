"""HTTP/1.1 server over asyncio; each connection runs one request at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Final

from ..decisions import stalled_holders
from ._memory import Memory
from ._messages import Request
from ._reply import Handler, ServerLimits
from ._server_connection import LONGEST_PAUSE_S, ServerConnection
from ._turns import Turns

#: Bytes that are read from a connection at once.
_READ_BYTES: Final = 64 * 1024
#: Connections that the kernel completes and keeps until they are accepted.
_BACKLOG: Final = 1024
#: Connections that are accepted in one pass of the event loop. All of them have
#: descriptors before the first can be closed.
_ACCEPTED_IN_PASS: Final = 8
#: Fraction of the most connections from which a server is crowded.
_CROWDED_FRACTION: Final = 3 / 4
#: Time after a search for stalled clients that found none, until the next, in seconds.
_SEARCH_PAUSE_S: Final = 0.05


class ClientEnd(Enum):
    """Why a client was cut off that had done nothing against the protocol."""

    # It held memory, without progress, that another client needed.
    MEMORY = "memory"
    # There were too many connections, and it had made no use of its own for longest.
    CONNECTIONS = "connections"


class HttpServer:
    """HTTP/1.1 server on one address."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        memory: Memory | None = None,
        max_connections: int | None = None,
        check_interval_s: float | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        # Memory budget of the clients' requests.
        self.memory = memory or Memory()
        self.memory.on_state.append(self._apply_memory_state)
        self.memory.on_recount.append(self._count_unsent)
        self.memory.on_shortage.append(self._end_stalled)
        # Most connections; None for no bound.
        self.max_connections = max_connections
        # Time between two checks of the timeouts while there are connections, in
        # seconds; None if they are checked from outside.
        self._check_interval_s = check_interval_s
        self._is_check_scheduled = False
        # Called with a request that was refused for lack of memory, without its body.
        self.on_refused: Callable[[Request], None] = lambda request: None
        # Called with a client's address when it is cut off.
        self.on_ended: Callable[[str, ClientEnd], None] = lambda peer, end: None
        # All connections, in the order of their last use: that of their opening, the
        # last progress of a body or the end of the last answer.
        self.connections: dict[ServerConnection, None] = {}
        # Connections whose bytes take long to parse.
        self.turns = Turns()
        # Buffer into which all connections read, one after the other.
        self.read_buffer = memoryview(bytearray(_READ_BYTES))
        # Whether each connection is closed after the answer in progress.
        self.is_leaving = False
        self._server: asyncio.Server | None = None
        # Monotonic time of the next search for stalled clients, in seconds.
        self._next_search_s = float("-inf")

    async def start(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        loop = asyncio.get_running_loop()
        listener = socket.create_server((host, port), backlog=_BACKLOG)
        self._server = await loop.create_server(
            lambda: ServerConnection(self), sock=listener, backlog=_ACCEPTED_IN_PASS
        )
        # The event loop accepts as many connections at once as its backlog has.
        listener.listen(_BACKLOG)

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    # Connections.

    def add(self, connection: ServerConnection) -> None:
        """Register a new connection; close another one if there are too many."""
        self.connections[connection] = None
        self._schedule_check()
        if self.max_connections and len(self.connections) > self.max_connections:
            # The new connection is the last one that isn't in use.
            unused = (item for item in self.connections if not item.is_running)
            self._cut_off(next(unused), ClientEnd.CONNECTIONS)

    @property
    def is_crowded(self) -> bool:
        """Whether new connections will soon take the place of others."""
        most = self.max_connections
        return most is not None and len(self.connections) > _CROWDED_FRACTION * most

    def remove(self, connection: ServerConnection) -> None:
        """Forget a lost connection."""
        self.connections.pop(connection, None)
        self.turns.discard(connection)

    def touch(self, connection: ServerConnection) -> None:
        """Record the use of a connection."""
        if self.connections.pop(connection, self) is None:
            self.connections[connection] = None

    def _cut_off(self, connection: ServerConnection, end: ClientEnd) -> None:
        self.on_ended(connection.peer, end)
        self.connections.pop(connection, None)
        connection.abort()

    # Time.

    def _schedule_check(self) -> None:
        """Check the timeouts at intervals as long as there are connections."""
        if self._check_interval_s is None or self._is_check_scheduled:
            return
        self._is_check_scheduled = True
        asyncio.get_running_loop().call_later(self._check_interval_s, self._check)

    def _check(self) -> None:
        self._is_check_scheduled = False
        self.close_timed_out(asyncio.get_running_loop().time())
        if self.connections:
            self._schedule_check()

    def close_timed_out(self, now_s: float) -> None:
        """Close connections whose idle or header timeout has passed."""
        self._count_unsent()
        for connection in tuple(self.connections):
            connection.close_if_timed_out(now_s)
        paused = [
            item
            for item in self.connections
            if item.paused_since_s is not None
            and now_s - item.paused_since_s > LONGEST_PAUSE_S
        ]
        if paused:
            self._end_stalled(lambda: not self.memory.budget.state.is_near)
        if self.memory.budget.state.is_near:
            self._refuse_largest(paused)

    # Memory.

    def _count_unsent(self) -> None:
        for connection in tuple(self.connections):
            connection.count_unsent()

    def _apply_memory_state(self) -> None:
        for connection in tuple(self.connections):
            connection.apply_memory_state()

    def _end_stalled(self, is_enough: Callable[[], bool]) -> None:
        """End clients that hold memory without progress until there is enough."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_search_s or is_enough():
            return
        holders = (
            ((connection, is_arriving), holding)
            for connection in self.connections
            for is_arriving, holding in zip(
                (True, False), connection.holdings(now_s), strict=True
            )
        )
        for connection, is_arriving in stalled_holders(holders):
            if is_arriving:
                self.on_ended(connection.peer, ClientEnd.MEMORY)
                connection.refuse()
            else:
                self._cut_off(connection, ClientEnd.MEMORY)
            if is_enough():
                return
        self._next_search_s = now_s + _SEARCH_PAUSE_S

    def end_for_memory(self) -> None:
        """End stalled clients, or refuse a request, until the budget isn't full."""
        self._count_unsent()
        self._end_stalled(lambda: not self.memory.budget.state.is_full)
        if self.memory.budget.state.is_full:
            self._refuse_largest(self.connections)

    def _refuse_largest(self, connections: Iterable[ServerConnection]) -> None:
        """Refuse that of the requests being read that holds most.

        Of equal ones the newest is refused.
        """
        reading = [item for item in connections if item.incoming.is_unbounded]
        if reading:
            largest = max(
                reading,
                key=lambda item: (item.incoming.held_bytes, item.incoming.begun_s),
            )
            largest.refuse()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in tuple(self.connections):
            if connection.is_idle:
                connection.close()

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress or partly read."""
        return sum(not connection.is_idle for connection in self.connections)

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()
