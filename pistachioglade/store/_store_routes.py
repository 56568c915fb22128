"""The routes to the store: direct calls, calls through peers, and outages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import chain
from typing import Final

from ..decisions import FULL_POLICY, Policy, StoreOutage, transfer_time_s
from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Pool, Response
from ..logs import logger
from ..metrics import Metrics
from ..platform import StoreCall, read_call
from ._relayed_calls import Relay, RelayedCalls

#: Timeout of one call, long enough for a slow store.
CALL_TIMEOUT_S: Final = 1.0
#: Timeout of a retryable call while the store doesn't answer. The store never answers a
#: call that was sent during an outage, and jobs wait until the retry.
_OUTAGE_TIMEOUT_S: Final = 0.45
#: Cooldown after a failed direct call, in which relays are tried first.
_COOLDOWN_S: Final = 1.0
_JSON: Final = (("Content-Type", "application/json"),)
#: Interval of the small reads that detect an outage and its end, at a tenth of a call's
#: price. A watch sent during an outage may never be answered, so watches are renewed.
PROBE_INTERVAL_S: Final = 1.0
#: The same interval while the store doesn't answer, short to detect recovery soon.
_OUTAGE_BEAT_S: Final = 0.3
#: Largest answer of the store in bytes. A list comes in pages of about a megabyte; a
#: watch returns all changes since a revision, for which no limit is documented.
_MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024
#: Largest object in bytes if the settings name none: the platform's documented limit.
MAX_OBJECT_BYTES: Final = 1_048_576


def _create_pool(host: str, port: int) -> Pool:
    return Pool(host, port, max_answer_bytes=_MAX_ANSWER_BYTES)


class StoreRoutes:
    """Makes calls to the store, directly or through a peer that still reaches it."""

    def __init__(
        self,
        host: str,
        port: int,
        metrics: Metrics | None = None,
        max_object_bytes: int = MAX_OBJECT_BYTES,
        policy: Policy = FULL_POLICY,
    ) -> None:
        # The enabled mechanisms.
        self.policy = policy
        self._metrics = metrics or Metrics()
        # Largest object that the store accepts, in bytes.
        self.max_object_bytes = max_object_bytes
        self._pool = _create_pool(host, port)
        self._host_field = (("Host", f"{host}:{port}"),)
        self._log = logger(__name__)
        self._failed_s: float | None = None
        # Returns the relays to use while direct calls fail, in the order of preference.
        self.relays: Callable[[], Sequence[Relay]] = tuple
        self._relayed = RelayedCalls(
            lambda: self.relays(), lambda: self.is_directly_reachable
        )
        self._outage = StoreOutage()
        # Monotonic time of the last answer to a direct call; None before the first.
        self.direct_answered_s: float | None = None
        # Monotonic time of the last answer by any route; None before the first.
        self.any_answered_s: float | None = None
        self._answered = asyncio.Event()
        self._direct_failed = asyncio.Event()
        self._renewal_waiters: set[asyncio.Future[None]] = set()

    def move_to(self, host: str, port: int) -> None:
        """Switch to another address of the store and renew the watches."""
        if (host, port) == (self._pool.host, self._pool.port):
            return
        self._pool.close_idle()
        self._pool = _create_pool(host, port)
        self._host_field = (("Host", f"{host}:{port}"),)
        self._log.info("store-moved", address=f"{host}:{port}")
        self.renew_watches()

    @property
    def is_directly_reachable(self) -> bool:
        """Whether the last direct call was answered."""
        return self.direct_answered_s is not None and self._failed_s is None

    async def call_directly(
        self, call: StoreCall, timeout_s: float
    ) -> Response | Refusal:
        """Make one call on a direct connection of this node."""
        begun_s = asyncio.get_running_loop().time()
        fields = (*self._host_field, *(_JSON if call.body else ()))
        try:
            answer = await self._pool.request(
                call.method, call.target, fields, call.body, timeout_s
            )
        except TimeoutError:
            reason = f"store gave no answer in {timeout_s:.2f} s"
            answer = refuse(ErrorKind.UPSTREAM_LOST, reason)
        self._record_direct_answer(answer, begun_s)
        self._record_unanswered(call, answer, begun_s)
        if not call.is_watch:
            outcome = "lost" if isinstance(answer, Refusal) else str(answer.status)
            took_s = asyncio.get_running_loop().time() - begun_s
            self._metrics.record_store_call(call.method, outcome, took_s)
        return answer

    def _record_direct_answer(self, answer: Response | Refusal, begun_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        if not _is_answered(answer):
            if self._failed_s is None:
                reason = answer.reason if isinstance(answer, Refusal) else answer.status
                self._log.warning("dependency-lost", dependency="store", reason=reason)
            self._failed_s = now_s
            self._answered.clear()
            self._direct_failed.set()
            return
        if self._failed_s is not None or self.direct_answered_s is None:
            failed_s = now_s if self._failed_s is None else self._failed_s
            self._log.info(
                "dependency-regained",
                dependency="store",
                failed_age_s=round(now_s - failed_s, 3),
            )
            self.renew_watches()
        self._direct_failed.clear()
        self._failed_s = None
        self.direct_answered_s = now_s
        self._record_answered(begun_s)

    def _record_answered(self, begun_s: float) -> None:
        """Record an answer to a call that began at ``begun_s``, by any route."""
        self.any_answered_s = asyncio.get_running_loop().time()
        self._outage.record_answer(begun_s, self.any_answered_s)
        self._answered.set()

    def _record_unanswered(
        self, call: StoreCall, answer: Response | Refusal, begun_s: float
    ) -> None:
        """Record that a route did not answer, before the next route is tried."""
        # Each route may take the full timeout: the store may have recovered meanwhile.
        if _is_answered(answer):
            return
        now_s = asyncio.get_running_loop().time()
        # A lost watch says nothing about the store during the time it was held.
        self._outage.record_unanswered(now_s if call.is_watch else begun_s, now_s)

    def renew_watches(self) -> None:
        """Resend the watches: by another route, or to a store that has recovered."""
        for waiter in self._renewal_waiters:
            if not waiter.done():
                waiter.set_result(None)

    def watch_renewal(self) -> asyncio.Future[None]:
        """Return a future that completes when watches have to be resent."""
        waiter = asyncio.get_running_loop().create_future()
        self._renewal_waiters.add(waiter)
        waiter.add_done_callback(self._renewal_waiters.discard)
        return waiter

    async def run_probes(
        self,
        kind: str,
        name: str,
        interval_s: Callable[[], float] = lambda: PROBE_INTERVAL_S,
    ) -> None:
        """Read a small object, which may be absent, while no other call is answered."""
        while True:
            gap_s = interval_s()
            await asyncio.sleep(gap_s if self.is_directly_reachable else _OUTAGE_BEAT_S)
            answered_s = self.direct_answered_s or 0.0
            if asyncio.get_running_loop().time() - answered_s >= gap_s / 2:
                call = read_call(kind, name, may_be_stale=True)
                routes = chain((self.call_directly,), self._relayed.routes())
                await self._call_each(routes, call, self.retryable_timeout_s)

    async def probe(self, kind: str, name: str, timeout_s: float) -> None:
        """Make a small read to find out whether the store answers by any route."""
        await self.exchange(read_call(kind, name, may_be_stale=True), timeout_s)

    @property
    def retryable_timeout_s(self) -> float:
        """Timeout of a call that may be retried, in seconds."""
        return CALL_TIMEOUT_S if self.is_directly_reachable else _OUTAGE_TIMEOUT_S

    async def wait_for_answer(self, longest_s: float) -> None:
        """Wait until a call is answered by any route, for ``longest_s`` at most."""
        try:
            async with asyncio.timeout(longest_s):
                await self._answered.wait()
        except TimeoutError:
            return

    async def wait_for_direct_failure(self) -> None:
        """Wait until a direct call fails; return at once if the last one failed."""
        await self._direct_failed.wait()

    @property
    def last_answer_age_s(self) -> float | None:
        """Seconds since the last answer by any route; None before the first."""
        if self.any_answered_s is None:
            return None
        return asyncio.get_running_loop().time() - self.any_answered_s

    @property
    def direct_answer_age_s(self) -> float | None:
        """Seconds since the last answer on this node's own route; None before any."""
        if self.direct_answered_s is None:
            return None
        return asyncio.get_running_loop().time() - self.direct_answered_s

    def _is_direct_in_cooldown(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self._failed_s is not None and now_s - self._failed_s < _COOLDOWN_S

    def _routes(self) -> Iterator[Relay]:
        """Return the routes for a call, the most likely to answer first."""
        if self._is_direct_in_cooldown():
            return chain(self._relayed.routes(), (self.call_directly,))
        return chain((self.call_directly,), self._relayed.routes())

    async def exchange(self, call: StoreCall, timeout_s: float) -> Response | Refusal:
        """Make a call by the first route that accepts it; a body gets extra time."""
        # The store may have carried out a lost call, so the call isn't sent again.
        return await self._call_each(self._routes(), call, timeout_s, may_retry=False)

    async def _call_each(
        self,
        routes: Iterable[Relay],
        call: StoreCall,
        timeout_s: float,
        may_retry: bool = True,
    ) -> Response | Refusal:
        """Make a call by one route after the other until the store answers."""
        begun_s = asyncio.get_running_loop().time()
        limit_s = timeout_s + transfer_time_s(len(call.body))
        answer: Response | Refusal = refuse(ErrorKind.PLATFORM_UNAVAILABLE, "no way")
        for route in routes:
            answer = await route(call, limit_s)
            if _is_answered(answer):
                self._record_answered(begun_s)
                return answer
            self._record_unanswered(call, answer, begun_s)
            if isinstance(answer, Refusal) and not (answer.did_not_run or may_retry):
                break
        return answer

    @property
    def outage_age_s(self) -> float | None:
        """Seconds since the last outage on all routes, 0 in one; None if none was."""
        return self._outage.age_s(asyncio.get_running_loop().time())


def _is_answered(answer: Response | Refusal) -> bool:
    """Whether the store answered and did not just reject the call."""
    return isinstance(answer, Response) and answer.status not in (429, 503)
