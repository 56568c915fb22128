"""Handlers of the HTTP paths; run on the event loop."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final
from uuid import uuid4

import attrs

from ..config import Caller, Operator, ServiceConfig, Trainer, check_document
from ..controllers import CONFIG, LEAVING, MEMBERS, NEWEST, Node
from ..errors import ErrorKind, Refusal, refuse
from ..messages import (
    CallAnswer,
    DrainNode,
    FetchSamples,
    GetStatus,
    MemberState,
    ModelVersion,
    NodeStatus,
    OpenStep,
    RunCall,
    Ticket,
    structure,
    unstructure,
)
from ..report import build_report
from ._auth import Authenticator
from ._calls import CallRouter
from ._http import Request, Response, json_response, refusal_response
from ._keys import format_key, parse_key
from ._publish import Applied, Publisher
from ._steps import StepRouter
from ._usage import UsageRecorder

_STATUS_TIMEOUT_S: Final = 1.0
_MAX_WAIT_S: Final = 25.0
_RETRY_MARGIN_S: Final = 10.0

Handler = Callable[[Request], Awaitable[Response | Refusal]]


class Routes:
    """Dispatches requests to the handlers of the paths; see docs/API.md."""

    def __init__(
        self,
        node: Node,
        authenticator: Authenticator,
        default_budget_s: float,
    ) -> None:
        self._node = node
        self._auth = authenticator
        self._default_budget_s = default_budget_s
        self._calls = CallRouter(node)
        self._steps = StepRouter(node)
        self._publisher = Publisher(node)
        self.usage = UsageRecorder(node)

    @property
    def _config(self) -> ServiceConfig:
        return self._node.board.read(CONFIG) or ServiceConfig()

    async def answer(self, request: Request) -> Response:
        """Answer a request; a refusal becomes a response."""
        result = await self._dispatch(request)
        return refusal_response(result) if isinstance(result, Refusal) else result

    async def _dispatch(self, request: Request) -> Response | Refusal:
        match request.method, request.path:
            case "GET", ("healthz",):
                return self._health()
            case "POST", ("v1", "calls", upstream, operation):
                return await self._call(request, upstream, operation)
            case "POST", ("v1", "tickets"):
                return await self._open_ticket(request)
            case "POST", ("v1", "steps", step):
                return await self._open_step(request, step)
            case "POST", ("v1", "steps", step, "fetch"):
                return await self._fetch(request, step)
            case "POST", ("v1", "models", model, "versions"):
                return await self._publish(request, model)
            case method, ("admin", "v1", *rest):
                return await self._admin(request, method, tuple(rest))
        path = "/".join(request.path)
        return refuse(ErrorKind.NOT_FOUND, f"no {request.method} /{path:.100}")

    def _health(self) -> Response | Refusal:
        refusal = self._node.admission()
        if refusal is not None:
            return refusal
        return json_response(200, {"generation": self._node.root.generation})

    async def _call(
        self, request: Request, upstream: str, operation: str
    ) -> Response | Refusal:
        started_s = time.monotonic()
        caller = self._auth.require(self._config, request.token, Caller)
        if isinstance(caller, Refusal):
            return caller
        result = await self._run_call(request, caller, upstream, operation)
        duration_s = time.monotonic() - started_s
        if isinstance(result, Refusal):
            self.usage.refused(caller.name, caller.kind.value, result)
            self._node.metrics.count(f"call.refused.{result.kind.value}")
            return result
        self.usage.answered(caller.name, caller.kind.value, duration_s)
        self._node.metrics.timing("call.answered", duration_s)
        return _call_response(result)

    async def _run_call(
        self, request: Request, caller: Caller, upstream: str, operation: str
    ) -> CallAnswer | Refusal:
        idempotent = self._calls.operation(caller, upstream, operation)
        if isinstance(idempotent, Refusal):
            return idempotent
        key = parse_key(request.idempotency_key) if request.idempotency_key else None
        if isinstance(key, Refusal):
            return key
        refusal = self._node.admission()
        if refusal is not None:
            return refusal if key is None else refusal.with_unknown_execution()
        with self._node.tracing.span(
            "entry.call", request.traceparent, caller=caller.name, upstream=upstream
        ) as traceparent:
            call = RunCall(
                request_id=uuid4().hex,
                caller=caller.name,
                upstream=upstream,
                operation=operation,
                payload=request.body,
                idempotent=idempotent,
                budget_s=request.budget_s or self._default_budget_s,
                traceparent=traceparent,
            )
            if key is None:
                return await self._calls.run(call)
            keyed = attrs.evolve(call, ticket=key.ticket, key_index=key.index)
            return await self._calls.run_keyed(keyed, key)

    async def _open_ticket(self, request: Request) -> Response | Refusal:
        caller = self._auth.require(self._config, request.token, Caller)
        if isinstance(caller, Refusal):
            return caller
        fields = request.json()
        if isinstance(fields, Refusal):
            return fields
        upstream, count = fields.get("upstream"), fields.get("count", 1)
        if not isinstance(upstream, str) or type(count) is not int:
            reason = "a ticket needs an upstream and a whole number of keys"
            return refuse(ErrorKind.BAD_REQUEST, reason)
        if upstream not in caller.upstreams:
            return refuse(ErrorKind.FORBIDDEN, f"{caller.name} may not use {upstream}")
        budget_s = request.budget_s or self._default_budget_s
        ticket = await self._calls.open_ticket(caller.name, upstream, count, budget_s)
        if isinstance(ticket, Ticket):
            keys = [format_key(ticket, index) for index in range(ticket.count)]
            return json_response(200, {"agent": ticket.agent, "keys": keys})
        return ticket

    def _trainer(self, request: Request) -> Trainer | Refusal:
        refusal = self._node.admission()
        if refusal is not None:
            return refusal
        return self._auth.require(self._config, request.token, Trainer)

    async def _open_step(self, request: Request, step: str) -> Response | Refusal:
        trainer = self._trainer(request)
        if isinstance(trainer, Refusal):
            return trainer
        message = _structure(
            request,
            OpenStep,
            trainer=trainer.name,
            step=step,
            traceparent=request.traceparent,
            unreachable_owner="",
        )
        if isinstance(message, Refusal):
            return message
        budget_s = request.budget_s or self._default_budget_s
        return await self._send_to_owner(trainer, message, budget_s)

    async def _fetch(self, request: Request, step: str) -> Response | Refusal:
        trainer = self._trainer(request)
        if isinstance(trainer, Refusal):
            return trainer
        message = _structure(request, FetchSamples, trainer=trainer.name, step=step)
        if isinstance(message, Refusal):
            return message
        wait_s = max(0.0, min(message.wait_s, _MAX_WAIT_S))
        message = attrs.evolve(message, wait_s=wait_s)
        return await self._send_to_owner(trainer, message, wait_s + _RETRY_MARGIN_S)

    async def _send_to_owner(
        self, trainer: Trainer, message: OpenStep | FetchSamples, budget_s: float
    ) -> Response | Refusal:
        started_s = time.monotonic()
        answer = await self._steps.send(trainer, message, budget_s)
        if isinstance(answer, Refusal):
            if answer.kind is not ErrorKind.UNKNOWN_STEP:
                self.usage.refused(trainer.name, "trainer", answer)
            return answer
        self.usage.answered(trainer.name, "trainer", time.monotonic() - started_s)
        return json_response(200, unstructure(answer))

    async def _publish(self, request: Request, model: str) -> Response | Refusal:
        trainer = self._trainer(request)
        if isinstance(trainer, Refusal):
            return trainer
        if trainer.model != model:
            reason = f"{trainer.name} publishes {trainer.model!r}, not {model!r}"
            return refuse(ErrorKind.FORBIDDEN, reason)
        version = _structure(request, ModelVersion, published_unix_s=time.time())
        if isinstance(version, Refusal):
            return version
        root = await self._publisher.publish(model, version)
        if isinstance(root, Refusal):
            self.usage.refused(trainer.name, "trainer", root)
            return root
        return json_response(200, {"generation": root.generation})

    async def _admin(
        self, request: Request, method: str, path: tuple[str, ...]
    ) -> Response | Refusal:
        operator = self._auth.require(self._config, request.token, Operator)
        if isinstance(operator, Refusal):
            return operator
        match method, path:
            case "GET", ("config",):
                return self._read_config()
            case "PUT", ("config",):
                return await self._apply(request)
            case "POST", ("config", "check"):
                return _check(request)
            case "GET", ("status",):
                return await self._status()
            case "POST", ("drain", node):
                return await self._drain(node, operator)
            case "GET", ("report",):
                return await self._report(request)
        return refuse(ErrorKind.NOT_FOUND, f"no {method} /admin/v1/{'/'.join(path)}")

    def _read_config(self) -> Response:
        parts = self._publisher.current_parts()
        sections = {name: json.loads(text) for name, text in parts.items()}
        generation = self._node.root.generation
        return json_response(200, {"generation": generation, "config": sections})

    async def _apply(self, request: Request) -> Response | Refusal:
        try:
            text = request.body.decode()
            base = request.query.get("base_generation")
            base_generation = int(base) if base is not None else None
        except (UnicodeDecodeError, ValueError) as error:
            return refuse(ErrorKind.BAD_REQUEST, f"the file can't be read: {error}")
        result = await self._publisher.apply(text, base_generation)
        if isinstance(result, Applied):
            return json_response(200, attrs.asdict(result))
        return result

    async def _status(self) -> Response:
        members = tuple(self._node.board.read(MEMBERS).values())
        statuses = await asyncio.gather(*map(self._ask_status, members))
        nodes = [
            {
                "node": member.node,
                "role": member.role.value,
                "state": member.state.value,
                "domain": member.domain,
                "upstream": member.upstream,
                "status": unstructure(status) if status else None,
            }
            for member, status in zip(members, statuses, strict=True)
        ]
        models = {
            model: version.version
            for model, version in self._node.board.read(NEWEST).items()
        }
        fields = {
            "generation": self._node.root.generation,
            "models": models,
            "nodes": sorted(nodes, key=lambda item: str(item["node"])),
        }
        return json_response(200, fields)

    async def _ask_status(self, member: Any) -> NodeStatus | None:
        if member.node == self._node.settings.node:
            return self.own_status()
        if member.state is MemberState.DEAD:
            return None
        answer = await self._node.pool.call(
            member.address, GetStatus(), _STATUS_TIMEOUT_S
        )
        return answer if isinstance(answer, NodeStatus) else None

    def own_status(self) -> NodeStatus:
        """Return the status that this entry reports about itself."""
        return NodeStatus(
            node=self._node.settings.node,
            incarnation=self._node.incarnation,
            generation=self._node.root.generation,
            leaving=self._node.board.read(LEAVING),
            versions={},
            running=0,
            queued=0,
            link_frames=self._node.pool.traffic.frames,
            link_bytes=self._node.pool.traffic.frame_bytes,
        )

    async def _drain(self, node: str, operator: Operator) -> Response | Refusal:
        member = self._node.board.read(MEMBERS).get(node)
        if member is None:
            return refuse(ErrorKind.NOT_FOUND, f"no node {node!r} is known")
        answer = await self._node.pool.call(
            member.address, DrainNode(operator.name), _STATUS_TIMEOUT_S
        )
        if isinstance(answer, Refusal):
            return answer
        return json_response(202, {"node": node, "leaving": True})

    async def _report(self, request: Request) -> Response | Refusal:
        try:
            since_unix_s = float(request.query.get("since_unix_s", 0.0))
            until_unix_s = float(request.query.get("until_unix_s", time.time()))
        except ValueError:
            return refuse(ErrorKind.BAD_REQUEST, "a time is not a number")
        report = await asyncio.to_thread(
            build_report, self._node.api, self._config, since_unix_s, until_unix_s
        )
        if isinstance(report, Refusal):
            return report
        return json_response(200, unstructure(report))


def _call_response(answer: CallAnswer) -> Response:
    headers = (
        ("Execution", "ran"),
        ("Agent", answer.agent),
        ("Replayed", str(answer.replayed).lower()),
    )
    return Response(answer.status, answer.body, headers)


def _check(request: Request) -> Response:
    config, faults = check_document(request.body.decode(errors="replace"))
    found = [attrs.asdict(fault) for fault in faults]
    return json_response(200, {"valid": config is not None, "faults": found})


def _structure(request: Request, cls: type[Any], **known: Any) -> Any:
    """Return the message of a request's body, completed by the ``known`` fields.

    A body that sets a known field itself is refused.
    """
    fields = request.json()
    if isinstance(fields, Refusal):
        return fields
    clash = sorted(set(fields) & set(known))
    if clash:
        return refuse(ErrorKind.BAD_REQUEST, f"the body may not set {clash[0]!r}")
    if "step" in known and not known["step"].isdigit():
        return refuse(ErrorKind.BAD_REQUEST, "a step is a whole number")
    try:
        if "step" in known:
            known["step"] = int(known["step"])
        return structure({**fields, **known}, cls)
    except Exception as error:  # cattrs groups errors of any type
        return refuse(ErrorKind.BAD_REQUEST, f"the body does not fit: {error!r:.200}")
