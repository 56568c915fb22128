"""Pool of keep-alive connections to one server."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Final, Protocol

from ..decisions import connection_wait_s
from ..errors import Refusal
from ._client import ClientConnection, open_connection
from ._exchange import MAX_ANSWER_BYTES, CloseReason, Exchange
from ._memory import Memory
from ._messages import Fields, Response

#: Timeout for opening a connection, in seconds. The peers are a few milliseconds away,
#: and TCP resends a lost SYN only after a second.
CONNECT_TIMEOUT_S: Final = 0.5
#: Longest idle time of a connection to a server that announces none and hasn't closed
#: an idle one yet, in seconds. A close is noticed at once, so only a request that is
#: sent in the very moment of the close is lost.
_UNANNOUNCED_KEEP_ALIVE_S: Final = 60.0
#: Time for which the idle time after which a server closed a connection counts, in
#: Least keep-alive timeout that is inferred from a connection that a server closed. One
#: early close, as by a server that stops, must not end all reuse.
_MIN_OBSERVED_KEEP_ALIVE_S: Final = 1.0
#: seconds. Servers also close connections for other reasons, such as a restart.
_OBSERVED_TTL_S: Final = 300.0
#: Time before the end of the keep-alive timeout from which an idle connection isn't
#: reused, so that no request is sent while the server closes the connection: the
#: larger delays of the network and of a busy process, in seconds, but at most a
#: fraction of the timeout.
_KEEP_ALIVE_MARGIN_S: Final = 0.5
_KEEP_ALIVE_MARGIN_FRACTION: Final = 0.15
#: Time for the rest of an answer that is discarded, in seconds.
_DISCARD_TIMEOUT_S: Final = 1.0
#: Interval at which a waiting request checks whether it may open a connection by now,
#: in seconds: a few times within the age to which load reports count.
_RECHECK_S: Final = 0.05


class ConnectionObserver(Protocol):
    """Is told of the connections of a pool."""

    def on_opened(self) -> None:
        """Record that a connection was opened."""

    def on_reused(self) -> None:
        """Record that an idle connection was reused."""

    def on_closed(self, reason: CloseReason) -> None:
        """Record that a connection was closed."""

    def on_waited(self, waited_s: float, is_reused: bool) -> None:
        """Record that a request waited for a connection to become idle."""


class Pool:
    """Connections to one address.

    The last one that became idle is reused first: it is the freshest, and those that
    aren't needed any more expire.
    """

    def __init__(
        self,
        host: str,
        port: int,
        memory: Memory | None = None,
        limit: Callable[[], int | None] = lambda: None,
        observer: ConnectionObserver | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        # Largest body of an answer to :meth:`request`, in bytes.
        self._max_answer_bytes = max_answer_bytes
        self.host = host
        self.port = port
        self._memory = memory or Memory()
        # Returns the number of connections that may be open; None for no limit.
        self._limit = limit
        self._observer = observer
        self._idle: list[ClientConnection] = []
        self._busy: set[ClientConnection] = set()
        # Connections that discard the rest of an answer.
        self._discarding: set[ClientConnection] = set()
        # Requests that wait for a connection, in order. None as a result says that one
        # may be opened.
        self._waiting: deque[asyncio.Future[ClientConnection | None]] = deque()
        self._opening = 0
        # Idle time after which the server closed a connection, in seconds, and the
        # monotonic time of that.
        self._observed_keep_alive_s = float("inf")
        self._observed_s = float("-inf")
        # Whether connections that become idle are closed.
        self._is_retired = False
        # Number of connections opened so far.
        self.opened = 0

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    @property
    def open_count(self) -> int:
        """Number of open connections, with those that are being opened."""
        in_use = len(self._busy) + len(self._discarding) + self._opening
        return len(self._idle) + in_use

    @property
    def has_usable_idle(self) -> bool:
        """Whether a request that is sent now reuses a connection."""
        return any(self._is_usable(connection) for connection in self._idle)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _keep_alive_s(self, connection: ClientConnection) -> float:
        """Return the time for which the server keeps an idle connection."""
        if connection.keep_alive_s is not None:
            return connection.keep_alive_s
        if self._now_s() - self._observed_s < _OBSERVED_TTL_S:
            return min(_UNANNOUNCED_KEEP_ALIVE_S, self._observed_keep_alive_s)
        return _UNANNOUNCED_KEEP_ALIVE_S

    def _is_usable(self, connection: ClientConnection) -> bool:
        keep_alive_s = self._keep_alive_s(connection)
        margin_s = min(_KEEP_ALIVE_MARGIN_S, keep_alive_s * _KEEP_ALIVE_MARGIN_FRACTION)
        idle_s = self._now_s() - connection.idle_since_s
        return connection.is_reusable and idle_s < keep_alive_s - margin_s

    def _take_idle(self) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            connection.close(CloseReason.EXPIRED)
        return None

    async def acquire(
        self,
        timeout_s: float = CONNECT_TIMEOUT_S,
        time_left_s: float = float("inf"),
    ) -> ClientConnection | Refusal:
        """Return an idle or new connection; a refusal if none can be opened.

        ``time_left_s`` is the time until the request's deadline: at the limit it waits
        for a connection only while the deadline isn't near.
        """
        connection = self._take_idle()
        if connection is None and not self._may_open():
            connection = await self._wait_for_idle(time_left_s)
        if connection is not None:
            if self._observer is not None:
                self._observer.on_reused()
        else:
            opened = await self._open(timeout_s)
            if isinstance(opened, Refusal):
                self._wake_next()
                return opened
            connection = opened
        self._busy.add(connection)
        return connection

    async def _open(self, timeout_s: float) -> ClientConnection | Refusal:
        self._opening += 1
        try:
            opened = await open_connection(
                self.host, self.port, timeout_s, self._memory
            )
        finally:
            self._opening -= 1
        if isinstance(opened, ClientConnection):
            self.opened += 1
            opened.on_closed = partial(self._on_closed, opened)
            if self._observer is not None:
                self._observer.on_opened()
        return opened

    # Waiting at the limit.

    def _may_open(self) -> bool:
        limit = self._limit()
        return limit is None or self.open_count < limit

    async def _wait_for_idle(self, time_left_s: float) -> ClientConnection | None:
        """Wait for a connection to become idle; None if one is to be opened."""
        begun_s = self._now_s()
        end_s = begun_s + connection_wait_s(time_left_s)
        connection: ClientConnection | None = None
        while connection is None and self._now_s() < end_s and not self._may_open():
            wait_s = min(_RECHECK_S, end_s - self._now_s())
            connection = await self._wait_once(wait_s)
            if connection is not None and not connection.is_reusable:
                self._busy.discard(connection)
                connection = None
        if self._observer is not None:
            waited_s = self._now_s() - begun_s
            self._observer.on_waited(waited_s, connection is not None)
        return connection

    async def _wait_once(self, wait_s: float) -> ClientConnection | None:
        waiter: asyncio.Future[ClientConnection | None]
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await asyncio.wait((waiter,), timeout=wait_s)
        except BaseException:
            if waiter.done() and (connection := waiter.result()) is not None:
                self.release(connection)
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            waiter.cancel()
        return None if waiter.cancelled() else waiter.result()

    def _wake_next(self, connection: ClientConnection | None = None) -> bool:
        """Let the first waiting request go on; return whether there was one."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(connection)
                return True
        return False

    # The end of an exchange.

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool; close it if it can't be reused."""
        self._busy.discard(connection)
        connection.release_answer()
        if connection.is_discarding:
            self._finish_later(connection)
        elif not connection.is_reusable:
            connection.close(CloseReason.ENDED)
            self._wake_next()
        else:
            self._keep(connection)

    def _keep(self, connection: ClientConnection) -> None:
        """Pass a free connection to a waiting request, or keep it idle."""
        limit = self._limit()
        if self._wake_next(connection):
            self._busy.add(connection)
            return
        if self._is_retired:
            connection.close(CloseReason.REMOVED)
        elif limit is not None and self.open_count >= limit:
            connection.close(CloseReason.OVER_LIMIT)
        else:
            self._idle.append(connection)

    def _finish_later(self, connection: ClientConnection) -> None:
        """Keep a connection once it has discarded the rest of its answer."""

        def keep() -> None:
            if connection in self._discarding:
                self._discarding.discard(connection)
                self.release(connection)

        self._discarding.add(connection)
        connection.on_discarded = keep
        loop = asyncio.get_running_loop()
        loop.call_later(_DISCARD_TIMEOUT_S, self._end_discarding, connection)

    def _end_discarding(self, connection: ClientConnection) -> None:
        if connection in self._discarding and connection.is_discarding:
            connection.close()

    def _on_closed(self, connection: ClientConnection, reason: CloseReason) -> None:
        if reason is CloseReason.LOST_IDLE and connection in self._idle:
            self._observed_s = self._now_s()
            idle_s = self._observed_s - connection.idle_since_s
            self._observed_keep_alive_s = max(_MIN_OBSERVED_KEEP_ALIVE_S, idle_s)
        if connection in self._idle:
            self._idle.remove(connection)
        self._discarding.discard(connection)
        if self._observer is not None:
            self._observer.on_closed(reason)
        self._wake_next()

    async def request(
        self, method: str, target: str, fields: Fields, body: bytes, timeout_s: float
    ) -> Response | Refusal:
        """Run one exchange; raise TimeoutError after ``timeout_s``."""
        async with asyncio.timeout(timeout_s):
            connection = await self.acquire(
                min(timeout_s, CONNECT_TIMEOUT_S), timeout_s
            )
            if isinstance(connection, Refusal):
                return connection
            try:
                exchange: Exchange = connection.start(method, target, fields, body)
                answer = await exchange.read_response(self._max_answer_bytes)
            except BaseException:
                connection.close()
                raise
            finally:
                self.release(connection)
            return answer

    def close_idle(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close(CloseReason.REMOVED)

    def retire(self) -> None:
        """Close the idle connections, and each other one once its exchange has ended.

        The server may need them for the clients that still use it.
        """
        self._is_retired = True
        self.close_idle()

    def close(self) -> None:
        """Close all connections; requests that wait for one try to open one.

        A connection that is being opened closes once it becomes idle.
        """
        self._is_retired = True
        for connection in (*self._idle, *self._busy, *self._discarding):
            connection.close(CloseReason.REMOVED)
        self._idle.clear()
        self._busy.clear()
        while self._wake_next():
            pass
