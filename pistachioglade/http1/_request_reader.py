"""Reads the requests of one connection from its bytes, one at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

import httptools

from ..decisions import MemoryUse
from ._incoming import IncomingRequest
from ._memory import Memory
from ._messages import Request, Response
from ._reply import ServerLimits
from ._request_parser import RequestParser

#: Bytes that haven't been parsed from which reading from the client pauses.
_MAX_UNPARSED_BYTES: Final = 64 * 1024
#: Those of them that are part of the connection's own memory and aren't charged.
_UNCHARGED_BYTES: Final = 8 * 1024
#: Work on arrived bytes that a connection does in one turn: steps of the parser, and
#: parts of bodies, of which so many count as a step.
_TURN_STEPS: Final = 64
_PARTS_IN_STEP: Final = 8


class RequestSink(Protocol):
    """Gets what a connection's bytes amount to."""

    @property
    def may_begin_request(self) -> bool:
        """Whether the next request may be parsed."""

    @property
    def may_continue_request(self) -> bool:
        """Whether a request that was begun may be parsed on."""

    def on_request(self, request: Request, incoming: IncomingRequest) -> None:
        """Take a request that has arrived."""

    def on_progress(self) -> None:
        """Note that a client gets on with sending a body."""

    def on_open_ended(self) -> None:
        """Note that a request of unknown size has grown."""

    def on_unreadable(self, status: int) -> None:
        """End the connection, whose bytes can't be told apart any more."""

    def on_unread(self, answer: Response) -> None:
        """Answer a request that isn't read on."""

    def write(self, data: bytes) -> None:
        """Send bytes to the client."""


class RequestReader:
    """Parses what has arrived when its turn has come; holds the rest as bytes."""

    def __init__(
        self, sink: RequestSink, memory: Memory, limits: Callable[[], ServerLimits]
    ) -> None:
        self._sink = sink
        self._memory = memory
        # Returns the limits in force.
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._parser = RequestParser(self)
        # Bytes that haven't been parsed, and the position of the first of them.
        self._data = b""
        self._position = 0
        # What these bytes hold of the memory budget.
        self._unparsed = memory.charge(MemoryUse.HEAD)
        # Parts of a body from the step of the parser in progress.
        self._parts: list[bytes] = []
        # Whether further bytes are dropped, since a refused request's body comes first.
        self.is_dropping = False
        # Whether the last turn did all the work that a turn may do.
        self.is_laborious = False
        # The request that arrives.
        self.incoming = IncomingRequest(memory, self._loop.time())

    @property
    def should_keep_alive(self) -> bool:
        """Whether the connection may be kept after the last request."""
        return self._parser.should_keep_alive

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that haven't been parsed."""
        return len(self._data) - self._position

    @property
    def charged_bytes(self) -> int:
        """Memory that the bytes that haven't been parsed hold of the budget."""
        return self._unparsed.size_bytes

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has arrived."""
        return not self.unparsed_bytes and self.incoming.begun_s is None

    @property
    def must_wait_for_memory(self) -> bool:
        """Whether a request of unknown size waits, since the budget is nearly used."""
        return self._memory.budget.state.is_near and self.incoming.is_unbounded

    @property
    def has_enough(self) -> bool:
        """Whether no more bytes should arrive before some have been parsed."""
        is_near = self._memory.budget.state.is_near
        most_bytes = 1 if is_near else _MAX_UNPARSED_BYTES
        return self.must_wait_for_memory or self.unparsed_bytes >= most_bytes

    def add(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        if self.unparsed_bytes:
            data = self._data[self._position :] + data
        self._data, self._position = data, 0

    def charge_unparsed(self) -> None:
        """Charge the bytes that couldn't be parsed yet."""
        self._unparsed.set(max(0, self.unparsed_bytes - _UNCHARGED_BYTES))

    def end(self) -> None:
        """Return everything to the budget, since the connection is lost."""
        self.drop()
        self._unparsed.release()
        self.incoming.release()

    def drop(self) -> None:
        """Drop the request that arrives, and all further bytes."""
        self._take_incoming().release()
        self.is_dropping = True
        self._data, self._position, self._parts = b"", 0, []
        self._unparsed.set(0)

    def may_parse(self) -> bool:
        """Whether there are bytes whose turn has come."""
        if not self.unparsed_bytes or self.is_dropping:
            return False
        if self.incoming.begun_s is None:
            return self._sink.may_begin_request
        return self._sink.may_continue_request and not self.must_wait_for_memory

    def take_turn(self) -> bool:
        """Parse some of what has arrived; return whether anything was parsed."""
        steps = 0
        while steps < _TURN_STEPS and self.may_parse():
            steps += 1 + self._parse_step() // _PARTS_IN_STEP
        self.is_laborious = steps >= _TURN_STEPS
        if not self.unparsed_bytes:
            self._data, self._position = b"", 0
        return steps > 0

    def _parse_step(self) -> int:
        """Parse one step; return the number of parts of a body that it had."""
        try:
            self._position = self._parser.step(self._data, self._position)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._sink.on_unreadable(400)
            self.drop()
            return 0
        if self.incoming.is_in_head:
            self.incoming.charge_head()
            self._report_open_end()
        if not self._parser.is_within(self._limits().max_header_bytes):
            self._sink.on_unreadable(431)
        return self._add_body()

    def _add_body(self) -> int:
        """Add the parts of the body that a step has brought; return their number."""
        parts, self._parts = self._parts, []
        if not parts or self.is_dropping:
            return len(parts)
        if self.incoming.add_body(parts, self._loop.time()):
            self._sink.on_progress()
        if self.incoming.body_bytes > self._limits().max_body_bytes:
            self._sink.on_unread(Response(413))
        else:
            self._report_open_end()
        return len(parts)

    def _report_open_end(self) -> None:
        if self.incoming.is_unbounded:
            self._sink.on_open_ended()

    def _take_incoming(self) -> IncomingRequest:
        """Return the request that has arrived or is refused; expect the next one."""
        now_s = self._loop.time()
        incoming, self.incoming = self.incoming, IncomingRequest(self._memory, now_s)
        return incoming

    def request(self, incoming: IncomingRequest, has_body: bool) -> Request:
        """Return a request, with or without what has arrived of its body."""
        return incoming.request(self._parser.method, self._loop.time(), has_body)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        now_s = self._loop.time()
        self.incoming = IncomingRequest(self._memory, now_s)
        self.incoming.begun_s = now_s

    def on_url(self, url: bytes) -> None:
        """Collect the target; reject a head above its size limit."""
        self.incoming.add_target(url)
        self._check_head_size()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; reject a head above its size limit."""
        self.incoming.add_field(name, value)
        self._check_head_size()

    def _check_head_size(self) -> None:
        if self.incoming.head_bytes > self._limits().max_header_bytes:
            self._sink.on_unreadable(431)

    def on_headers_complete(self) -> None:
        """Refuse the request if the memory budget is full; else read its body.

        A client that expects 100-continue gets an interim answer.
        """
        incoming = self.incoming
        incoming.charge_head()
        incoming.end_head()
        if self.is_dropping:
            return
        if incoming.declared_bytes > self._limits().max_body_bytes:
            self._sink.on_unread(Response(413))
            return
        incoming.refusal = self._memory.refusal(incoming.declared_bytes)
        if incoming.refusal is not None and incoming.has_body:
            self._sink.on_unread(incoming.refusal)
            return
        incoming.charge_length()
        is_chunked = incoming.is_chunked
        self._parser.begin_body(None if is_chunked else incoming.declared_bytes)
        if incoming.expects_continue:
            self._sink.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; a body may come in chunks of a byte."""
        self._parser.record_body()
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Pass on the request, unless it was refused or rejected meanwhile."""
        self._add_body()
        self._parser.end_request()
        if not self.is_dropping:
            incoming = self._take_incoming()
            has_body = incoming.refusal is None
            self._sink.on_request(self.request(incoming, has_body), incoming)
