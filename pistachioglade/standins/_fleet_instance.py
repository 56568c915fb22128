"""Stand-in for an instance on the users' platform: a plain service or a model engine.

The stand-in runs in the process of a test. The test can therefore inspect the received
requests and script faults: missing answers, cut streams, refusals, wrong request ids.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, Final

import attrs

from ..http1 import Fields, HttpServer, Reply, Request, Response, ServerLimits
from ..platform import names
from ._instance_entry import instance_entry

#: Length to which the data of one event is padded, so that results have some size.
_EVENT_BYTES: Final = 40


@attrs.define
class InstanceFaults:
    """Scripted faults; each affected request decrements the fault's count."""

    # Requests that get no answer.
    silent: int = 0
    # Streams that end early, together with their connection.
    cut: int = 0
    # Answers with the id of another request.
    wrong_id: int = 0
    # Requests that are refused as not executed.
    refused: int = 0
    # Requests that fail after their execution.
    failed: int = 0
    # Answers without the instance's signature.
    unsigned: int = 0

    def consume(self, name: str) -> bool:
        """Decrement a fault's count; return whether the request is affected."""
        remaining: int = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining > 0


class FleetInstance:
    """One instance with an HTTP server, and a record of the requests it received."""

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
        # Number of started runs by request id.
        self.runs: Counter[str] = Counter()
        # Number of failures after execution by request id.
        self.failures: Counter[str] = Counter()
        # Monotonic time of the last started run by request id, in seconds.
        self.begun_s: dict[str, float] = {}
        # Header fields of all received requests.
        self.received_fields: list[Fields] = []
        # Names of the accounts under which a request ran, by request id.
        self.accounts: defaultdict[str, set[str]] = defaultdict(set)
        # Event number after which a run resumed, by request id.
        self.resumed: dict[str, int] = {}
        # Orders in the order of their arrival.
        self.orders: list[dict[str, Any]] = []
        # Monotonic time of each order's arrival, in seconds.
        self.orders_s: list[float] = []
        # Number of received requests that expected another instance.
        self.misdirected = 0
        # Models whose requests are refused, as during the loading of weights.
        self.loading: set[str] = set()
        # Paths of requests that crash the instance.
        self.crash_paths: set[str] = set()
        # Called once when a request has crashed the instance.
        self.on_crash: Callable[[], None] | None = None
        # Whether answers report the load.
        self.reports_load = False
        # PERCENT of the machine, which the work takes accordingly; None if the instance
        # reports three figures.
        self.machine_percent: int | None = None
        # Factor of the time of work that the instance doesn't report.
        self.slowness = 1.0
        self.running = 0
        self.port = 0
        self.is_leaving = False
        # Start time of the instance's process in milliseconds since the epoch; None if
        # the instance does not report the time.
        self.born_ms: int | None = None
        self._server = HttpServer(self._handle, ServerLimits())

    async def start(self) -> None:
        """Listen on a free port."""
        await self._server.start("127.0.0.1", 0)
        self.port = self._server.port

    def stop(self) -> None:
        """Stop listening and close every connection at once."""
        self._server.stop_listening()
        for connection in tuple(self._server.connections):
            connection.close()

    def _crash(self) -> None:
        """Stop, and report only the first of several crashing requests."""
        on_crash, self.on_crash = self.on_crash, None
        self.stop()
        if on_crash is not None:
            on_crash()

    def restart(self) -> None:
        """Restart with the same id and address, initial versions and no orders."""
        for connection in tuple(self._server.connections):
            connection.close()
        self.versions = dict.fromkeys(self.versions, 1)
        self.orders.clear()
        self.orders_s.clear()
        self.is_leaving = False
        self.born_ms = (self.born_ms or 0) + 1

    def entry(self) -> dict[str, Any]:
        """Return the instance's entry for the store."""
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
            reply.send(Response(200, (), json.dumps(self._build_state()).encode()))
        elif request.path == names.ENGINE_ORDER_PATH:
            reply.send(Response(self._apply_order(json.loads(request.body))))
        else:
            await self._serve_request(request, reply)

    def _build_state(self) -> dict[str, Any]:
        return {
            "models": self._models(),
            "busy": False,
            "sequence": len(self.orders),
            "running-count": self.running,
        }

    def _apply_order(self, order: dict[str, Any]) -> int:
        if order.get("expect", len(self.orders)) != len(self.orders):
            return 409
        self.orders.append(order)
        self.orders_s.append(asyncio.get_running_loop().time())
        self.versions[order["model"]] = order["version"]
        return 202

    async def _serve_request(self, request: Request, reply: Reply) -> None:
        request_id = request.field(names.ATTEMPT_ID) or ""
        self.received_fields.append(request.fields)
        expected = request.field(names.EXPECTED_INSTANCE)
        not_run = ((names.NOT_EXECUTED, "1"), (names.ATTEMPT_ID, request_id))
        if expected not in (None, self.id):
            self.misdirected += 1
            reply.send(Response(421, not_run))
            return
        if self._model_of(request) in self.loading:
            reply.send(Response(503, (*not_run, self._load_field())))
            return
        if self.faults.consume("refused"):
            reply.send(Response(503, not_run))
            return
        self.runs[request_id] += 1
        self.accounts[request_id].add(request.field(names.ACCOUNT) or "")
        self.begun_s[request_id] = asyncio.get_running_loop().time()
        self.running += 1
        try:
            await self._answer(request, reply, request_id)
        finally:
            self.running -= 1

    def _load_field(self) -> tuple[str, str]:
        figures = [self.running, 0, self.slots]
        if self.machine_percent is not None:
            figures.append(self.machine_percent)
        return names.INSTANCE_LOAD, ",".join(map(str, figures))

    def _work_s(self) -> float:
        """Return the time of one event, or of one answer of a plain service."""
        return self.event_s * self.slowness * (self.machine_percent or 100) / 100.0

    def _model_of(self, request: Request) -> str:
        return request.field(names.MODEL) or next(iter(self.versions), "")

    async def _answer(self, request: Request, reply: Reply, request_id: str) -> None:
        if request.path in self.crash_paths:
            await asyncio.sleep(self.event_s)
            self._crash()
            return
        if self.faults.consume("silent"):
            await asyncio.sleep(3600)
        if self.faults.consume("failed"):
            self.failures[request_id] += 1
            reply.send(Response(500, ((names.ATTEMPT_ID, request_id),)))
            return
        echoed = "another" if self.faults.consume("wrong_id") else request_id
        fields = [(names.ATTEMPT_ID, echoed)]
        if not self.faults.consume("unsigned"):
            fields.append((names.SIGNATURE, f"sig-{request_id}"))
        if self.reports_load:
            fields.append(self._load_field())
        if not self.versions:
            await asyncio.sleep(self._work_s())
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
        is_cut = self.faults.consume("cut")
        for number in range(first, self.events):
            await asyncio.sleep(self._work_s())
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
    """Return the data of an event, which is the same at every engine."""
    return f"{request_id}-{number}-".ljust(_EVENT_BYTES, "x")


def sample_text(request_id: str, events: int) -> str:
    """Return the complete text of a sample."""
    return "\n".join(event_data(request_id, number) for number in range(events))
