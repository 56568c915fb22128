"""Stand-in for an instance on the users' platform: a plain service or a model engine.

It runs in the process of a test, so that a test sees what reached it and scripts its
faults: silence, cut streams, refusals, answers to other requests.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import attrs

from ..http1 import HttpServer, Reply, Request, Response, ServerLimits
from ..platform import names
from ._instance_entry import instance_entry

#: Data of one event, repeated to this length, so that results have some size.
_EVENT_BYTES: Final = 40


@attrs.define
class InstanceFaults:
    """Scripted faults; each number counts down with the requests that meet it."""

    # Requests that are read and never answered.
    silent: int = 0
    # Answers that end early with their connection.
    cut: int = 0
    # Answers that carry another request's id.
    wrong_id: int = 0
    # Requests that are refused as not run.
    refused: int = 0
    # Requests that fail after they ran.
    failed: int = 0
    # Answers without the instance's signature.
    unsigned: int = 0

    def take(self, name: str) -> bool:
        """Whether the next request meets a fault; counts it."""
        left: int = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class FleetInstance:
    """One instance with its server."""

    def __init__(
        self,
        instance_id: str,
        upstream: str,
        models: tuple[str, ...] = (),
        events: int = 6,
        event_s: float = 0.005,
        slots: int = 8,
    ) -> None:
        self.id = instance_id
        self.upstream = upstream
        self.versions = dict.fromkeys(models, 1)
        self.events = events
        self.event_s = event_s
        self.slots = slots
        self.faults = InstanceFaults()
        # How often each request has begun to run, by its id.
        self.runs: Counter[str] = Counter()
        # How often each request failed after it had run, by its id.
        self.failures: Counter[str] = Counter()
        # When each request last began to run, in seconds of the monotonic clock.
        self.begun_s: dict[str, float] = {}
        # Event after which each resumed run went on, by request.
        self.resumed: dict[str, int] = {}
        # Orders in the order of their arrival.
        self.orders: list[dict[str, Any]] = []
        # When each came, in seconds of the monotonic clock.
        self.orders_s: list[float] = []
        # Requests for another instance that came here.
        self.misdirected = 0
        # Models whose requests are refused, as while their weights load.
        self.loading: set[str] = set()
        # Paths of requests that crash the instance.
        self.crash_paths: set[str] = set()
        # Called once when a request has crashed the instance.
        self.on_crash: Callable[[], None] | None = None
        self.running = 0
        self.port = 0
        self.is_leaving = False
        # When this run of it began, in milliseconds since the epoch; None: untold.
        self.born_ms: int | None = None
        self._server = HttpServer(self._handle, ServerLimits())

    async def start(self) -> None:
        """Listen on a free port."""
        await self._server.start("127.0.0.1", 0)
        self.port = self._server.port

    def stop(self) -> None:
        """End at once, with every connection."""
        self._server.stop_listening()
        for connection in tuple(self._server.connections):
            connection.close()

    def _crash(self) -> None:
        """Stop, and report only the first of several crashing requests."""
        on_crash, self.on_crash = self.on_crash, None
        self.stop()
        if on_crash is not None:
            on_crash()

    def start_again(self) -> None:
        """Start again under the same id and address, knowing nothing of before."""
        for connection in tuple(self._server.connections):
            connection.close()
        self.versions = dict.fromkeys(self.versions, 1)
        self.orders.clear()
        self.orders_s.clear()
        self.is_leaving = False
        self.born_ms = (self.born_ms or 0) + 1

    def entry(self) -> dict[str, Any]:
        """Return what the instance lists in the store."""
        return instance_entry(
            self.upstream,
            f"127.0.0.1:{self.port}",
            slots=self.slots,
            state="draining" if self.is_leaving else "ready",
            models=self._models(),
            **({} if self.born_ms is None else {"born": self.born_ms}),
        )

    def _models(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]

    async def _handle(self, request: Request, reply: Reply) -> None:
        if request.path == names.ENGINE_STATE_PATH:
            reply.send(Response(200, (), json.dumps(self._report()).encode()))
        elif request.path == names.ENGINE_ORDER_PATH:
            reply.send(Response(self._order(json.loads(request.body))))
        else:
            await self._work(request, reply)

    def _report(self) -> dict[str, Any]:
        return {
            "models": self._models(),
            "busy": False,
            "sequence": len(self.orders),
            "running-count": self.running,
        }

    def _order(self, order: dict[str, Any]) -> int:
        if order.get("expect", len(self.orders)) != len(self.orders):
            return 409
        self.orders.append(order)
        self.orders_s.append(asyncio.get_running_loop().time())
        self.versions[order["model"]] = order["version"]
        return 202

    async def _work(self, request: Request, reply: Reply) -> None:
        request_id = request.field(names.ATTEMPT_ID) or ""
        expected = request.field(names.EXPECTED_INSTANCE)
        not_run = ((names.NOT_EXECUTED, "1"), (names.ATTEMPT_ID, request_id))
        if expected not in (None, self.id):
            self.misdirected += 1
            reply.send(Response(421, not_run))
            return
        if self._model_of(request) in self.loading:
            load = (names.INSTANCE_LOAD, f"{self.running},0,{self.slots}")
            reply.send(Response(503, (*not_run, load)))
            return
        if self.faults.take("refused"):
            reply.send(Response(503, not_run))
            return
        self.runs[request_id] += 1
        self.begun_s[request_id] = asyncio.get_running_loop().time()
        self.running += 1
        try:
            await self._answer(request, reply, request_id)
        finally:
            self.running -= 1

    def _model_of(self, request: Request) -> str:
        return request.field(names.MODEL) or next(iter(self.versions), "")

    async def _answer(self, request: Request, reply: Reply, request_id: str) -> None:
        if request.path in self.crash_paths:
            await asyncio.sleep(self.event_s)
            self._crash()
            return
        if self.faults.take("silent"):
            await asyncio.sleep(3600)
        if self.faults.take("failed"):
            self.failures[request_id] += 1
            reply.send(Response(500, ((names.ATTEMPT_ID, request_id),)))
            return
        echoed = "another" if self.faults.take("wrong_id") else request_id
        fields = [(names.ATTEMPT_ID, echoed)]
        if not self.faults.take("unsigned"):
            fields.append((names.SIGNATURE, f"sig-{request_id}"))
        if not self.versions:
            await asyncio.sleep(self.event_s)
            body = hashlib.sha256(request.body).hexdigest().encode()
            reply.send(Response(200, tuple(fields), body))
            return
        await self._stream(request, reply, request_id, fields)

    async def _stream(
        self,
        request: Request,
        reply: Reply,
        request_id: str,
        fields: list[tuple[str, str]],
    ) -> None:
        model = self._model_of(request)
        last = request.field(names.LAST_EVENT_ID)
        first = 0 if last is None else int(last) + 1
        if last is not None:
            self.resumed[request_id] = int(last)
        version = self.versions[model]
        reply.begin(200, (*fields, (names.WEIGHT_VERSIONS, str(version))))
        is_cut = self.faults.take("cut")
        for number in range(first, self.events):
            await asyncio.sleep(self.event_s)
            if is_cut and number == first + 2:
                return
            line = ""
            if self.versions[model] != version:
                version = self.versions[model]
                line = f"{names.VERSION_LINE}: {version}\n"
            data = event_data(request_id, number)
            await reply.write(f"{line}id: {number}\ndata: {data}\n\n".encode())
        reply.finish()


def event_data(request_id: str, number: int) -> str:
    """Return the data of an event; the same at every engine."""
    return f"{request_id}-{number}-".ljust(_EVENT_BYTES, "x")


def whole_text(request_id: str, events: int) -> str:
    """Return the text of a sample."""
    return "\n".join(event_data(request_id, number) for number in range(events))
