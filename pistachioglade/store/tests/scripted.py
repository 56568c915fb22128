"""A simulated store and its routes on a virtual clock: waits take no real time."""

from __future__ import annotations

import asyncio
import json
import selectors
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, TypeVar
from urllib.parse import parse_qs, unquote, urlsplit

import attrs

from ...errors import ErrorKind, Refusal, refuse
from ...http1 import Fields, Response

T = TypeVar("T")
#: Time in which the store answers, in seconds.
_ANSWER_S = 0.004
#: Silence after which the kernel closes a connection (TCP_KEEPIDLE and its probes).
_SILENCE_S = 3.0


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "all tasks wait for each other"
            self.now_s += max(0.0, timeout)
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._clock = _VirtualSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now_s


def run_virtual(work: Callable[[], Awaitable[T]]) -> T:
    """Run ``work`` on a virtual clock that starts at 0 s and skips all waits."""

    async def main() -> T:
        return await work()

    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(main())


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def until(at_s: float) -> None:
    """Wait until a time of the virtual clock, in seconds."""
    await asyncio.sleep(at_s - now_s())


@attrs.frozen
class _Event:
    revision: int
    kind: str
    fields: Any
    is_removed: bool


class ScriptedStore:
    """Simulates the platform's store: objects with revisions, lists and watches."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], Any] = {}
        self._events: list[_Event] = []
        self._changed = asyncio.Event()
        self.revision = 1
        # Body of the answers to lists and watches; None for the correct answers.
        self.corrupt_body: bytes | None = None
        # Number of lists and watches that were answered with that body.
        self.corrupt_answers = 0

    def put(self, kind: str, name: str, value: Any) -> None:
        metadata = {"name": name, "revision": self.revision + 1}
        self.put_fields(kind, name, {"metadata": metadata, "specification": value})

    def put_fields(self, kind: str, name: str, fields: Any) -> None:
        """Store an object as another writer may, with any metadata."""
        self._objects[kind, name] = fields
        self._record_event(kind, fields, False)

    def remove(self, kind: str, name: str) -> None:
        self._record_event(kind, self._objects.pop((kind, name)), True)

    def _record_event(self, kind: str, fields: Any, is_removed: bool) -> None:
        self.revision += 1
        self._events.append(_Event(self.revision, kind, fields, is_removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method: str, target: str) -> Response:
        """Answer a read as the platform's store does; refuse writes."""
        await asyncio.sleep(_ANSWER_S)
        parts = urlsplit(target)
        kind, _, name = unquote(parts.path.removeprefix("/v1/objects/")).partition("/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if method != "GET":
            return Response(503)
        if name:
            found = self._objects.get((kind, name))
            return Response(404) if found is None else _json(found)
        if self.corrupt_body is not None:
            self.corrupt_answers += 1
            return Response(200, (), self.corrupt_body)
        if "watch" in query:
            hold_s = int(query["wait-timeout-ms"]) / 1000.0
            return await self._watch(kind, int(query["watch"]), hold_s)
        items = [item for (of, _), item in self._objects.items() if of == kind]
        return _json({"items": items, "has-more": False, "at": self.revision})

    async def _watch(self, kind: str, after: int, hold_s: float) -> Response:
        ends_s = now_s() + hold_s
        while not (events := self._since(kind, after)) and now_s() < ends_s:
            try:
                async with asyncio.timeout_at(ends_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        return _json({"events": events, "at": self.revision})

    def _since(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            {"object": event.fields, "deleted": event.is_removed}
            for event in self._events
            if event.kind == kind and event.revision > after
        ]


def _json(fields: Any) -> Response:
    return Response(200, (), json.dumps(fields).encode())


class Condition(Enum):
    """How a route to the store behaves."""

    WORKING = "whole"
    # Nothing arrives and nothing comes back.
    SILENT = "silent"
    # Calls arrive and are never answered; their connections stay open.
    UNANSWERED = "unanswered"
    # Each call is answered with 503, and the connections of held calls are lost.
    REFUSED = "refused"
    # Two of three calls are answered with 429.
    THROTTLED = "crowded"


class ScriptedRoute:
    """Replaces the connection pool of one node to a store."""

    host = "store"
    port = 1

    def __init__(self, store: ScriptedStore) -> None:
        self._store = store
        self._condition = Condition.WORKING
        self._condition_changed = asyncio.Event()
        self._count = 0
        # Number of the watches that were made.
        self.watches = 0
        # Whether the next watch is never answered.
        self._loses_next_watch = False
        # Additional time until an answer arrives, in seconds.
        self.answer_s = 0.0

    def lose_next_watch(self) -> None:
        """Let the store read the next watch and never answer it."""
        self._loses_next_watch = True

    def set_condition(self, condition: Condition) -> None:
        """Change how the route behaves, also for calls in flight."""
        self._condition = condition
        self._condition_changed.set()
        self._condition_changed = asyncio.Event()

    async def request(
        self, method: str, target: str, fields: Fields, body: bytes, timeout_s: float
    ) -> Response | Refusal:
        """Make one call like a connection pool."""
        async with asyncio.timeout(timeout_s):
            self._count += 1
            if self._condition is Condition.REFUSED:
                await asyncio.sleep(_ANSWER_S)
                return Response(503)
            if self._condition is Condition.THROTTLED and self._count % 3:
                await asyncio.sleep(_ANSWER_S)
                return Response(429)
            is_watch = "watch=" in target
            self.watches += is_watch
            is_lost = is_watch and self._loses_next_watch
            self._loses_next_watch &= not is_lost
            await asyncio.sleep(self.answer_s)
            if is_lost or self._condition is Condition.UNANSWERED:
                await asyncio.Event().wait()
            if self._condition is not Condition.SILENT:
                answer = await self._answer(method, target)
                if answer is not None:
                    return answer
            if self._condition is Condition.SILENT:
                await asyncio.sleep(_SILENCE_S)
            return refuse(ErrorKind.UPSTREAM_LOST, "connection lost")

    async def _answer(self, method: str, target: str) -> Response | None:
        """Return the store's answer; None if the route fails before the answer."""
        call = asyncio.create_task(self._store.answer(method, target))
        try:
            while not call.done():
                changed = asyncio.create_task(self._condition_changed.wait())
                await asyncio.wait((call, changed), return_when=asyncio.FIRST_COMPLETED)
                changed.cancel()
                if self._condition in (Condition.SILENT, Condition.REFUSED):
                    return None
            return call.result()
        finally:
            call.cancel()
