"""One try of a sample at one engine: request, checks of the answer, events."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal
from ..fleet import Item
from ..forwarding import (
    EventDecoder,
    FleetView,
    InstanceHandle,
    StreamEvent,
    record_refusal,
)
from ..http1 import ClientConnection, Exchange, ResponseHead
from ..platform import (
    belongs_to,
    did_not_run,
    instance_load,
    request_fields,
    resume_fields,
    weight_version_of,
)

#: Time without an event after which the stream counts as broken and the sample
#: continues at another engine: longer than a load of weights takes while many engines
#: load.
_EVENT_TIMEOUT_S: Final = 2.5
#: Time for the head of an answer: the wait in the engine's queue and a load of weights.
_HEAD_TIMEOUT_S: Final = 3.0


class TryEnd(Enum):
    """How a try ended."""

    # The text is complete.
    COMPLETE = "complete"
    # The engine refused the sample without running it.
    NOT_RUN = "not-run"
    # There was no connection to the engine.
    UNREACHED = "unreached"
    # The stream broke, or the answer was not usable; the text so far is kept.
    BROKEN = "broken"
    # The engine ran the sample and answered 500.
    FAILED = "failed"
    # The engine answered that the request can never succeed.
    IMPOSSIBLE = "impossible"
    # The engine's weights are older than the job allows.
    TOO_OLD = "too-old"
    # An event of a second weight version came for a text that may have only one.
    MIXED_VERSIONS = "mixed-versions"
    # The sample was taken off the engine on purpose.
    MOVED = "moved"


@attrs.frozen
class TryResult:
    """How a try ended and why."""

    # How the try ended.
    end: TryEnd
    # Why the try ended, for logs.
    reason: str = ""
    # Whether the engine's connection was lost before any event of the try.
    is_crash: bool = False


@attrs.define
class SampleText:
    """The text that engines have generated for a sample so far."""

    # Data of each event, in order.
    parts: list[str] = attrs.field(factory=list)
    # Number of the last event; None before the first.
    last_event: int | None = None
    # Weight versions that generated the events.
    versions: set[int] = attrs.field(factory=set)

    def clear(self) -> None:
        """Discard the text, so that the sample starts over."""
        self.parts.clear()
        self.last_event = None
        self.versions.clear()

    @property
    def joined(self) -> str:
        """Data of all events, separated by line feeds."""
        return "\n".join(self.parts)


class SampleTry:
    """Runs an item at one engine and appends the events to the item's text.

    The caller counts the sample as outstanding at the engine, from the choice of the
    engine on.
    """

    def __init__(
        self,
        view: FleetView,
        handle: InstanceHandle,
        item: Item,
        text: SampleText,
        min_version: int,
        model: str,
        is_single_version: bool,
        max_events: int | None = None,
        on_first_answer: Callable[[], None] | None = None,
        account: str = "",
    ) -> None:
        # Account that the item's job belongs to; empty if it belongs to none.
        self._account = account
        # Called at the first answer of an instance, which then takes more samples.
        self._on_first_answer = on_first_answer
        self._is_single_version = is_single_version
        # Most events that the text may have; None if the caller sets no limit.
        self._max_events = max_events
        self._view = view
        self._handle = handle
        self._record = handle.record
        self._item = item
        self._text = text
        self._min_version = min_version
        self._model = model
        self._version: int | None = None
        self._last_event_s: float | None = None
        # Whether the sample is being taken off this engine.
        self.is_interrupted = False
        # Number of events that this try has received.
        self.event_count = 0
        self._exchange: Exchange | None = None

    async def run(self, host: str, time_left_s: float) -> TryResult:
        """Run until the stream ends or fails."""
        if not self._view.accepts_requests(self._handle.id):
            # The instance left the list after the choice, before this task first ran.
            return TryResult(TryEnd.NOT_RUN, "not listed any more")
        connection: ClientConnection | Refusal | None = None
        pool = self._handle.pool
        try:
            connection = await pool.acquire(time_left_s=time_left_s)
            if isinstance(connection, Refusal):
                return self._record_end(TryResult(TryEnd.UNREACHED, connection.reason))
            if self.is_interrupted:
                return TryResult(TryEnd.MOVED, "moved before it was sent")
            self._exchange = self._send(connection, host, time_left_s)
            result = await self._receive(self._exchange)
            if result.end is not TryEnd.COMPLETE:
                self._exchange.abort()
            return self._record_end(result)
        except BaseException:
            if isinstance(connection, ClientConnection):
                connection.close()
            raise
        finally:
            if isinstance(connection, ClientConnection):
                pool.release(connection)

    @property
    def time_left_s(self) -> float:
        """Time until the text has the most events allowed; infinity if unknown."""
        gap_s = self._record.mean_gap_s
        if self._max_events is None or gap_s is None or not self._text.parts:
            return float("inf")
        return (self._max_events - len(self._text.parts)) * gap_s

    def interrupt(self) -> None:
        """End the try so that the sample can move; its text is kept."""
        self.is_interrupted = True
        if self._exchange is not None:
            self._exchange.abort()

    def _record_end(self, result: TryResult) -> TryResult:
        if self.is_interrupted and result.end is TryEnd.BROKEN:
            return TryResult(TryEnd.MOVED, result.reason)
        now_s = asyncio.get_running_loop().time()
        if result.end in (TryEnd.BROKEN, TryEnd.UNREACHED):
            self._record.record_failure(now_s)
        elif result.end is TryEnd.COMPLETE:
            self._record.record_answer(self._model)
            self._view.mark_present(self._handle)
        return result

    def _send(
        self, connection: ClientConnection, host: str, time_left_s: float
    ) -> Exchange:
        item = self._item
        last_event = self._text.last_event
        resumed = () if last_event is None else resume_fields(last_event)
        fields = (("Host", host), *item.fields, *resumed)
        request_head = request_fields(
            fields, self._handle.id, time_left_s, item.id, self._account
        )
        return connection.start("POST", item.path, request_head, item.body)

    async def _receive(self, exchange: Exchange) -> TryResult:
        try:
            async with asyncio.timeout(_HEAD_TIMEOUT_S):
                head = await exchange.head()
        except TimeoutError:
            return TryResult(TryEnd.BROKEN, f"no head in {_HEAD_TIMEOUT_S} s")
        if isinstance(head, Refusal):
            return self._broken_result(head)
        self._record_load(head)
        if not belongs_to(head, self._item.id):
            # The sample's own answer may follow on the connection.
            exchange.close()
        failure = self._check_head(head)
        return failure or await self._read_events(exchange)

    def _broken_result(self, refusal: Refusal) -> TryResult:
        is_lost = refusal.kind is ErrorKind.CONNECTION_LOST
        return TryResult(
            TryEnd.BROKEN, refusal.reason, is_lost and self._last_event_s is None
        )

    def _record_answer(self) -> None:
        had_answered = self._record.has_answered
        self._record.record_model_loaded(self._model)
        self._view.mark_present(self._handle)
        if not had_answered and self._on_first_answer is not None:
            self._on_first_answer()

    def _record_load(self, head: ResponseHead) -> None:
        load = instance_load(head)
        if load is not None:
            now_s = asyncio.get_running_loop().time()
            self._record.record_load_report(
                load.running, load.waiting, now_s, load.machine_percent
            )

    def _check_head(self, head: ResponseHead) -> TryResult | None:
        if not belongs_to(head, self._item.id):
            return TryResult(TryEnd.BROKEN, "an answer to another request")
        if did_not_run(head):
            now_s = asyncio.get_running_loop().time()
            kind = record_refusal(self._view, self._handle, head, now_s, self._model)
            return TryResult(TryEnd.NOT_RUN, f"{kind.value}, by a {head.status}")
        if head.status == 422:
            return TryResult(TryEnd.IMPOSSIBLE, "422")
        if head.status == 500:
            return TryResult(TryEnd.FAILED, "500")
        if head.status != 200:
            return TryResult(TryEnd.BROKEN, f"answered {head.status}")
        self._record_answer()
        self._version = weight_version_of(head)
        if self._version is not None:
            self._record.versions[self._model] = self._version
            if self._version < self._min_version:
                return TryResult(TryEnd.TOO_OLD, f"version {self._version}")
        return None

    async def _read_events(self, exchange: Exchange) -> TryResult:
        decoder = EventDecoder()
        loop = asyncio.get_running_loop()
        due_s = loop.time() + _EVENT_TIMEOUT_S
        while True:
            try:
                # Bytes that complete no event don't extend the time.
                async with asyncio.timeout_at(due_s):
                    chunk = await exchange.read()
            except TimeoutError:
                return TryResult(TryEnd.BROKEN, f"no event in {_EVENT_TIMEOUT_S} s")
            if isinstance(chunk, Refusal):
                return self._broken_result(chunk)
            if chunk is None:
                return self._check_end(exchange, decoder)
            events = decoder.feed(chunk)
            if events is None:
                return TryResult(TryEnd.BROKEN, "bytes that are no events")
            for event in events:
                failure = self._add_event(event)
                if failure is not None:
                    return failure
            if events:
                due_s = loop.time() + _EVENT_TIMEOUT_S

    def _check_end(self, exchange: Exchange, decoder: EventDecoder) -> TryResult:
        if not exchange.is_framed or not decoder.is_between_events:
            return TryResult(TryEnd.BROKEN, "the stream's end can't be trusted")
        if self._text.last_event is None:
            return TryResult(TryEnd.BROKEN, "a stream without events")
        return TryResult(TryEnd.COMPLETE)

    def _add_event(self, event: StreamEvent) -> TryResult | None:
        text = self._text
        if text.last_event is not None and event.number != text.last_event + 1:
            reason = f"event {event.number} after {text.last_event}"
            return TryResult(TryEnd.BROKEN, reason)
        if event.version is not None:
            self._version = event.version
            self._record.versions[self._model] = event.version
        if self._version is not None and self._version < self._min_version:
            return TryResult(TryEnd.TOO_OLD, f"version {self._version}")
        is_another_version = bool(text.versions) and self._version not in text.versions
        if self._is_single_version and is_another_version:
            text.clear()
            return TryResult(TryEnd.MIXED_VERSIONS, f"version {self._version}")
        self._record_event_gap(event)
        self.event_count += 1
        text.parts.append(event.data)
        text.last_event = event.number
        if self._version is not None:
            text.versions.add(self._version)
        return None

    def _record_event_gap(self, event: StreamEvent) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._last_event_s is not None:
            self._record.record_event_gap(now_s - self._last_event_s, now_s)
        self._last_event_s = now_s
