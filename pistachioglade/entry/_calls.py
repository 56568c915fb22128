"""Routes calls from the entry to agents, with retries."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterable

from ..config import Caller, ServiceConfig, UpstreamKind
from ..controllers import CONFIG, MEMBERS, Node, usable_agents
from ..decisions import (
    CallChooser,
    Candidate,
    ChooserSettings,
    RetryBudget,
    may_retry,
)
from ..errors import ErrorKind, Refusal, refuse
from ..messages import CallAnswer, MemberState, OpenTicket, RunCall, Ticket
from ..telemetry import logger
from ._keys import BoundKey

_log = logger(__name__)

_KEYED_RETRY_PAUSE_S = 0.1
#: Link failures after which the process bound to the key may still run.
_LINK_FAULTS = frozenset(
    {ErrorKind.LINK_LOST, ErrorKind.LINK_NOT_OPEN, ErrorKind.LINK_REFUSED}
)
_MAX_TRIES = 4


class CallRouter:
    """Chooses agents for calls and records their answers and failures."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._rng = random.Random(node.incarnation)
        self._choosers: dict[str, CallChooser] = {}
        self._budget = RetryBudget(self._config().policy.retry_percent)
        node.board.follow(CONFIG, self._on_config)

    def _on_config(self, config: ServiceConfig | None) -> None:
        if config is not None:
            self._budget = RetryBudget(config.policy.retry_percent)

    def _config(self) -> ServiceConfig:
        return self._node.board.read(CONFIG) or ServiceConfig()

    def operation(
        self, caller: Caller, upstream: str, operation: str
    ) -> bool | Refusal:
        """Return whether an operation is idempotent, if the caller may use it."""
        declared = self._config().upstream(upstream)
        if declared is None:
            return refuse(ErrorKind.NOT_FOUND, f"no upstream {upstream!r} is declared")
        if upstream not in caller.upstreams:
            return refuse(ErrorKind.FORBIDDEN, f"{caller.name} may not use {upstream}")
        if declared.kind is UpstreamKind.ENGINE and operation == "completion":
            return True
        for item in declared.operations:
            if item.name == operation:
                return item.idempotent
        reason = f"upstream {upstream!r} has no operation {operation!r}"
        return refuse(ErrorKind.NOT_FOUND, reason)

    def _chooser(self, upstream: str) -> CallChooser:
        if upstream not in self._choosers:
            settings = ChooserSettings()
            self._choosers[upstream] = CallChooser(settings, self._rng)
        return self._choosers[upstream]

    def _candidates(self, upstream: str) -> list[Candidate]:
        return [
            Candidate(record.node, record.domain)
            for record in usable_agents(self._node.board, upstream)
        ]

    def _choose(self, upstream: str, tried: Iterable[str]) -> str | None:
        candidates = self._candidates(upstream)
        if self._config().policy.name != "fair":
            return self._choose_at_random(candidates, tried)
        domain = self._node.settings.domain
        chooser = self._chooser(upstream)
        return chooser.choose(candidates, domain, tried, time.monotonic())

    def _choose_at_random(
        self, candidates: list[Candidate], tried: Iterable[str]
    ) -> str | None:
        """Choose an agent at random, regardless of load; for the baseline policy."""
        excluded = set(tried)
        untried = [item.agent for item in candidates if item.agent not in excluded]
        return self._rng.choice(untried) if untried else None

    def _address(self, agent: str) -> str:
        record = self._node.board.read(MEMBERS).get(agent)
        return record.address if record else ""

    async def run(self, call: RunCall) -> CallAnswer | Refusal:
        """Run a call without a key; retry at another agent only if that is safe."""
        deadline_s = time.monotonic() + call.budget_s
        self._budget.count_first_try()
        tried: list[str] = []
        last = refuse(ErrorKind.NO_UPSTREAM, f"no agent of {call.upstream} is known")
        while len(tried) < _MAX_TRIES:
            agent = self._choose(call.upstream, tried)
            if agent is None:
                return last
            result = await self._try(call, agent, deadline_s)
            if isinstance(result, CallAnswer):
                return result
            tried.append(agent)
            last = result
            remaining_s = deadline_s - time.monotonic()
            if not may_retry(last, call.idempotent, remaining_s):
                return last
            if not self._budget.spend_retry():
                return last
        return last

    async def _try(
        self, call: RunCall, agent: str, deadline_s: float
    ) -> CallAnswer | Refusal:
        chooser = self._chooser(call.upstream)
        chooser.record_sent(agent)
        started_s = time.monotonic()
        result = await self._send(call, agent, deadline_s)
        now_s = time.monotonic()
        if isinstance(result, CallAnswer):
            chooser.record_answer(agent, now_s - started_s, now_s)
        else:
            chooser.record_failure(agent, now_s)
        return result

    async def _send(
        self, call: RunCall, agent: str, deadline_s: float
    ) -> CallAnswer | Refusal:
        address = self._address(agent)
        if not address:
            return refuse(ErrorKind.LINK_NOT_OPEN, f"{agent} is not known")
        remaining_s = max(0.0, deadline_s - time.monotonic())
        with self._node.tracing.span(
            "entry.send", call.traceparent, agent=agent
        ) as traceparent:
            message = RunCall(
                request_id=call.request_id,
                caller=call.caller,
                upstream=call.upstream,
                operation=call.operation,
                payload=call.payload,
                idempotent=call.idempotent,
                budget_s=remaining_s,
                ticket=call.ticket,
                key_index=call.key_index,
                traceparent=traceparent,
            )
            answer = await self._node.pool.call(address, message, remaining_s)
        if isinstance(answer, CallAnswer | Refusal):
            return answer
        return refuse(ErrorKind.INTERNAL, f"unexpected {type(answer).__name__}")

    async def run_keyed(self, call: RunCall, key: BoundKey) -> CallAnswer | Refusal:
        """Run a call with a key at the agent incarnation to which the key is bound.

        Retries at that incarnation are safe. Only that agent can state that the key
        did not run; without its answer the execution is unknown.
        """
        deadline_s = time.monotonic() + call.budget_s
        while True:
            if self._is_holder_gone(key.ticket):
                reason = "the process that was bound to this key is gone"
                return refuse(ErrorKind.KEY_HOLDER_GONE, reason)
            result = await self._send(call, key.ticket.agent, deadline_s)
            if isinstance(result, CallAnswer):
                return result
            if result.kind not in _LINK_FAULTS:
                return result
            if time.monotonic() + _KEYED_RETRY_PAUSE_S >= deadline_s:
                return result.with_unknown_execution()
            await asyncio.sleep(_KEYED_RETRY_PAUSE_S)

    def _is_holder_gone(self, ticket: Ticket) -> bool:
        record = self._node.board.read(MEMBERS).get(ticket.agent)
        if record is None or record.incarnation < ticket.incarnation:
            return False
        replaced = record.incarnation > ticket.incarnation
        return replaced or record.state is MemberState.DEAD

    async def open_ticket(
        self, caller: str, upstream: str, count: int, budget_s: float
    ) -> Ticket | Refusal:
        """Open a ticket at an agent of the upstream."""
        deadline_s = time.monotonic() + budget_s
        tried: list[str] = []
        last = refuse(ErrorKind.NO_UPSTREAM, f"no agent of {upstream} is known")
        while (agent := self._choose(upstream, tried)) is not None:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                return last
            message = OpenTicket(caller, upstream, count)
            answer = await self._node.pool.call(
                self._address(agent), message, min(remaining_s, 2.0)
            )
            if isinstance(answer, Ticket):
                return answer
            tried.append(agent)
            last = answer
        return last
