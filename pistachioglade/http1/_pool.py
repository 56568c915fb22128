"""Kept connections to one server."""

from __future__ import annotations

import asyncio
from typing import Final

from ..errors import Refusal
from ._client import ClientConnection, Exchange, open_connection
from ._messages import Fields, Response

#: Time within which a connection has to stand; the peers are a few ms away, and a
#: dropped opening packet is sent again only after a second.
CONNECT_TIMEOUT_S: Final = 0.5
#: Idle time after which a connection isn't used again when the server names none.
_DEFAULT_KEEP_S: Final = 8.0
#: Part of the server's idle limit that is used, so that its close isn't met.
_KEEP_PART: Final = 0.85


class Pool:
    """Connections to one address; the newest idle one is used first."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._idle: list[ClientConnection] = []
        self._busy: set[ClientConnection] = set()
        # Connections that were opened.
        self.opened = 0

    @property
    def idle_count(self) -> int:
        """How many connections wait for a request."""
        return len(self._idle)

    def _take_idle(self) -> ClientConnection | None:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            keep_s = connection.keep_s or _DEFAULT_KEEP_S
            is_fresh = now_s - connection.idle_since_s < keep_s * _KEEP_PART
            if connection.is_reusable and is_fresh:
                return connection
            connection.close()
        return None

    async def acquire(
        self, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> ClientConnection | Refusal:
        """Return a connection that is ready for a request."""
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
        """Take a connection back, or end it if it can't be used again."""
        self._busy.discard(connection)
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    async def request(
        self, method: str, target: str, fields: Fields, body: bytes, timeout_s: float
    ) -> Response | Refusal:
        """Make one whole exchange; TimeoutError when time is up."""
        async with asyncio.timeout(timeout_s):
            connection = await self.acquire(min(timeout_s, CONNECT_TIMEOUT_S))
            if isinstance(connection, Refusal):
                return connection
            try:
                exchange: Exchange = connection.start(method, target, fields, body)
                answer = await exchange.whole()
            except BaseException:
                connection.close()
                raise
            finally:
                self.release(connection)
            return answer

    def close_idle(self) -> None:
        """End the connections that wait for a request."""
        while self._idle:
            self._idle.pop().close()

    def close(self) -> None:
        """End every connection."""
        for connection in (*self._idle, *self._busy):
            connection.close()
        self._idle.clear()
        self._busy.clear()
