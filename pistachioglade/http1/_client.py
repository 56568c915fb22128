"""HTTP/1.1 client connections that run one exchange at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

import httptools

from ..errors import ErrorKind, Refusal, refuse
from ._exchange import CloseReason, Exchange
from ._framing import FramingMeter
from ._memory import Memory
from ._messages import Fields, ResponseHead, head_bytes

#: Bytes of a request's body that are written at once. The transport copies what it
#: can't send, so a body of 32 MB written as a whole would be held three times.
_PIECE_BYTES: Final = 256 * 1024
#: Longest head of an answer with the interim answers before it, extension of a chunk,
#: or trailers, in bytes. A head has a status line and about a dozen short fields.
MAX_FRAMING_BYTES: Final = 16 * 1024
#: Keep-alive timeout of a server that announces 0, in seconds: half of the shortest
#: time that it could have announced.
_SUBSECOND_KEEP_ALIVE_S: Final = 0.5
#: Time without acknowledgement of sent data after which the kernel closes the
#: connection, in milliseconds.
_USER_TIMEOUT_MS: Final = 2500


class ClientConnection(asyncio.Protocol):
    """One connection to a server, which runs one exchange at a time."""

    def __init__(self, memory: Memory | None = None) -> None:
        self._memory = memory or Memory()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        # The last exchange, whose answer may still be held after its end.
        self._last_exchange: Exchange | None = None
        # The part of a request's body that isn't written yet.
        self._unwritten = memoryview(b"")
        self._may_write = True
        self._fields: list[tuple[str, str]] = []
        self._framing = FramingMeter()
        # Parts of the body in the bytes that are being parsed.
        self._body_parts: list[bytes] = []
        self._ends_with_connection = False
        self._may_reuse = True
        # Whether the connection is closed.
        self.is_closed = False
        # Called once when the connection ends, with the reason.
        self.on_closed: Callable[[CloseReason], None] | None = None
        # Called when an abandoned answer has ended and the connection can be reused.
        self.on_discarded: Callable[[], None] | None = None
        # Number of completed exchanges.
        self.completed_count = 0
        # Monotonic time at which the last answer ended, in seconds.
        self.idle_since_s = 0.0
        # Keep-alive timeout that the server has announced, in seconds; None for none.
        self.keep_alive_s: float | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange may start on the connection."""
        is_free = self._exchange is None and not self._unwritten
        return not self.is_closed and self._may_reuse and is_free

    @property
    def is_discarding(self) -> bool:
        """Whether the rest of an abandoned answer is being discarded."""
        exchange = self._exchange
        return not self.is_closed and exchange is not None and exchange.is_discarded

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and let the kernel detect a silent peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.idle_since_s = asyncio.get_running_loop().time()
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
        exchange = Exchange(self, self._memory)
        assert self._transport is not None
        self._exchange = self._last_exchange = exchange
        self._fields = []
        self._framing.reset()
        framed = (*fields, ("Content-Length", str(len(body))))
        head = head_bytes(f"{method} {target} HTTP/1.1", framed)
        if len(body) <= _PIECE_BYTES:
            self._transport.write(head + body)
            return exchange
        self._transport.write(head)
        self._unwritten = memoryview(body)
        self._write_pieces()
        return exchange

    def pause_writing(self) -> None:
        """Write no more of the body while the server doesn't read."""
        self._may_write = False

    def resume_writing(self) -> None:
        """Write on."""
        self._may_write = True
        self._write_pieces()

    def _write_pieces(self) -> None:
        assert self._transport is not None
        while self._unwritten and self._may_write and not self.is_closed:
            self._transport.write(self._unwritten[:_PIECE_BYTES])
            self._unwritten = self._unwritten[_PIECE_BYTES:]
        if not self._unwritten:
            # An empty part would still hold the whole body.
            self._unwritten = memoryview(b"")

    def release_answer(self) -> None:
        """Return the memory of the last answer, which its reader has by now."""
        exchange, self._last_exchange = self._last_exchange, None
        if exchange is not None:
            exchange.release()

    def close(self, reason: CloseReason = CloseReason.ABORTED) -> None:
        """End the connection at once."""
        was_closed = self.is_closed
        self._record_closed(reason)
        self._fail("closed by this side")
        if self._transport is not None and not was_closed:
            self._transport.abort()

    def _record_closed(self, reason: CloseReason) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self._unwritten = memoryview(b"")
        if self.on_closed is not None:
            self.on_closed(reason)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes without a request in progress close the connection."""
        if self._exchange is None:
            # Usually the answer 408 that some servers send before they close an idle
            # connection.
            self.close(CloseReason.LOST_IDLE)
            return
        try:
            for _ in self._framing.feed(data, self._parser.feed_data):
                self._pass_on_body()
                if not self._framing.is_within(MAX_FRAMING_BYTES):
                    self._fail(f"over {MAX_FRAMING_BYTES} bytes that are no answer")
                    self.close(CloseReason.OVERSIZED)
                if self.is_closed:
                    return
        except httptools.HttpParserError as error:
            self._pass_on_body()
            self._fail(f"not HTTP: {error}")
            self.close()

    def eof_received(self) -> bool:
        """Complete an answer whose body extends to the end of the connection."""
        if self._ends_with_connection and self._exchange is not None:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        if self._exchange is not None:
            self._record_closed(CloseReason.LOST)
        else:
            reusable = self._may_reuse
            self._record_closed(
                CloseReason.LOST_IDLE if reusable else CloseReason.ENDED
            )
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
        announced_s = _keep_alive_s(names.get("keep-alive"))
        if announced_s is not None:
            # Servers leave the field out of some answers, for example refusals.
            self.keep_alive_s = announced_s
        self._exchange.on_head(ResponseHead(status, tuple(self._fields)), is_framed)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; a body may come in chunks of a byte."""
        self._framing.reset()
        self._body_parts.append(body)

    def _pass_on_body(self) -> None:
        """Pass the parts of the body that have been parsed to the exchange."""
        parts, self._body_parts = self._body_parts, []
        if parts and self._exchange is not None:
            self._exchange.on_chunk(b"".join(parts))

    def on_message_complete(self) -> None:
        """Complete the exchange, unless the answer is an interim one."""
        self._pass_on_body()
        if self._parser.get_status_code() >= 200:
            self._complete()

    def _complete(self) -> None:
        exchange, self._exchange = self._exchange, None
        self._ends_with_connection = False
        self.completed_count += 1
        self.idle_since_s = asyncio.get_running_loop().time()
        if exchange is not None:
            exchange.on_complete()
            if exchange.is_discarded and self.on_discarded is not None:
                self.on_discarded()


def _keep_alive_s(value: str | None) -> float | None:
    parts = [part.strip() for part in (value or "").split(",")]
    found = (part[8:] for part in parts if part.lower().startswith("timeout="))
    text = next(found, "")
    try:
        announced_s = float(text)
    except ValueError:
        return None
    if not 0.0 <= announced_s < float("inf"):
        return None
    # Servers state a time below one second as 0.
    return announced_s or _SUBSECOND_KEEP_ALIVE_S


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
    set_silence_timeout(transport)


def set_silence_timeout(
    transport: asyncio.BaseTransport, timeout_ms: int = _USER_TIMEOUT_MS
) -> None:
    """Set the time after which the kernel closes a connection to a silent peer.

    A peer that acknowledges but reads nothing counts as silent, too.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


async def open_connection(
    host: str, port: int, timeout_s: float, memory: Memory | None = None
) -> ClientConnection | Refusal:
    """Open a connection; a refusal says that nothing was sent."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _transport, connection = await loop.create_connection(
                lambda: ClientConnection(memory), host, port
            )
    except (OSError, TimeoutError) as error:
        reason = f"{host}:{port}: {type(error).__name__} {error}"
        return refuse(ErrorKind.LINK_NOT_OPEN, reason)
    return connection
