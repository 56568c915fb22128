"""Lets lookups and streams wait at the entry while no instance has room for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ..decisions import (
    FULL_POLICY,
    AdmissionRefusal,
    Mechanism,
    Policy,
    ReturningRequests,
    WaitingRequest,
    refusal_wait_s,
)
from ..metrics import Metrics
from ._admitted_try import Admitted, ChooseInstance, Waiter
from ._call import ForwardedCall
from ._fleet_view import FleetView
from ._upstream_gate import UpstreamGate

#: Time between two checks of waiting requests for what no event tells: the end of a
#: cooldown, the age of a load report, a deadline. Half of the mean work of a lookup.
_CHECK_INTERVAL_S: Final = 0.01
#: Largest body of a request that is recognized when its caller returns. The digest of a
#: body of 32 MB takes over 0.1 s, in which the entry serves nobody.
_MAX_DIGESTED_BYTES: Final = 256 * 1024


class AdmissionGate:
    """The queues of one entry; every try of a lookup or a stream asks for its start."""

    def __init__(
        self,
        view: FleetView,
        metrics: Metrics | None = None,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._view = view
        self._metrics = metrics or Metrics()
        self._uses_queue = policy.uses(Mechanism.ADMISSION_QUEUE)
        self._uses_return_order = self._uses_queue and policy.uses(
            Mechanism.RETURN_ORDER
        )
        self._upstreams: dict[str, UpstreamGate] = {}
        # Requests refused here or at another entry of the failure domain.
        self.returning = ReturningRequests()
        # Called with the digest of each request that is refused here.
        self.on_refused: list[Callable[[str], None]] = []
        self._timer: asyncio.TimerHandle | None = None
        view.on_change.append(self._check)
        view.on_configuration.append(self._apply_configuration)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return sum(len(item.waiters) for item in self._upstreams.values())

    async def enter(
        self,
        call: ForwardedCall,
        upstream_name: str,
        tried: list[str],
        choose: ChooseInstance,
        digest: Callable[[], str],
    ) -> Admitted:
        """Return a place for the next try; wait for it if no instance has room.

        Returns None if there is no instance to try or the deadline has passed.
        """
        loop = asyncio.get_running_loop()
        if call.deadline_s <= loop.time() or choose(upstream_name, tried) is None:
            return None
        upstream = self._upstream(upstream_name)
        request = _waiting_request(call, is_retry=bool(tried))
        upstream.start_waiting()
        place = upstream.try_start(request, tried, choose, len(upstream.waiters))
        if place is not None:
            return place
        has_digest = len(call.request.body) <= _MAX_DIGESTED_BYTES
        if self._uses_return_order and has_digest and len(self.returning):
            request.is_returning = self.returning.take(digest(), loop.time())
        waiter = Waiter(request, tried, choose, loop.create_future())
        refusal = upstream.add(waiter)
        if refusal is not None:
            return refusal
        self._arm_timer()
        try:
            return await waiter.result
        except asyncio.CancelledError:
            upstream.leave(waiter)
            raise

    def _upstream(self, name: str) -> UpstreamGate:
        found = self._upstreams.get(name)
        if found is None:
            found = UpstreamGate(name, self._view, self._metrics, self._uses_queue)
            self._upstreams[name] = found
        return found

    def record_refused(
        self, call: ForwardedCall, upstream_name: str, digest: Callable[[], str]
    ) -> float:
        """Record that a request that did not run is refused; return its Retry-After."""
        now_s = asyncio.get_running_loop().time()
        aim_s = call.route.aim_s
        if not self._uses_queue:
            return refusal_wait_s(aim_s)
        has_digest = len(call.request.body) <= _MAX_DIGESTED_BYTES
        request_digest = digest() if has_digest else call.request_id
        if self._uses_return_order and has_digest:
            self.returning.record((request_digest,), now_s)
            for callback in self.on_refused:
                callback(request_digest)
        request = _waiting_request(call, is_retry=False)
        upstream = self._upstream(upstream_name)
        estimate = upstream.queue.estimate(request, now_s)
        answered_s = now_s + estimate.answer_s
        return refusal_wait_s(
            aim_s,
            request_digest,
            estimate.wait_s if upstream.waiters else None,
            request.target_s - answered_s,
            request.deadline_s - answered_s,
        )

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests, since the entry stops."""
        for upstream in self._upstreams.values():
            upstream.refuse_all(AdmissionRefusal.STOPPING)

    def _apply_configuration(self) -> None:
        configuration = self._view.configuration
        if configuration is None:
            return
        routes = frozenset(route.name for route in configuration.routes)
        for upstream in tuple(self._upstreams.values()):
            upstream.queue.rate.keep_routes(routes)
            upstream.refuse_all(AdmissionRefusal.ROUTE_REMOVED, routes)
            if upstream.name not in configuration.upstreams and not upstream.waiters:
                del self._upstreams[upstream.name]

    def _arm_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check_again)

    def _check_again(self) -> None:
        self._timer = None
        try:
            self._check()
        finally:
            # A failed check must not end the checks: the requests would wait for good.
            if self.waiting_count:
                self._arm_timer()

    def _check(self) -> None:
        for upstream in tuple(self._upstreams.values()):
            upstream.check()


def _waiting_request(call: ForwardedCall, is_retry: bool) -> WaitingRequest:
    return WaitingRequest.create(
        call.request_id,
        call.route.name,
        call.account,
        call.priority,
        call.request.received_s,
        call.route.aim_s,
        call.deadline_s,
        is_retry,
    )
