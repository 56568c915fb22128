"""HTTP/1.1 client connections that run one exchange at a time."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import Final

import httptools

from ..errors import ErrorKind, Refusal, refuse
from ._messages import Fields, Response, ResponseHead, head_bytes

#: Buffered bytes of a body above which reading from the peer pauses.
_HIGH_WATER_BYTES: Final = 512 * 1024
#: Time without acknowledgement of sent data after which the kernel closes the
#: connection, in milliseconds.
_USER_TIMEOUT_MS: Final = 2500


class Exchange:
    """The answer to one request while the answer arrives."""

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._waiter: asyncio.Future[None] | None = None
        # Status line and header fields; None until they have arrived.
        self.response: ResponseHead | None = None
        # Whether the answer is complete according to its framing.
        self.is_complete = False
        # Reason why the answer can't be completed; None while it can.
        self.failure: Refusal | None = None
        # Whether the answer has a length or chunks. Without either, a lost connection
        # looks like the end of the answer.
        self.is_framed = True

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def on_head(self, response: ResponseHead, is_framed: bool) -> None:
        """Store the status line and header fields."""
        self.response = response
        self.is_framed = is_framed
        self._wake()

    def on_chunk(self, chunk: bytes) -> None:
        """Buffer a part of the body."""
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        if self._buffered > _HIGH_WATER_BYTES:
            self._connection.pause()
        self._wake()

    def on_complete(self) -> None:
        """Mark the answer as complete."""
        self.is_complete = True
        self._wake()

    def on_failure(self, failure: Refusal) -> None:
        """Record why the exchange failed, unless the answer is complete."""
        if not self.is_complete and self.failure is None:
            self.failure = failure
            self._wake()

    async def head(self) -> ResponseHead | Refusal:
        """Wait for the status line and header fields, and return them."""
        while self.response is None:
            if self.failure is not None:
                return self.failure
            await self._wait()
        return self.response

    async def read(self) -> bytes | Refusal | None:
        """Return the next part of the body; None at the end of the body."""
        while not self._chunks:
            if self.is_complete:
                return None
            if self.failure is not None:
                return self.failure
            await self._wait()
        chunk = self._chunks.popleft()
        self._buffered -= len(chunk)
        if self._buffered <= _HIGH_WATER_BYTES:
            self._connection.resume()
        return chunk

    async def read_response(self) -> Response | Refusal:
        """Read the answer to its end and return it."""
        head = await self.head()
        if isinstance(head, Refusal):
            return head
        parts: list[bytes] = []
        while True:
            chunk = await self.read()
            if isinstance(chunk, Refusal):
                return chunk
            if chunk is None:
                return Response(head.status, head.fields, b"".join(parts))
            parts.append(chunk)

    def abort(self) -> None:
        """Abandon the exchange; close its connection unless that can be reused."""
        if not self.is_complete or not self._connection.is_reusable:
            self._connection.close()


class ClientConnection(asyncio.Protocol):
    """One connection to a server, which runs one exchange at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._fields: list[tuple[str, str]] = []
        self._ends_with_connection = False
        self._may_reuse = True
        # Whether the connection is closed.
        self.is_closed = False
        # Number of completed exchanges.
        self.completed_count = 0
        # Monotonic time at which the last answer ended, in seconds.
        self.idle_since_s = 0.0
        # Keep-alive timeout that the server has announced, in seconds; None for none.
        self.keep_alive_s: float | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange may start on the connection."""
        return not self.is_closed and self._may_reuse and self._exchange is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and let the kernel detect a silent peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_silence_detection(transport)

    def pause(self) -> None:
        """Stop reading from the server."""
        if self._transport is not None and not self.is_closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading from the server."""
        if self._transport is not None and not self.is_closed:
            self._transport.resume_reading()

    def start(self, method: str, target: str, fields: Fields, body: bytes) -> Exchange:
        """Send a request; return the exchange that receives the answer."""
        exchange = Exchange(self)
        assert self._transport is not None
        self._exchange = exchange
        self._fields = []
        framed = (*fields, ("Content-Length", str(len(body))))
        head = head_bytes(f"{method} {target} HTTP/1.1", framed)
        self._transport.write(head + body)
        return exchange

    def close(self) -> None:
        """End the connection at once."""
        if self._transport is not None and not self.is_closed:
            self._transport.abort()
        self.is_closed = True
        self._fail("closed by this side")

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes without a request in progress close the connection."""
        if self._exchange is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not HTTP: {error}")
            self.close()

    def eof_received(self) -> bool:
        """Complete an answer whose body extends to the end of the connection."""
        if self._ends_with_connection and self._exchange is not None:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.is_closed = True
        reason = f"connection lost: {exc}" if exc else "connection closed"
        self._fail(reason, ErrorKind.CONNECTION_LOST)

    def _fail(self, reason: str, kind: ErrorKind = ErrorKind.UPSTREAM_LOST) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.on_failure(refuse(kind, reason))

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer; an answer without a request prevents connection reuse."""
        self._fields = []
        if self._exchange is None:
            self._may_reuse = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Pass the head to the exchange, unless the answer is an interim one."""
        status = self._parser.get_status_code()
        if status < 200 or self._exchange is None:
            return
        names = {name.lower(): value for name, value in self._fields}
        is_framed = "content-length" in names or "transfer-encoding" in names
        self._ends_with_connection = not is_framed and status not in (204, 304)
        self._may_reuse = self._may_reuse and self._parser.should_keep_alive()
        self._may_reuse = self._may_reuse and not self._ends_with_connection
        self.keep_alive_s = _keep_alive_s(names.get("keep-alive"))
        self._exchange.on_head(ResponseHead(status, tuple(self._fields)), is_framed)

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the exchange."""
        if self._exchange is not None:
            self._exchange.on_chunk(body)

    def on_message_complete(self) -> None:
        """Complete the exchange, unless the answer is an interim one."""
        if self._parser.get_status_code() >= 200:
            self._complete()

    def _complete(self) -> None:
        exchange, self._exchange = self._exchange, None
        self._ends_with_connection = False
        self.completed_count += 1
        self.idle_since_s = asyncio.get_running_loop().time()
        if exchange is not None:
            exchange.on_complete()


def _keep_alive_s(value: str | None) -> float | None:
    parts = [part.strip() for part in (value or "").split(",")]
    found = (part[8:] for part in parts if part.lower().startswith("timeout="))
    text = next(found, "")
    return float(text) if text.isdigit() else None


def enable_silence_detection(transport: asyncio.Transport) -> None:
    """Set socket options so that the kernel closes a connection to a silent peer."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


async def open_connection(
    host: str, port: int, timeout_s: float
) -> ClientConnection | Refusal:
    """Open a connection; a refusal says that nothing was sent."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _transport, connection = await loop.create_connection(
                ClientConnection, host, port
            )
    except (OSError, TimeoutError) as error:
        reason = f"{host}:{port}: {type(error).__name__} {error}"
        return refuse(ErrorKind.LINK_NOT_OPEN, reason)
    return connection
