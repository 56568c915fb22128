"""Runs calls: at most once for each key, with complete answers only."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Mapping
from concurrent.futures import Executor
from functools import partial

from ..config import UpstreamKind
from ..controllers import NEWEST, Node
from ..decisions import Attach, KeyGate, Replay
from ..errors import ErrorKind, Refusal, refuse
from ..messages import CallAnswer, OpenTicket, RunCall, Ticket
from ..telemetry import logger
from ._scheduler import Scheduler
from ._upstream import CALL_PRIORITY, CompletionRequest, InstanceClient

_log = logger(__name__)


class CallRunner:
    """Admits calls through the at-most-once gate and runs them on instances."""

    def __init__(
        self,
        node: Node,
        scheduler: Scheduler,
        clients: Mapping[str, InstanceClient],
        executor: Executor,
    ) -> None:
        self._node = node
        self._scheduler = scheduler
        self._clients = clients
        self._executor = executor
        self._gate = KeyGate(node.settings.node, node.incarnation)
        self._first_tries: dict[
            tuple[int, int], asyncio.Future[CallAnswer | Refusal]
        ] = {}
        self.running = 0

    def open_ticket(self, message: OpenTicket) -> Ticket | Refusal:
        """Bind a range of keys to this incarnation."""
        refusal = self._node.admission()
        if refusal is not None:
            return refusal
        return self._gate.open_ticket(message.caller, message.upstream, message.count)

    async def run(self, call: RunCall) -> CallAnswer | Refusal:
        """Run one call; a call with a ticket runs at most once."""
        if call.ticket is None:
            refusal = self._node.admission()
            return refusal if refusal is not None else await self._execute(call)
        return await self._run_keyed(call, call.ticket)

    async def _run_keyed(self, call: RunCall, ticket: Ticket) -> CallAnswer | Refusal:
        verdict = self._gate.admit(ticket, call.key_index, call.caller, call.upstream)
        if isinstance(verdict, Refusal):
            return verdict
        if isinstance(verdict, Replay):
            return verdict.answer
        key = (ticket.number, call.key_index)
        if isinstance(verdict, Attach):
            return await asyncio.shield(self._first_tries[key])
        task = asyncio.create_task(self._first_try(call, key))
        self._first_tries[key] = task
        return await asyncio.shield(task)

    async def _first_try(
        self, call: RunCall, key: tuple[int, int]
    ) -> CallAnswer | Refusal:
        """Run the call of a key that the gate admitted; the outcome is final."""
        result: CallAnswer | Refusal = refuse(ErrorKind.INTERNAL, "the call failed")
        try:
            refusal = self._node.admission()
            result = refusal if refusal is not None else await self._execute(call)
        finally:
            self._gate.finish(*key, result)
            del self._first_tries[key]
        return result

    async def _execute(self, call: RunCall) -> CallAnswer | Refusal:
        arrived_s = time.monotonic()
        self.running += 1
        try:
            slot = await self._scheduler.wait_for_call_slot(call.budget_s)
            if isinstance(slot, Refusal):
                return slot
            queued_s = time.monotonic() - arrived_s
            return await self._send(call, slot, queued_s)
        finally:
            self.running -= 1

    async def _send(
        self, call: RunCall, instance: str, queued_s: float
    ) -> CallAnswer | Refusal:
        started_s = time.monotonic()
        budget_s = call.budget_s - queued_s
        try:
            with self._node.tracing.span(
                "agent.call", call.traceparent, instance=instance
            ) as traceparent:
                work = partial(
                    self._run_on_instance,
                    call,
                    self._clients[instance],
                    budget_s,
                    traceparent,
                )
                loop = asyncio.get_running_loop()
                result = await loop.run_in_executor(self._executor, work)
        finally:
            self._scheduler.release_call(instance)
        if isinstance(result, Refusal):
            return result
        status, body = result
        upstream_s = time.monotonic() - started_s
        agent = self._node.settings.node
        return CallAnswer(call.request_id, status, body, agent, queued_s, upstream_s)

    def _run_on_instance(
        self, call: RunCall, client: InstanceClient, budget_s: float, traceparent: str
    ) -> tuple[int, bytes] | Refusal:
        if self._is_engine():
            return self._complete(call, client, budget_s, traceparent)
        reply = client.call(
            call.operation, call.payload, call.request_id, budget_s, traceparent
        )
        return reply if isinstance(reply, Refusal) else (reply.status, reply.body)

    def _is_engine(self) -> bool:
        limits = self._scheduler.limits
        return limits is not None and limits.kind is UpstreamKind.ENGINE

    def _complete(
        self, call: RunCall, client: InstanceClient, budget_s: float, traceparent: str
    ) -> tuple[int, bytes] | Refusal:
        request = _completion_request(call, traceparent, self._default_model())
        if isinstance(request, Refusal):
            return request
        deadline_s = time.monotonic() + budget_s
        result = client.complete(
            request, budget_s, lambda _version, _count: time.monotonic() < deadline_s
        )
        if isinstance(result, Refusal):
            if result.kind is ErrorKind.CANCELLED:
                client.cancel(request.request_id)
                return refuse(ErrorKind.DEADLINE_EXCEEDED, "the completion was late")
            return result
        answer = {
            "text": result.text,
            "spans": [[span.version, span.token_count] for span in result.spans],
        }
        return 200, json.dumps(answer).encode()

    def _default_model(self) -> str:
        """Return the model for completion requests that name none."""
        models = self._node.board.read(NEWEST)
        return min(models, default="")


def _completion_request(
    call: RunCall, traceparent: str, default_model: str
) -> CompletionRequest | Refusal:
    try:
        fields = json.loads(call.payload)
        return CompletionRequest(
            request_id=call.request_id,
            model=str(fields.get("model", default_model)),
            prompt=str(fields["prompt"]),
            max_tokens=int(fields.get("max_tokens", 32)),
            seed=int(fields.get("seed", 0)),
            priority=CALL_PRIORITY,
            traceparent=traceparent,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return refuse(ErrorKind.BAD_REQUEST, f"completion request: {error!r:.100}")
