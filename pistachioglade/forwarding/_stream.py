"""Forwards an instance's stream of events to a caller, event by event.

If the route allows resumption, a broken stream is resumed at another instance after the
last forwarded event, within the same answer. Any other broken stream ends by closing
the caller's connection, so that the caller can't take the stream for a complete one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import closing
from enum import Enum
from functools import partial

from ..decisions import (
    RETRY_PERCENT,
    CallPolicy,
    RetryBudget,
    may_try_again,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import choose_upstream
from ..http1 import (
    CONNECT_TIMEOUT_S,
    Response,
    ResponseHead,
)
from ..logs import logger
from ..metrics import Metrics
from ..platform import last_event_of
from ..quarantine import CrashLedger, RequestGuard
from ..usage import RequestMeter, UsageMeter
from ._admission_gate import AdmissionGate
from ._admitted_try import AdmittedTry
from ._call import ForwardedCall
from ._fleet_view import FleetView, InstanceHandle
from ._forward import (
    choose_instance,
    connection_lost_log_fields,
    final_answer,
    healthy_instances,
)
from ._stream_reader import StreamProgress, StreamReader, StreamSink, start_exchange
from ._upstream_call import record_outcome


class StreamEnd(Enum):
    """How a caller's stream ended."""

    # Complete.
    COMPLETE = "whole"
    # Broken after the head of the answer was sent.
    BROKEN_OFF = "broken-off"


class StreamForwarder:
    """Sends streaming requests to instances, with retries and resumption."""

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
        # Decides when each try starts, or refuses the stream.
        self._gate = AdmissionGate(view, metrics) if gate is None else gate
        # Counts the streams that instances begin; None to count none.
        self._usage = usage
        self._crashes = CrashLedger() if crashes is None else crashes
        self._view = view
        self._domain = domain
        self._metrics = metrics or Metrics()
        self._budget = budget or RetryBudget(RETRY_PERCENT)
        self._log = logger(__name__)

    async def forward(
        self, call: ForwardedCall, sink: StreamSink
    ) -> StreamEnd | Response | Refusal:
        """Forward a stream; return its end, or the answer to send if none began."""
        loop = asyncio.get_running_loop()
        route = call.route
        upstream = choose_upstream(route, call.request_id)
        policy = CallPolicy(route.is_resumable, route.max_attempts, route.aim_s)
        meter = RequestMeter(self._usage, call.account)
        progress = StreamProgress(
            sink, last_event_of(call.request.fields), meter, lambda: None
        )
        guard = RequestGuard(self._crashes, call.request, call.request_id, call.account)
        tried: list[str] = []
        may_have_run = False
        last: Response | Refusal = refuse(ErrorKind.NO_UPSTREAM, "no instance")
        self._budget.count_first_try()
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
                progress.on_accepted = place.confirm
                with guard.running():
                    place.begin()
                    answer = await self._try(
                        call,
                        policy,
                        handle,
                        progress,
                        len(tried),
                        partial(self._may_continue, upstream, policy, tried),
                    )
                place.end(is_answered=not isinstance(answer, Refusal))
            fault = answer if isinstance(answer, Refusal) else None
            guard.record_result(handle.instance, fault)
            if answer is None:
                sink.finish()
                return StreamEnd.COMPLETE
            last = answer
            did_not_run = isinstance(last, Refusal) and last.did_not_run
            may_have_run |= not did_not_run
            is_final = isinstance(last, Response) and last.status < 500
            remaining_s = call.deadline_s - loop.time()
            if is_final or not may_try_again(
                policy, len(tried), did_not_run, remaining_s
            ):
                break
            if not self._budget.spend_retry():
                self._log.info("retry-budget-spent", request=call.request_id)
                break
        await guard.wait_until_shared(call.deadline_s - loop.time())
        if progress.is_begun:
            return StreamEnd.BROKEN_OFF
        return final_answer(
            last,
            may_have_run,
            call,
            loop.time(),
            lambda: self._gate.record_refused(call, upstream, lambda: guard.digest),
        )

    def _may_continue(
        self, upstream: str, policy: CallPolicy, tried: list[str]
    ) -> bool:
        """Whether another instance could continue a stream that falls silent."""
        is_allowed = len(tried) < policy.max_attempts and self._budget.has_retry
        return is_allowed and self._choose(upstream, tried) is not None

    def _choose(self, upstream: str, excluded: list[str]) -> InstanceHandle | None:
        return choose_instance(self._view, upstream, excluded, self._domain)

    async def _try(
        self,
        call: ForwardedCall,
        policy: CallPolicy,
        handle: InstanceHandle,
        progress: StreamProgress,
        attempt: int,
        may_continue: Callable[[], bool],
    ) -> Response | Refusal | None:
        """Return None if the stream is now complete, else what ended the try."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        resumed_after = progress.last_event
        record = handle.record
        record.outstanding += 1
        try:
            answer = await self._exchange(call, policy, handle, progress, may_continue)
        finally:
            record.outstanding -= 1
        outcome = "whole" if answer is None else _outcome_name(answer)
        self._metrics.record_attempt(outcome)
        self._log.info(
            "stream-tried",
            request=call.request_id,
            route=call.route.name,
            account=call.account,
            instance=handle.id,
            attempt=attempt,
            outcome=outcome,
            reason=answer.reason if isinstance(answer, Refusal) else "",
            resumed_after=resumed_after,
            last_event=progress.last_event,
            took_s=round(loop.time() - begun_s, 4),
            **connection_lost_log_fields(answer, call),
        )
        return answer

    async def _exchange(
        self,
        call: ForwardedCall,
        policy: CallPolicy,
        handle: InstanceHandle,
        progress: StreamProgress,
        may_continue: Callable[[], bool],
    ) -> Response | Refusal | None:
        pool = handle.pool
        loop = asyncio.get_running_loop()
        remaining_s = call.deadline_s - loop.time()
        connection = await pool.acquire(CONNECT_TIMEOUT_S, remaining_s)
        if isinstance(connection, Refusal):
            handle.record.record_failure(loop.time())
            return connection
        head: ResponseHead | None = None
        answer: Response | Refusal | None = None
        try:
            exchange = start_exchange(connection, call, handle.id, progress)
            reader = StreamReader(
                call, policy, exchange, progress, handle, may_continue
            )
            answer = await reader.run()
            head = exchange.response
            if isinstance(answer, Refusal):
                exchange.abort()
        except BaseException:
            connection.close()
            raise
        finally:
            pool.release(connection)
        fault = answer if isinstance(answer, Refusal) else None
        record_outcome(self._view, handle, head, fault, loop.time())
        return answer


def _outcome_name(answer: Response | Refusal) -> str:
    return answer.kind.value if isinstance(answer, Refusal) else str(answer.status)
