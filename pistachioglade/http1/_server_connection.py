"""Connection of a client to the server; it runs one request at a time."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Final

import attrs

from ..decisions import Holding
from ._client import enable_silence_detection
from ._incoming import IncomingRequest
from ._messages import Request, Response
from ._outgoing import Outgoing
from ._reply import Reply
from ._request_reader import RequestReader

if TYPE_CHECKING:
    from ._server import HttpServer

#: Time without progress of a body after which its declared length no longer counts,
#: only what has arrived, in seconds. A slow client mustn't hold the budget.
_STALLED_BODY_S: Final = 1.0
#: Longest time for which a request of unknown size isn't read on since the budget is
#: nearly used, in seconds. Such requests could otherwise hold the budget while they
#: wait for each other.
LONGEST_PAUSE_S: Final = 1.0
#: Time for which a refused client's bytes are read and dropped after the answer, in
#: seconds. A connection closed with unread bytes is reset, and the answer lost.
_LINGER_S: Final = 1.0


def _release(incoming: IncomingRequest, task: asyncio.Task[None]) -> None:
    incoming.release()


class ServerConnection(asyncio.BufferedProtocol):
    """Connection of one client."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._memory = server.memory
        self._loop = asyncio.get_running_loop()
        # What has arrived.
        self._reader = RequestReader(self, self._memory, lambda: server.limits)
        # Answers on their way to the client.
        self._outgoing = Outgoing(self._memory, self._loop.time)
        # Monotonic time at which the client's bytes began to be dropped after the last
        # answer, in seconds; None before.
        self._lingering_since_s: float | None = None
        # Monotonic time since which a request isn't read on for lack of memory, in
        # seconds; None if it is.
        self.paused_since_s: float | None = None
        self._task: asyncio.Task[None] | None = None
        # Monotonic time of the last received byte or ended answer, in seconds.
        self.last_active_s = self._loop.time()
        # Whether the connection must be closed, because the client asked for it or sent
        # an invalid request.
        self.will_close = False

    @property
    def incoming(self) -> IncomingRequest:
        """The request that arrives."""
        return self._reader.incoming

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress, or has arrived in part."""
        return self._task is None and self._reader.is_idle

    @property
    def is_running(self) -> bool:
        """Whether a request is in progress."""
        return self._task is not None

    @property
    def is_ending(self) -> bool:
        """Whether the connection is closed after the answer in progress."""
        return self.will_close or self._server.is_leaving

    @property
    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    @property
    def peer(self) -> str:
        """Address of the client, for logs."""
        address = self._transport and self._transport.get_extra_info("peername")
        return f"{address[0]}:{address[1]}" if address else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._outgoing.open(transport)
        enable_silence_detection(transport)
        self._server.add(self)
        self.apply_memory_state()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._server.remove(self)
        self._outgoing.end()
        self._reader.end()
        if self._task is not None:
            self._task.cancel()

    # Reading.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes, which all connections share."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were read into the buffer."""
        self.data_received(bytes(self._server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse the bytes at once if that takes little time, else by turns."""
        if self._reader.is_dropping:
            return
        self.last_active_s = self._loop.time()
        is_waiting = self._reader.unparsed_bytes > 0
        self._reader.add(data)
        if is_waiting or self._reader.is_laborious:
            self._continue()
        elif self.take_turn():
            self._server.turns.add(self)

    def take_turn(self) -> bool:
        """Parse some of what has arrived; return whether there is more to parse."""
        if self._reader.take_turn():
            self.last_active_s = self._loop.time()
        self._update_reading()
        return self._reader.may_parse()

    def _continue(self) -> None:
        """Parse in turn what has arrived meanwhile, and read on."""
        if self._reader.may_parse():
            self._server.turns.add(self)
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading from the client."""
        if self._transport is None or self._transport.is_closing():
            return
        self._reader.charge_unparsed()
        must_wait = self._reader.must_wait_for_memory
        now_s = self._loop.time()
        if must_wait and self.paused_since_s is None:
            self.paused_since_s = now_s
        elif not must_wait and self.paused_since_s is not None:
            # The client isn't to blame for the pause.
            self.incoming.progress.since_s += now_s - self.paused_since_s
            self.paused_since_s = None
        if self._reader.has_enough:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    # What the reader of requests asks for and tells.

    @property
    def may_begin_request(self) -> bool:
        """Whether the next request may be parsed.

        It waits for the answer before it, and for a client that reads its answers.
        """
        is_free = self._task is None and not self._is_closing
        return is_free and self._outgoing.is_writable.is_set()

    @property
    def may_continue_request(self) -> bool:
        """Whether a request that was begun may be parsed on."""
        return not self._is_closing

    def on_progress(self) -> None:
        """Note that the client gets on with sending a body."""
        self._server.touch(self)

    def on_open_ended(self) -> None:
        """Make room if a request of unknown size has filled the memory budget."""
        if self._memory.budget.state.is_full:
            self._server.end_for_memory()

    def on_request(self, request: Request, incoming: IncomingRequest) -> None:
        """Start a request, or answer it if it is refused."""
        if self._is_closing:
            incoming.release()
            return
        self.will_close = self.will_close or not self._reader.should_keep_alive
        if incoming.refusal is None:
            self._task = self._loop.create_task(self._run(request))
            # A task that is cancelled before its first step never runs, so the charge
            # isn't released by the task itself.
            self._task.add_done_callback(partial(_release, incoming))
            return
        incoming.release()
        self._server.on_refused(request)
        Reply(self).send(incoming.refusal)
        if self.is_ending:
            self.close()

    def on_unread(self, answer: Response) -> None:
        """Answer a request that isn't read on; drop all further bytes."""
        if answer.status != 413:
            refused = self._reader.request(self.incoming, has_body=False)
            self._server.on_refused(refused)
        self._reader.drop()
        self.will_close = True
        Reply(self).send(answer)
        self._linger()

    def refuse(self) -> None:
        """Refuse the request that is being read, for lack of memory."""
        self.on_unread(self._memory.refuse())

    def _linger(self) -> None:
        """End the answers, and close the connection some time later."""
        assert self._transport is not None
        if self._transport.can_write_eof() and not self._transport.is_closing():
            self._transport.write_eof()
        self._lingering_since_s = self._loop.time()
        self._update_reading()

    def on_unreadable(self, status: int) -> None:
        """Reject bytes that aren't HTTP/1.1 or exceed a limit, and close."""
        if self._is_closing:
            return
        if self._task is None:
            self.will_close = True
            Reply(self).send(Response(status))
        self.close()

    async def _run(self, request: Request) -> None:
        reply = Reply(self)
        try:
            await self._server.handler(request, reply)
        finally:
            self._task = None
            self.last_active_s = self._loop.time()
            self._server.touch(self)
            if not reply.is_finished or self.is_ending:
                self.close()
        self._continue()

    # Writing.

    def pause_writing(self) -> None:
        """Make writers wait while the client doesn't read."""
        self._outgoing.is_writable.clear()

    def resume_writing(self) -> None:
        """Let waiting writers continue."""
        self._outgoing.is_writable.set()
        self.count_unsent()
        self._continue()

    async def wait_until_writable(self) -> None:
        """Wait until the write buffer has room."""
        await self._outgoing.is_writable.wait()

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes unless the connection is closing."""
        self._outgoing.write(data)

    def count_unsent(self) -> None:
        """Count what the client hasn't read of the answers."""
        self._outgoing.count_unsent()

    # Memory and time.

    def apply_memory_state(self) -> None:
        """Read from the client and ahead of it as the memory budget allows."""
        if not self._is_closing:
            self._outgoing.apply_memory_state()
            self._continue()

    def holdings(self, now_s: float) -> tuple[Holding, Holding]:
        """Return what the request that arrives holds, and what unread answers hold.

        Bytes that haven't been parsed count with the request that they belong to, or
        with the answers that they wait for.
        """
        paused_s = 0.0 if self.paused_since_s is None else now_s - self.paused_since_s
        # A short pause isn't the client's fault.
        until_s = now_s if paused_s > LONGEST_PAUSE_S else now_s - paused_s
        arriving = self.incoming.holding(until_s)
        unread = self._outgoing.holding(now_s)
        unparsed_bytes = self._reader.charged_bytes
        if arriving.held_bytes:
            arriving = attrs.evolve(
                arriving, held_bytes=arriving.held_bytes + unparsed_bytes
            )
        elif unread.held_bytes:
            unread = attrs.evolve(unread, held_bytes=unread.held_bytes + unparsed_bytes)
        return arriving, unread

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """End the connection at once."""
        self._outgoing.drop()
        self._reader.drop()
        if self._transport is not None:
            self._transport.abort()

    def close_if_timed_out(self, now_s: float) -> None:
        """Close the connection if its idle or header timeout has passed."""
        limits = self._server.limits
        since_s = self._lingering_since_s
        if since_s is not None and now_s - since_s > _LINGER_S:
            self.close()
        incoming = self.incoming
        is_stalled = incoming.holding(now_s).stalled_s > _STALLED_BODY_S
        if incoming.is_length_charged and is_stalled:
            incoming.charge_arrived()
        if self._task is not None or self._reader.is_dropping:
            return
        if incoming.begun_s is not None:
            is_in_head = incoming.is_in_head
            limit_s = limits.header_timeout_s if is_in_head else limits.idle_timeout_s
            started_s = incoming.begun_s if is_in_head else self.last_active_s
            if now_s - started_s > limit_s:
                self.on_unreadable(408)
        elif now_s - self.last_active_s > limits.idle_timeout_s:
            self.close()
