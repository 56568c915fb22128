"""HTTP/1.1 server over asyncio; each connection runs one request at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final

import attrs
import httptools

from ._client import enable_silence_detection
from ._messages import Fields, Request, Response, head_bytes, reason_phrase

#: Queued requests of one connection above which reading from the client pauses.
_MAX_QUEUED_REQUESTS: Final = 8
#: Bytes that frame a field's name and value: colon, space, line end.
_FIELD_FRAMING_BYTES: Final = 4


@attrs.frozen
class ServerLimits:
    """Size and time limits on clients."""

    # Largest head of a request, in bytes.
    max_header_bytes: int = 16384
    # Largest body of a request, in bytes.
    max_body_bytes: int = 32 * 1024 * 1024
    # Time within which a request's head must arrive, in seconds.
    header_timeout_s: float = 3.0
    # Time for which a connection may be idle, in seconds.
    idle_timeout_s: float = 15.0


class Reply:
    """Sends the answer to one request, as a whole or in parts."""

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection
        self.is_started = False
        self.is_finished = False

    def send(self, response: Response) -> None:
        """Send a complete answer."""
        length = ("Content-Length", str(len(response.body)))
        self._send_head(response.status, (*response.fields, length))
        self._connection.write(response.body)
        self.is_finished = True

    def begin(self, status: int, fields: Fields) -> None:
        """Send the head of an answer whose body is sent in parts."""
        self._send_head(status, (*fields, ("Transfer-Encoding", "chunked")))

    async def write(self, part: bytes) -> None:
        """Send a part of the body; wait while the write buffer is full."""
        self._connection.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
        await self._connection.wait_until_writable()

    def finish(self) -> None:
        """End an answer whose body was sent in parts."""
        self._connection.write(b"0\r\n\r\n")
        self.is_finished = True

    def _send_head(self, status: int, fields: Fields) -> None:
        self.is_started = True
        closing = (("Connection", "close"),) if self._connection.is_ending else ()
        line = f"HTTP/1.1 {status} {reason_phrase(status)}"
        self._connection.write(head_bytes(line, (*fields, *closing)))


#: Answers one request. The handler is cancelled when the client disconnects.
Handler = Callable[[Request, Reply], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """Connection of one client."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        # Requests queued after the one in progress, each with whether the connection
        # must be closed after its answer.
        self._queued: deque[tuple[Request, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._is_writable = asyncio.Event()
        self._is_writable.set()
        self._loop = asyncio.get_running_loop()
        self._reset_message()
        # Monotonic time of the last received byte or ended answer, in seconds.
        self.last_active_s = self._loop.time()
        # Whether the connection must be closed, because the client asked for it or sent
        # an invalid request.
        self.will_close = False

    def _reset_message(self) -> None:
        self._target = b""
        self._fields: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._is_in_head = True
        self._message_begun_s: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress, queued or partially read."""
        return self._task is None and not self._queued and self._message_begun_s is None

    @property
    def is_ending(self) -> bool:
        """Whether the connection is closed after the answer in progress."""
        return self.will_close or self._server.is_leaving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_silence_detection(transport)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; reject bytes that aren't HTTP/1.1."""
        self.last_active_s = self._loop.time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(400)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress and drop the queued ones."""
        self._server.connections.discard(self)
        self._is_writable.set()
        self._queued.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make writers wait while the client doesn't read."""
        self._is_writable.clear()

    def resume_writing(self) -> None:
        """Let waiting writers continue."""
        self._is_writable.set()

    async def wait_until_writable(self) -> None:
        """Wait until the write buffer has room."""
        await self._is_writable.wait()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def _reject(self, status: int) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._task is None:
            self.will_close = True
            Reply(self).send(Response(status))
        self.close()

    def close_if_timed_out(self, now_s: float) -> None:
        """Close the connection if its idle or header timeout has passed."""
        limits = self._server.limits
        if self._task is not None:
            return
        if self._message_begun_s is not None:
            limit_s = (
                limits.header_timeout_s if self._is_in_head else limits.idle_timeout_s
            )
            started_s = (
                self._message_begun_s if self._is_in_head else self.last_active_s
            )
            if now_s - started_s > limit_s:
                self._reject(408)
        elif now_s - self.last_active_s > limits.idle_timeout_s:
            self.close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset_message()
        self._message_begun_s = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Collect the target; reject a head above its size limit."""
        self._target += url
        self._head_bytes += len(url)
        if self._head_bytes > self._server.limits.max_header_bytes:
            self._reject(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; reject a head above its size limit."""
        self._head_bytes += len(name) + len(value) + _FIELD_FRAMING_BYTES
        if self._head_bytes > self._server.limits.max_header_bytes:
            self._reject(431)
        self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Send an interim answer if the client expects 100-continue."""
        self._is_in_head = False
        expects = (value for name, value in self._fields if name.lower() == "expect")
        if any(value.lower() == "100-continue" for value in expects):
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect the body; reject a body above its size limit."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Queue the request; start it if none is in progress."""
        if self._transport is None or self._transport.is_closing():
            return
        request = Request(
            self._parser.get_method().decode(),
            self._target.decode("latin-1"),
            tuple(self._fields),
            b"".join(self._body),
            self._loop.time(),
        )
        self._reset_message()
        self._queued.append((request, not self._parser.should_keep_alive()))
        if len(self._queued) > _MAX_QUEUED_REQUESTS:
            self._transport.pause_reading()
        if self._task is None:
            self._start_next()

    def _start_next(self) -> None:
        if not self._queued:
            return
        request, is_last = self._queued.popleft()
        self.will_close = self.will_close or is_last
        self._task = self._loop.create_task(self._run(request))

    async def _run(self, request: Request) -> None:
        reply = Reply(self)
        try:
            await self._server.handler(request, reply)
        finally:
            self._task = None
            self.last_active_s = self._loop.time()
            if not reply.is_finished or self.is_ending:
                self.close()
        assert self._transport is not None
        if not self._transport.is_closing():
            self._transport.resume_reading()
            self._start_next()


class HttpServer:
    """HTTP/1.1 server on one address."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        # Whether each connection is closed after the answer in progress.
        self.is_leaving = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024, reuse_address=True
        )

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close_timed_out(self, now_s: float) -> None:
        """Close connections whose idle or header timeout has passed."""
        for connection in tuple(self.connections):
            connection.close_if_timed_out(now_s)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in tuple(self.connections):
            if connection.is_idle:
                connection.close()

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress, queued or partly read."""
        return sum(not connection.is_idle for connection in self.connections)

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()
