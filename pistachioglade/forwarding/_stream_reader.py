"""Reads the answer of one try of a stream and forwards its complete events."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol, TypeVar

import attrs

from ..decisions import CallPolicy, stream_silence_s
from ..errors import ErrorKind, Refusal, refuse
from ..http1 import (
    ClientConnection,
    Exchange,
    Fields,
    Response,
    ResponseHead,
    end_to_end,
)
from ..platform import belongs_to, request_fields, resume_fields
from ..usage import RequestMeter
from ._call import ForwardedCall
from ._events import EventDecoder, StreamEvent
from ._fleet_view import InstanceHandle
from ._upstream_call import check_head

#: Time for forwarding events, in seconds, above which the caller has kept the entry
#: waiting. Without a wait the events are only copied.
_WRITE_WAIT_S: Final = 0.002
#: Interval at which a silent stream that no other instance can continue is checked
#: again, in seconds.
_RECHECK_S: Final = 0.25

_T = TypeVar("_T")


class StreamSink(Protocol):
    """Receiver of a streamed answer, usually the caller's connection."""

    def begin(self, status: int, fields: Fields) -> None:
        """Send the head of the answer."""

    async def write(self, part: bytes) -> None:
        """Send a part of the body; wait while the write buffer is full."""

    def finish(self) -> None:
        """Send the end of the answer."""


@attrs.define
class StreamProgress:
    """What the caller has received of a stream."""

    # Receiver of the events.
    sink: StreamSink
    # Id of the last event that the caller has; None before the first.
    last_event: int | None
    # Counts the stream at its first event.
    meter: RequestMeter
    # Called once an instance has accepted the stream.
    on_accepted: Callable[[], None]
    # Whether the head of the answer has been sent.
    is_begun: bool = False


def start_exchange(
    connection: ClientConnection,
    call: ForwardedCall,
    instance_id: str,
    progress: StreamProgress,
) -> Exchange:
    request = call.request
    remaining_s = call.deadline_s - asyncio.get_running_loop().time()
    forwarded = end_to_end(request.fields)
    if progress.last_event is not None:
        resumed = resume_fields(progress.last_event)
        replaced = {name.lower() for name, _ in resumed}
        forwarded = (
            *(item for item in forwarded if item[0].lower() not in replaced),
            *resumed,
        )
    fields = request_fields(
        forwarded, instance_id, remaining_s, call.request_id, call.account
    )
    return connection.start(request.method, request.target, fields, request.body)


class StreamReader:
    """Reads the answer of one try and forwards its complete events."""

    def __init__(
        self,
        call: ForwardedCall,
        policy: CallPolicy,
        exchange: Exchange,
        progress: StreamProgress,
        handle: InstanceHandle,
        may_continue: Callable[[], bool],
    ) -> None:
        # Whether another instance could continue the stream.
        self._may_continue = may_continue
        self._call = call
        # Record of an engine, whose events are measured.
        self._record = handle.record if handle.instance.versions else None
        # Monotonic time of the last event; None if the next gap measures no event.
        self._last_event_s: float | None = None
        self._policy = policy
        self._exchange = exchange
        self._progress = progress
        self._decoder = EventDecoder()

    async def run(self) -> Response | Refusal | None:
        """Read until the stream ends; return None if it is complete, else the cause."""
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self._event_timeout_s()
        try:
            head = await self._wait(self._exchange.head, due_s)
        except TimeoutError:
            return refuse(ErrorKind.UPSTREAM_LOST, "no head in time")
        if isinstance(head, Refusal):
            return head
        if not belongs_to(head, self._call.request_id):
            # The request's own answer may follow on the connection.
            self._exchange.close()
        fault = check_head(head, self._call.request_id)
        if fault is not None:
            return fault
        self._progress.on_accepted()
        if head.status != 200:
            return await self._read_complete()
        return await self._forward_events(head)

    def _event_timeout_s(self) -> float:
        remaining_s = self._call.deadline_s - asyncio.get_running_loop().time()
        return stream_silence_s(self._policy, self._progress.is_begun, remaining_s)

    async def _wait(self, read: Callable[[], Awaitable[_T]], due_s: float) -> _T:
        """Wait for the next part of the answer; raise TimeoutError if it is overdue.

        Silence is no reason to end a stream that no other instance can continue: its
        instance may go on before the deadline.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout_at(due_s):
                    return await read()
            except TimeoutError:
                if loop.time() >= self._call.deadline_s or self._may_continue():
                    raise
                due_s = min(self._call.deadline_s, loop.time() + _RECHECK_S)

    async def _read_complete(self) -> Response | Refusal:
        """Read an answer whose status isn't 200, which is not a stream."""
        try:
            async with asyncio.timeout(self._event_timeout_s()):
                return await self._exchange.read_response()
        except TimeoutError:
            return refuse(ErrorKind.UPSTREAM_LOST, "no whole answer in time")

    async def _forward_events(self, head: ResponseHead) -> Refusal | None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self._event_timeout_s()
        while True:
            try:
                # Bytes that complete no event don't extend the time.
                chunk = await self._wait(self._exchange.read, due_s)
            except TimeoutError:
                return refuse(ErrorKind.UPSTREAM_LOST, "no event in time")
            if isinstance(chunk, Refusal):
                return chunk
            if chunk is None:
                return self._end_stream(head)
            events = self._decoder.feed(chunk)
            if events is None:
                return refuse(ErrorKind.UPSTREAM_LOST, "bytes that are no events")
            self._record_gap(len(events))
            for event in events:
                fault = await self._forward_event(event, head)
                if fault is not None:
                    return fault
            self._exclude_slow_caller()
            if events:
                due_s = loop.time() + self._event_timeout_s()

    def _record_gap(self, events: int) -> None:
        """Record the time of each of the events that have just arrived."""
        now_s = asyncio.get_running_loop().time()
        if not events:
            return
        if self._record is not None and self._last_event_s is not None:
            self._record.record_unit((now_s - self._last_event_s) / events, now_s)
        self._last_event_s = now_s

    def _exclude_slow_caller(self) -> None:
        """Drop the next gap if the caller has kept events from being read.

        Events that arrived meanwhile are read at once and would look like fast ones.
        """
        now_s = asyncio.get_running_loop().time()
        last_s = self._last_event_s
        if last_s is not None and now_s - last_s > _WRITE_WAIT_S:
            self._last_event_s = None

    def _end_stream(self, head: ResponseHead) -> Refusal | None:
        is_framed = self._exchange.is_framed and self._decoder.is_between_events
        if not is_framed or self._progress.last_event is None:
            return refuse(ErrorKind.UPSTREAM_LOST, "the stream's end can't be trusted")
        self._send_head(head)
        return None

    def _send_head(self, head: ResponseHead) -> None:
        """Send the head, unless the head of an earlier instance has been sent."""
        if not self._progress.is_begun:
            self._progress.is_begun = True
            self._progress.sink.begin(head.status, end_to_end(head.fields))

    async def _forward_event(
        self, event: StreamEvent, head: ResponseHead
    ) -> Refusal | None:
        last = self._progress.last_event
        if last is not None and event.number != last + 1:
            reason = f"event {event.number} after {last}"
            return refuse(ErrorKind.UPSTREAM_LOST, reason)
        self._send_head(head)
        self._progress.last_event = event.number
        self._progress.meter.record_sent()
        self._progress.meter.record_end(did_not_run=False)
        await self._progress.sink.write(event.raw)
        return None
