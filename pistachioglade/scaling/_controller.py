"""Orders engine counts, at whichever entry holds the duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ..decisions import DemandHistory, engine_counts
from ..errors import ErrorKind, Refusal
from ..leases import Duty, Entries, PlatformApi
from ..links import LinkPool
from ..logs import logger
from ..messages import DemandKnown, FetchDemand
from ..platform import scaling_call
from ._ledger import CountLedger, OrderedCount, decode_count_ledger
from ._subjects import ScaledUpstream

#: Time between two looks at the demand.
_INTERVAL_S: Final = 2.0
_LINK_TIMEOUT_S: Final = 0.5
#: Time for which an entry leaves the duty to others after a failure.
_REST_S: Final = 6.0
#: Failures in a row after which an entry leaves the duty to others.
_MAX_FAILURES: Final = 3


class ScalingController:
    """Compares demand and ordered engines, and orders what is missing or too much.

    Without an upstream whose engines can be ordered, it makes no call at all.
    """

    def __init__(
        self,
        entries: Entries,
        links: LinkPool,
        api: PlatformApi,
        duty: Duty,
        find_upstreams: Callable[[], tuple[ScaledUpstream, ...]],
        own_demand: Callable[[], dict[str, int]],
    ) -> None:
        self._entries = entries
        self._links = links
        self._api = api
        self._duty = duty
        self._find_upstreams = find_upstreams
        # Returns the requests that run or wait at this entry, by upstream.
        self._own_demand = own_demand
        self._log = logger(__name__)
        self._histories: dict[str, DemandHistory] = {}
        self._failures = 0

    async def run(self) -> None:
        """Order engines while this entry is first for the duty, until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            upstreams = self._find_upstreams()
            if not upstreams or not await self._duty.is_turn():
                self._histories.clear()
                continue
            refusal = await self._adjust(upstreams)
            self._failures = 0 if refusal is None else self._failures + 1
            if self._failures >= _MAX_FAILURES:
                self._failures = 0
                await self._duty.leave(_REST_S)

    async def _adjust(self, upstreams: tuple[ScaledUpstream, ...]) -> Refusal | None:
        """Order what the demand needs; return the first failure."""
        refusal = await self._duty.acquire()
        if refusal is not None:
            # Another holder, or its wait, is not a failure of this entry.
            is_turn = refusal.kind in (ErrorKind.CONFLICT, ErrorKind.FENCED)
            return None if is_turn else refusal
        demand = await self._collect_demand()
        for upstream in upstreams:
            refusal = await self._adjust_upstream(upstream, demand)
            if refusal is not None:
                return refusal
        return None

    async def _collect_demand(self) -> dict[str, int]:
        total = dict(self._own_demand())
        others = [name for name in self._entries.names if name != self._entries.node]
        answers = await asyncio.gather(
            *(
                self._links.call(
                    self._entries.address_of_node(name), FetchDemand(), _LINK_TIMEOUT_S
                )
                for name in others
            )
        )
        for answer in answers:
            if isinstance(answer, DemandKnown):
                for name, count in answer.upstreams.items():
                    total[name] = total.get(name, 0) + count
        return total

    async def _adjust_upstream(
        self, upstream: ScaledUpstream, demand: dict[str, int]
    ) -> Refusal | None:
        now_s = asyncio.get_running_loop().time()
        history = self._histories.setdefault(
            upstream.name, DemandHistory(upstream.limits)
        )
        history.record(demand.get(upstream.name, 0), now_s)
        ledger = decode_count_ledger(self._duty.payload)
        ordered = {
            domain: _ordered_count(ledger, upstream, domain)
            for domain in upstream.engines
        }
        wanted = engine_counts(
            history.expected(),
            upstream.slots,
            ordered,
            upstream.limits,
            history.is_complete,
        )
        for domain, count in wanted.items():
            known = ledger.orders.get((upstream.name, domain))
            if known == OrderedCount(count, is_acknowledged=True):
                continue
            if known is None and count == ordered[domain]:
                # The engines that are there were not ordered, and suffice.
                continue
            refusal = await self._order(upstream.name, domain, count)
            if refusal is not None:
                return refusal
        return None

    async def _order(self, upstream: str, domain: str, count: int) -> Refusal | None:
        subject = (upstream, domain)
        ledger = decode_count_ledger(self._duty.payload)
        self._duty.payload = ledger.with_order(subject, OrderedCount(count)).encode()
        token = await self._duty.obtain_token(_REST_S)
        if isinstance(token, Refusal):
            return None if token.kind is ErrorKind.FENCED else token
        refusal = await self._api.make(
            scaling_call(upstream, domain, count, self._entries.node, token)
        )
        self._log.info(
            "engines-ordered",
            upstream=upstream,
            domain=domain,
            count=count,
            token=token,
            outcome="accepted" if refusal is None else refusal.reason,
        )
        if refusal is not None and refusal.kind is ErrorKind.FENCED:
            self._duty.mark_lost(_REST_S)
        if refusal is None:
            acknowledged = OrderedCount(count, is_acknowledged=True)
            ledger = decode_count_ledger(self._duty.payload)
            self._duty.payload = ledger.with_order(subject, acknowledged).encode()
        return refusal

    def answer(self, message: FetchDemand) -> DemandKnown:
        """Answer the entry that orders engines."""
        return DemandKnown(self._own_demand())

    async def stop(self) -> None:
        """Leave the duty to another entry, before a planned stop."""
        await self._duty.leave(float("inf"))


def _ordered_count(ledger: CountLedger, upstream: ScaledUpstream, domain: str) -> int:
    """Return the last ordered count, or the listed engines if none was ordered."""
    order = ledger.orders.get((upstream.name, domain))
    return upstream.engines[domain] if order is None else order.count
