"""Forwards callers' requests to instances and retries within deadline and budget."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import closing

import attrs

from ..decisions import (
    RETRY_PERCENT,
    CallPolicy,
    RetryBudget,
    choose_for_call,
    may_try_again,
    try_time_s,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Instance, Route, RouteKind, choose_upstream
from ..http1 import Request, Response, end_to_end
from ..logs import logger
from ..metrics import Metrics
from ..platform import caller_deadline_s
from ..quarantine import CrashLedger, RequestGuard, request_digest
from ..usage import RequestMeter, UsageMeter
from ._admission_gate import AdmissionGate
from ._admitted_try import AdmittedTry
from ._call import ForwardedCall
from ._fleet_view import FleetView, InstanceHandle
from ._upstream_call import call_instance


@attrs.frozen
class ForwardedAnswer:
    """Result of a forwarded request."""

    # Answer of an instance, or the reason why there is none.
    answer: Response | Refusal
    # Number of answers with status 500 that instances gave.
    failed_answers: int


class Forwarder:
    """Sends requests to instances, with retries."""

    def __init__(
        self,
        view: FleetView,
        domain: str,
        metrics: Metrics | None = None,
        budget: RetryBudget | None = None,
        crashes: CrashLedger | None = None,
        usage: UsageMeter | None = None,
        gate: AdmissionGate | None = None,
    ) -> None:
        # Decides when each try starts, or refuses the request.
        self._gate = AdmissionGate(view, metrics) if gate is None else gate
        # Counts the requests that instances begin; None to count none.
        self._usage = usage
        self._crashes = CrashLedger() if crashes is None else crashes
        self._metrics = metrics or Metrics()
        self._view = view
        self._domain = domain
        self._budget = budget or RetryBudget(RETRY_PERCENT)
        self._log = logger(__name__)

    def create_call(
        self,
        request: Request,
        request_id: str,
        route: Route,
        account: str = "",
        account_priority: int | None = None,
    ) -> ForwardedCall:
        """Return the call; its deadline is the earlier of the caller's and route's."""
        requested_s = caller_deadline_s(request.fields)
        allowed_s = (
            route.timeout_s
            if requested_s is None
            else min(requested_s, route.timeout_s)
        )
        return ForwardedCall(
            request,
            request_id,
            route,
            request.received_s + allowed_s,
            account=account,
            account_priority=account_priority,
        )

    async def forward(self, call: ForwardedCall) -> Response | Refusal:
        """Return an instance's answer, or the reason why there is none."""
        return (await self.forward_counted(call)).answer

    async def forward_counted(self, call: ForwardedCall) -> ForwardedAnswer:
        """Forward a request; return its result and the number of failed answers."""
        upstream = choose_upstream(call.route, call.request_id)
        guard = RequestGuard(
            self._crashes, call.request, call.request_id, call.account, call.is_owed
        )
        with closing(RequestMeter(self._usage, call.account)) as meter:
            return await self._try_instances(call, upstream, guard, meter)

    async def _try_instances(
        self,
        call: ForwardedCall,
        upstream: str,
        guard: RequestGuard,
        meter: RequestMeter,
    ) -> ForwardedAnswer:
        loop = asyncio.get_running_loop()
        route = call.route
        forwarded = attrs.evolve(call.request, fields=end_to_end(call.request.fields))
        policy = CallPolicy(
            route.kind is RouteKind.IDEMPOTENT, route.max_attempts, route.aim_s
        )
        tried: list[str] = []
        may_have_run = False
        failures = 0
        self._budget.count_first_try()
        last: Response | Refusal = refuse(ErrorKind.NO_UPSTREAM, "no instance")
        while True:
            place = await self._gate.enter(
                call, upstream, tried, self._choose, lambda: guard.digest
            )
            if not isinstance(place, AdmittedTry):
                # An answer that is ready is better than the refusal of a retry.
                last = last if isinstance(last, Response) else place or last
                break
            with closing(place):
                refusal = await guard.admit(
                    lambda: healthy_instances(self._view, upstream)
                )
                if refusal is not None:
                    last = refusal
                    break
                handle = place.handle
                tried.append(handle.id)
                now_s = loop.time()
                remaining_s = call.deadline_s - now_s
                try_timeout_s = try_time_s(policy, len(tried), remaining_s)
                with guard.running():
                    place.begin()
                    last = await call_instance(
                        self._view,
                        handle,
                        forwarded,
                        call.request_id,
                        try_timeout_s,
                        call.account,
                        meter.record_sent,
                        route.name,
                    )
                place.end(isinstance(last, Response) and last.status < 500)
            meter.record_end(isinstance(last, Refusal) and last.did_not_run)
            guard.record_result(
                handle.instance, last if isinstance(last, Refusal) else None
            )
            self._metrics.record_attempt(
                last.kind.value if isinstance(last, Refusal) else str(last.status)
            )
            self._log.info(
                "call-tried",
                request=call.request_id,
                route=route.name,
                account=call.account,
                instance=handle.id,
                attempt=len(tried),
                outcome=last.kind.value if isinstance(last, Refusal) else last.status,
                reason=last.reason if isinstance(last, Refusal) else "",
                took_s=round(loop.time() - now_s, 4),
                **connection_lost_log_fields(last, call),
            )
            may_have_run |= not (isinstance(last, Refusal) and last.did_not_run)
            failed = isinstance(last, Refusal) or last.status >= 500
            failures += not isinstance(last, Refusal) and last.status == 500
            if call.max_failures is not None and failures >= call.max_failures:
                break
            remaining_s = call.deadline_s - loop.time()
            did_not_run = isinstance(last, Refusal) and last.did_not_run
            if not failed or not may_try_again(
                policy, len(tried), did_not_run, remaining_s
            ):
                break
            if not self._budget.spend_retry():
                self._log.info("retry-budget-spent", request=call.request_id)
                break
        await guard.wait_until_shared(call.deadline_s - loop.time())
        final = final_answer(
            last,
            may_have_run,
            call,
            loop.time(),
            lambda: self._gate.record_refused(call, upstream, lambda: guard.digest),
        )
        return ForwardedAnswer(final, failures)

    def _choose(self, upstream: str, excluded: list[str]) -> InstanceHandle | None:
        return choose_instance(self._view, upstream, excluded, self._domain)


def connection_lost_log_fields(
    answer: Response | Refusal | None, call: ForwardedCall
) -> dict[str, str]:
    """Return the log fields that identify a request whose connection was lost.

    The digest correlates log lines of one request sent under different ids. Returns
    no fields for any other answer.
    """
    is_lost = isinstance(answer, Refusal) and answer.kind is ErrorKind.CONNECTION_LOST
    return (
        {"request_digest": request_digest(call.request, call.account)}
        if is_lost
        else {}
    )


def healthy_instances(view: FleetView, upstream: str) -> Iterator[Instance]:
    """Return the open instances of an upstream that aren't in a cooldown."""
    now_s = asyncio.get_running_loop().time()
    return (
        handle.instance
        for handle in view.open_handles(upstream)
        if not handle.record.is_in_cooldown(now_s)
    )


def choose_instance(
    view: FleetView, upstream: str, tried: list[str], domain: str
) -> InstanceHandle | None:
    """Return the instance for the next try of a request; None if there is none."""
    handles = {
        item.id: item for item in view.open_handles(upstream) if item.id not in tried
    }
    records = [(name, item.record) for name, item in handles.items()]
    now_s = asyncio.get_running_loop().time()
    chosen = choose_for_call(records, domain, now_s, view.uses_pace_for_calls)
    chosen = view.connections.prefer_idle(chosen, records, view.pools.get)
    return None if chosen is None else handles[chosen]


def final_answer(
    last: Response | Refusal,
    may_have_run: bool,
    call: ForwardedCall,
    now_s: float,
    refuse_for_s: Callable[[], float],
) -> Response | Refusal:
    """Return the answer for the caller.

    A refusal says that the request didn't run only if no instance can have run it.
    ``refuse_for_s`` is called if the caller may return; it returns the time after which
    to return.
    """
    if isinstance(last, Response):
        return Response(last.status, end_to_end(last.fields), last.body)
    if may_have_run:
        kind = (
            ErrorKind.DEADLINE_EXCEEDED
            if now_s >= call.deadline_s
            else ErrorKind.UPSTREAM_LOST
        )
        return refuse(kind, last.reason)
    if last.kind is ErrorKind.QUARANTINED:
        return last
    return refuse(ErrorKind.OVERLOADED, last.reason, refuse_for_s())
