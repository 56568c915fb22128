"""Connection of a client to the server; it runs one request at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial
from typing import TYPE_CHECKING, Final

import attrs
import httptools

from ..decisions import MemoryUse
from ._client import enable_silence_detection, set_silence_timeout
from ._framing import FramingMeter
from ._incoming import IncomingRequest
from ._memory import Charge
from ._messages import Request, Response
from ._reply import Reply

if TYPE_CHECKING:
    from ._server import HttpServer

#: Queued requests of one connection above which reading from the client pauses.
_MAX_QUEUED_REQUESTS: Final = 8
#: Bounds of the transport's write buffer at which writers wait and continue, in bytes,
#: unless the memory budget has room for more. They are the transport's own.
_WRITE_BUFFER_BYTES: Final = (64 * 1024, 16 * 1024)
#: Time without a byte of a body after which its declared length no longer counts, only
#: what has arrived, in seconds. A client that sends nothing mustn't hold the budget.
_STALLED_BODY_S: Final = 1.0
#: Time for which a client may read nothing of its answer, in milliseconds: as long as
#: a connection may be idle by default.
_SLOW_READER_TIMEOUT_MS: Final = 15_000
#: Time for which a refused client's bytes are read and dropped after the answer, in
#: seconds. A connection closed with unread bytes is reset, and the answer lost.
_LINGER_S: Final = 1.0


@attrs.frozen
class _Queued:
    """A request that waits for the one in progress, or the answer of a refused one."""

    # The request, or the answer that it gets without being handled.
    content: Request | Response
    # Whether the connection must be closed after the answer.
    is_last: bool
    # What the request holds of the memory budget.
    charge: Charge


def _release(charge: Charge, task: asyncio.Task[None]) -> None:
    charge.release()


class ServerConnection(asyncio.Protocol):
    """Connection of one client."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._framing = FramingMeter()
        self._transport: asyncio.Transport | None = None
        self._memory = server.memory
        # Answers that the client hasn't read.
        self._unsent = self._memory.charge(MemoryUse.UNSENT)
        # Whether the client may read nothing for ``_SLOW_READER_TIMEOUT_MS``.
        self._is_tolerated = False
        # Requests queued after the one in progress.
        self._queued: deque[_Queued] = deque()
        # Whether further bytes are dropped, since a refused request's body comes first.
        self._drops_bytes = False
        # Monotonic time at which the client's bytes began to be dropped after the last
        # answer, in seconds; None before.
        self._lingering_since_s: float | None = None
        # Monotonic time since which a body isn't read on, in seconds; None if it is.
        self.paused_since_s: float | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_writable = asyncio.Event()
        self._is_writable.set()
        self._loop = asyncio.get_running_loop()
        # The request that arrives.
        self.incoming = IncomingRequest(self._memory)
        # Monotonic time of the last received byte or ended answer, in seconds.
        self.last_active_s = self._loop.time()
        # Whether the connection must be closed, because the client asked for it or sent
        # an invalid request.
        self.will_close = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress, queued or partially read."""
        is_free = self._task is None and not self._queued
        return is_free and self.incoming.begun_s is None

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
        self.apply_memory_state()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; reject bytes that aren't HTTP/1.1."""
        if self._drops_bytes:
            return
        self.last_active_s = self._loop.time()
        try:
            for _ in self._framing.feed(data, self._parser.feed_data):
                if not self._framing.is_within(self._server.limits.max_header_bytes):
                    self._reject(431)
                if self._drops_bytes or self._is_closing:
                    return
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(400)

    @property
    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress and drop the queued ones."""
        self._server.connections.discard(self)
        self._is_writable.set()
        for item in self._queued:
            item.charge.release()
        self._queued.clear()
        self.incoming.charge.release()
        self._unsent.release()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make writers wait while the client doesn't read."""
        self._is_writable.clear()

    def resume_writing(self) -> None:
        """Let waiting writers continue."""
        self._is_writable.set()
        self.count_unsent()

    async def wait_until_writable(self) -> None:
        """Wait until the write buffer has room."""
        await self._is_writable.wait()

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            self.count_unsent()

    def count_unsent(self) -> None:
        """Count what the client hasn't read of the answers."""
        if self._transport is None:
            return
        self._unsent.set(self._transport.get_write_buffer_size())
        self._tolerate_slow_reader()

    def _tolerate_slow_reader(self) -> None:
        """Give a client that has yet to read more time than a silent one.

        The kernel can't tell the one from the other and would end the connection of a
        client that reads nothing for some seconds, with the answer lost. Near the
        budget this is right, since such a client holds memory.
        """
        is_near = self._memory.budget.state.is_near
        is_tolerated = self._unsent.size_bytes > 0 and not is_near
        if is_tolerated is self._is_tolerated or self._transport is None:
            return
        self._is_tolerated = is_tolerated
        if is_tolerated:
            set_silence_timeout(self._transport, _SLOW_READER_TIMEOUT_MS)
        else:
            set_silence_timeout(self._transport)

    def apply_memory_state(self) -> None:
        """Read from the client and ahead of it as the memory budget allows."""
        assert self._transport is not None
        if self._transport.is_closing():
            return
        part_bytes = self._memory.budget.stream_part_bytes
        high, low = _WRITE_BUFFER_BYTES
        if part_bytes is not None and part_bytes > high:
            high, low = part_bytes, part_bytes // 2
        self._transport.set_write_buffer_limits(high, low)
        self._tolerate_slow_reader()
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading from the client."""
        assert self._transport is not None
        if self._transport.is_closing():
            return
        is_near = self._memory.budget.state.is_near
        must_pause = is_near and (bool(self._queued) or self.incoming.is_unbounded)
        must_pause = must_pause or len(self._queued) > _MAX_QUEUED_REQUESTS
        if must_pause and not self._drops_bytes:
            self._transport.pause_reading()
            if self.paused_since_s is None:
                self.paused_since_s = self._loop.time()
        else:
            self._transport.resume_reading()
            self.paused_since_s = None

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
        since_s = self._lingering_since_s
        if since_s is not None and now_s - since_s > _LINGER_S:
            self.close()
        incoming = self.incoming
        if incoming.is_length_charged and now_s - self.last_active_s > _STALLED_BODY_S:
            incoming.charge_arrived()
        if self._task is not None or self._drops_bytes:
            return
        if incoming.begun_s is not None:
            is_in_head = incoming.is_in_head
            limit_s = limits.header_timeout_s if is_in_head else limits.idle_timeout_s
            started_s = incoming.begun_s if is_in_head else self.last_active_s
            if now_s - started_s > limit_s:
                self._reject(408)
        elif now_s - self.last_active_s > limits.idle_timeout_s:
            self.close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.incoming = IncomingRequest(self._memory)
        self.incoming.begun_s = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Collect the target; reject a head above its size limit."""
        self.incoming.add_target(url)
        if self.incoming.head_bytes > self._server.limits.max_header_bytes:
            self._reject(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; reject a head above its size limit."""
        self.incoming.add_field(name, value)
        if self.incoming.head_bytes > self._server.limits.max_header_bytes:
            self._reject(431)

    def on_headers_complete(self) -> None:
        """Refuse the request if the memory budget is full; else read its body.

        A client that expects 100-continue gets an interim answer.
        """
        incoming = self.incoming
        incoming.is_in_head = False
        if self._drops_bytes:
            return
        if incoming.declared_bytes > self._server.limits.max_body_bytes:
            self._answer_unread(Response(413))
            return
        incoming.refusal = self._memory.refusal(incoming.declared_bytes)
        if incoming.refusal is None:
            incoming.charge_length()
            if incoming.expects_continue:
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        elif incoming.has_body:
            self._refuse_unread(incoming.refusal)

    def on_body(self, body: bytes) -> None:
        """Collect the body; reject a body above its size limit."""
        self._framing.reset()
        incoming = self.incoming
        if incoming.refusal is not None or self._drops_bytes:
            return
        incoming.add_body(body)
        if incoming.body_bytes > self._server.limits.max_body_bytes:
            self._answer_unread(Response(413))
        elif incoming.is_unbounded:
            self._server.refuse_newest_body()
            self._update_reading()

    def on_message_complete(self) -> None:
        """Queue the request; start it if none is in progress."""
        self._framing.reset()
        if self._transport is None or self._transport.is_closing() or self._drops_bytes:
            return
        incoming = self._take_incoming()
        request = self._request_of(incoming, has_body=True)
        if incoming.refusal is not None:
            self._server.on_refused(request)
        is_last = not self._parser.should_keep_alive()
        self._enqueue(_Queued(incoming.refusal or request, is_last, incoming.charge))

    def _take_incoming(self) -> IncomingRequest:
        """Return the request that has arrived or is refused; expect the next one."""
        incoming, self.incoming = self.incoming, IncomingRequest(self._memory)
        return incoming

    def _request_of(self, incoming: IncomingRequest, has_body: bool) -> Request:
        method, now_s = self._parser.get_method(), self._loop.time()
        return incoming.request(method, now_s, has_body)

    def _enqueue(self, item: _Queued) -> None:
        self._queued.append(item)
        if self._task is None:
            self._start_next()
        self._update_reading()

    def refuse_body(self) -> None:
        """Refuse the request whose body is being read, for lack of memory."""
        self._refuse_unread(self._memory.refuse())

    def _refuse_unread(self, refusal: Response) -> None:
        """Refuse a request whose body isn't read, for lack of memory."""
        self._server.on_refused(self._request_of(self.incoming, has_body=False))
        self._answer_unread(refusal)

    def _answer_unread(self, answer: Response) -> None:
        """Answer a request whose body isn't read; drop all further bytes."""
        charge = self._take_incoming().charge
        charge.release()
        self._drops_bytes = True
        self._enqueue(_Queued(answer, True, charge))

    def _start_next(self) -> None:
        """Start the next request; answer refused ones before it."""
        while self._queued and self._task is None:
            item = self._queued.popleft()
            self.will_close = self.will_close or item.is_last
            if isinstance(item.content, Request):
                self._task = self._loop.create_task(self._run(item.content))
                # A task that is cancelled before its first step never runs, so the
                # charge isn't released by the task itself.
                self._task.add_done_callback(partial(_release, item.charge))
                return
            Reply(self).send(item.content)
            item.charge.release()
            if self._drops_bytes and not self._queued:
                self._linger()
            elif self.is_ending:
                self.close()

    def _linger(self) -> None:
        """End the answers, and close the connection some time later."""
        assert self._transport is not None
        if self._transport.can_write_eof() and not self._transport.is_closing():
            self._transport.write_eof()
        self._lingering_since_s = self._loop.time()

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
            self._start_next()
            self._update_reading()
