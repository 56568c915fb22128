"""HTTP/1.1 server over asyncio: one request at a time on a connection."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final

import attrs
import httptools

from ._client import watch_for_silence
from ._messages import Fields, Request, Response, head_bytes, reason_phrase

#: Requests that one connection may have waiting behind the one in progress.
_MAX_PIPELINED: Final = 8
#: Bytes around a field's name and value: colon, space, line end.
_FIELD_FRAMING_BYTES: Final = 4


@attrs.frozen
class ServerLimits:
    """What a client may send and how long it may take."""

    # Largest head of a request.
    max_header_bytes: int = 16384
    # Largest body.
    max_body_bytes: int = 32 * 1024 * 1024
    # Time for a head to arrive.
    header_timeout_s: float = 3.0
    # Time for which a connection may stay unused.
    idle_timeout_s: float = 15.0


class Reply:
    """The way back to one client; whole answers and answers in parts."""

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection
        self.is_started = False
        self.is_finished = False

    def send(self, response: Response) -> None:
        """Send a whole answer."""
        length = ("Content-Length", str(len(response.body)))
        self._head(response.status, (*response.fields, length))
        self._connection.write(response.body)
        self.is_finished = True

    def begin(self, status: int, fields: Fields) -> None:
        """Send the head of an answer that follows in parts."""
        self._head(status, (*fields, ("Transfer-Encoding", "chunked")))

    async def write(self, part: bytes) -> None:
        """Send a part, and wait while the client doesn't read."""
        self._connection.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
        await self._connection.drained()

    def finish(self) -> None:
        """Send the end of an answer in parts."""
        self._connection.write(b"0\r\n\r\n")
        self.is_finished = True

    def _head(self, status: int, fields: Fields) -> None:
        self.is_started = True
        closing = (("Connection", "close"),) if self._connection.is_ending else ()
        line = f"HTTP/1.1 {status} {reason_phrase(status)}"
        self._connection.write(head_bytes(line, (*fields, *closing)))


#: Answers one request; cancelled when the client leaves.
Handler = Callable[[Request, Reply], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        # Requests behind the one in progress, each with whether the client wants the
        # connection to end after it.
        self._waiting: deque[tuple[Request, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._loop = asyncio.get_running_loop()
        self._reset_message()
        # When the last byte came or the last answer ended.
        self.active_s = self._loop.time()
        # Whether the client, or a fault of its, ends the connection.
        self.will_close = False

    def _reset_message(self) -> None:
        self._target = b""
        self._fields: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._is_in_head = True
        self._begun_s: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or half read."""
        return self._task is None and not self._waiting and self._begun_s is None

    @property
    def is_ending(self) -> bool:
        """Whether the connection ends after the answer in progress."""
        return self.will_close or self._server.is_leaving

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        watch_for_silence(transport)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Feed the parser, within the limits."""
        self.active_s = self._loop.time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(400)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what was in progress for this client."""
        self._server.connections.discard(self)
        self._can_write.set()
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Hold back writers while the client doesn't read."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._can_write.set()

    async def drained(self) -> None:
        """Wait until the client reads again."""
        await self._can_write.wait()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """End the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def _reject(self, status: int) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._task is None:
            self.will_close = True
            Reply(self).send(Response(status))
        self.close()

    def check_time(self, now_s: float) -> None:
        """End the connection if it was idle or slow for too long."""
        limits = self._server.limits
        if self._task is not None:
            return
        if self._begun_s is not None:
            limit_s = (
                limits.header_timeout_s if self._is_in_head else limits.idle_timeout_s
            )
            started_s = self._begun_s if self._is_in_head else self.active_s
            if now_s - started_s > limit_s:
                self._reject(408)
        elif now_s - self.active_s > limits.idle_timeout_s:
            self.close()

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_message()
        self._begun_s = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Collect the target, up to the limit of a head."""
        self._target += url
        self._head_bytes += len(url)
        if self._head_bytes > self._server.limits.max_header_bytes:
            self._reject(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field, up to the limit of a head."""
        self._head_bytes += len(name) + len(value) + _FIELD_FRAMING_BYTES
        if self._head_bytes > self._server.limits.max_header_bytes:
            self._reject(431)
        self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Ask for the body if the client waits to be asked."""
        self._is_in_head = False
        expects = (value for name, value in self._fields if name.lower() == "expect")
        if any(value.lower() == "100-continue" for value in expects):
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect the body, up to its limit."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Queue the request behind the one in progress."""
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
        self._waiting.append((request, not self._parser.should_keep_alive()))
        if len(self._waiting) > _MAX_PIPELINED:
            self._transport.pause_reading()
        if self._task is None:
            self._next()

    def _next(self) -> None:
        if not self._waiting:
            return
        request, is_last = self._waiting.popleft()
        self.will_close = self.will_close or is_last
        self._task = self._loop.create_task(self._run(request))

    async def _run(self, request: Request) -> None:
        reply = Reply(self)
        try:
            await self._server.handler(request, reply)
        finally:
            self._task = None
            self.active_s = self._loop.time()
            if not reply.is_finished or self.is_ending:
                self.close()
        assert self._transport is not None
        if not self._transport.is_closing():
            self._transport.resume_reading()
            self._next()


class HttpServer:
    """Listens on one address."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        # Once set, each connection ends after its answer.
        self.is_leaving = False
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024, reuse_address=True
        )

    @property
    def port(self) -> int:
        """The port that it listens on."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def check_time(self, now_s: float) -> None:
        """End connections that were idle or slow for too long."""
        for connection in tuple(self.connections):
            connection.check_time(now_s)

    def close_idle(self) -> None:
        """End the connections that wait for a request."""
        for connection in tuple(self.connections):
            if connection.is_idle:
                connection.close()

    @property
    def busy_count(self) -> int:
        """How many connections have a request in progress."""
        return sum(not connection.is_idle for connection in self.connections)

    def stop_listening(self) -> None:
        """Take no more connections."""
        if self._server is not None:
            self._server.close()
