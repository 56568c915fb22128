"""Pool of keep-alive connections to one server."""

from __future__ import annotations

import asyncio
from typing import Final

from ..errors import Refusal
from ._client import ClientConnection, Exchange, open_connection
from ._messages import Fields, Response

#: Timeout for opening a connection, in seconds. The peers are a few milliseconds away,
#: and TCP resends a lost SYN only after a second.
CONNECT_TIMEOUT_S: Final = 0.5
#: Keep-alive timeout of a server that announces none, in seconds.
_DEFAULT_KEEP_ALIVE_S: Final = 8.0
#: Fraction of the keep-alive timeout for which an idle connection is reused, so that
#: no request is sent while the server closes the connection.
_KEEP_ALIVE_FRACTION: Final = 0.85


class Pool:
    """Connections to one address; the last one that became idle is reused first."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._idle: list[ClientConnection] = []
        self._busy: set[ClientConnection] = set()
        # Number of connections opened so far.
        self.opened = 0

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    def _take_idle(self) -> ClientConnection | None:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            keep_alive_s = connection.keep_alive_s or _DEFAULT_KEEP_ALIVE_S
            is_fresh = (
                now_s - connection.idle_since_s < keep_alive_s * _KEEP_ALIVE_FRACTION
            )
            if connection.is_reusable and is_fresh:
                return connection
            connection.close()
        return None

    async def acquire(
        self, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> ClientConnection | Refusal:
        """Return an idle or new connection; a refusal if none can be opened."""
        connection = self._take_idle()
        if connection is None:
            opened = await open_connection(self.host, self.port, timeout_s)
            if isinstance(opened, Refusal):
                return opened
            self.opened += 1
            connection = opened
        self._busy.add(connection)
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool; close it if it can't be reused."""
        self._busy.discard(connection)
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    async def request(
        self, method: str, target: str, fields: Fields, body: bytes, timeout_s: float
    ) -> Response | Refusal:
        """Run one exchange; raise TimeoutError after ``timeout_s``."""
        async with asyncio.timeout(timeout_s):
            connection = await self.acquire(min(timeout_s, CONNECT_TIMEOUT_S))
            if isinstance(connection, Refusal):
                return connection
            try:
                exchange: Exchange = connection.start(method, target, fields, body)
                answer = await exchange.read_response()
            except BaseException:
                connection.close()
                raise
            finally:
                self.release(connection)
            return answer

    def close_idle(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def close(self) -> None:
        """Close all connections."""
        for connection in (*self._idle, *self._busy):
            connection.close()
        self._idle.clear()
        self._busy.clear()
