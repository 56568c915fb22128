"""Relays for calls to the store: entries forward calls for entries cut off from it."""

from __future__ import annotations

import asyncio
from functools import partial
from itertools import count
from typing import Final

from ..decisions import (
    FULL_POLICY,
    RELAY_SEARCH_INTERVAL_S,
    Mechanism,
    Policy,
    RelayReport,
    relays_to_ask,
    relays_to_use,
)
from ..errors import Refusal
from ..http1 import Response
from ..links import LinkPool
from ..logs import logger
from ..messages import Probe, ProbeAnswer, RelayAnswer, RelayCall
from ..platform import StoreCall, digest_keys_in_answer
from ..store import Relay, StoreClient
from ._members import Members

#: Timeout for a probe of a possible relay. The link to an entry that was not asked
#: before has to be opened first.
_PROBE_TIMEOUT_S: Final = 0.3


class StoreRelays:
    """Finds entries that can relay calls to the store, and relays calls for others."""

    def __init__(
        self,
        members: Members,
        store: StoreClient,
        links: LinkPool,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._members = members
        self._store = store
        self._links = links
        self._is_enabled = policy.uses(Mechanism.ANY_RELAY)
        self._log = logger(__name__)
        # Latest report of each entry on its connection to the store, by node.
        self._reports: dict[str, RelayReport] = {}
        self._has_relay = False

    def record_answer(self, node: str, answer: ProbeAnswer) -> None:
        """Record whether an entry reaches the store, by its answer to a probe."""
        now_s = asyncio.get_running_loop().time()
        capacity = self._members.capacity_of_node(node)
        self._reports[node] = RelayReport(now_s, answer.reaches_store, capacity)

    async def run(self) -> None:
        """Search for relays whenever the store can't be reached, forever."""
        if not self._is_enabled:
            return
        while True:
            await self._store.wait_for_direct_failure()
            for attempt in count():
                await self._probe_candidates(attempt)
                await asyncio.sleep(RELAY_SEARCH_INTERVAL_S)
                if self._store.is_directly_reachable:
                    break

    async def _probe_candidates(self, attempt: int) -> None:
        had_relay = bool(self.relays())
        asked = relays_to_ask(self._members.node, self._members.names, attempt)
        known = relays_to_use(self._reports, asyncio.get_running_loop().time())
        await asyncio.gather(*(self._probe_entry(name) for name in {*asked, *known}))
        if self.relays() and not had_relay:
            # Watches in flight on the lost connection would stay there until the kernel
            # gives the connection up.
            self._store.renew_watches()

    async def _probe_entry(self, node: str) -> None:
        address = self._members.address_of_node(node)
        answer = await self._links.call(address, Probe(), _PROBE_TIMEOUT_S)
        if isinstance(answer, ProbeAnswer):
            self.record_answer(node, answer)

    def relays(self) -> tuple[Relay, ...]:
        """Return the relays that are known to reach the store, the best one first."""
        used = relays_to_use(self._reports, asyncio.get_running_loop().time())
        if bool(used) != self._has_relay:
            self._has_relay = bool(used)
            self._log.info("store-relays-changed", entries=used)
        return tuple(partial(self._call_through, name) for name in used)

    async def _call_through(
        self, node: str, call: StoreCall, timeout_s: float
    ) -> Response | Refusal:
        address = self._members.address_of_node(node)
        request = RelayCall(call.method, call.target, call.body, timeout_s)
        answer = await self._links.call(address, request, timeout_s)
        if isinstance(answer, RelayAnswer):
            return Response(answer.status, (), answer.body)
        assert isinstance(answer, Refusal)
        return answer

    async def answer(self, message: RelayCall) -> RelayAnswer | Refusal:
        """Make a call to the store for another entry."""
        call = StoreCall(message.method, message.target, message.body)
        answer = await self._store.call_directly(call, message.timeout_s)
        if isinstance(answer, Refusal):
            return answer
        return RelayAnswer(answer.status, digest_keys_in_answer(answer.body))
