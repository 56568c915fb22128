"""Ways around a store that this entry can't reach: by other entries that do."""

from __future__ import annotations

import asyncio
from functools import partial
from itertools import count
from typing import Final

from ..decisions import (
    FULL_POLICY,
    RELAY_LOOK_S,
    Mechanism,
    Policy,
    RelayWord,
    relays_to_ask,
    relays_to_use,
)
from ..errors import Refusal
from ..http1 import Response
from ..links import LinkPool
from ..logs import logger
from ..messages import Probe, ProbeAnswer, RelayAnswer, RelayCall
from ..platform import StoreCall
from ..store import Relay, StoreClient
from ._members import Members

#: Time for an answer on the way to the store; a link to an entry that wasn't asked
#: before has to be opened first.
_ASK_S: Final = 0.3


class StoreWays:
    """Knows by way of which entries the store can be called, and is such a way."""

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
        self._asks_any = policy.uses(Mechanism.ANY_RELAY)
        self._log = logger(__name__)
        # Latest word of each entry that was heard.
        self._words: dict[str, RelayWord] = {}
        self._has_way = False

    def note(self, node: str, answer: ProbeAnswer) -> None:
        """Take an entry's word on its way to the store."""
        now_s = asyncio.get_running_loop().time()
        capacity = self._members.capacity_of_node(node)
        self._words[node] = RelayWord(now_s, answer.reaches_store, capacity)

    async def run(self) -> None:
        """Look for ways whenever the store isn't reached, for good."""
        if not self._asks_any:
            return
        while True:
            await self._store.wait_for_trouble()
            for look in count():
                await self._look(look)
                await asyncio.sleep(RELAY_LOOK_S)
                if self._store.is_reached:
                    break

    async def _look(self, look: int) -> None:
        had_way = bool(self.relays())
        asked = relays_to_ask(self._members.node, self._members.names, look)
        known = relays_to_use(self._words, asyncio.get_running_loop().time())
        await asyncio.gather(*(self._ask(name) for name in {*asked, *known}))
        if self.relays() and not had_way:
            # Watches that are held on the lost way would stay there until the kernel
            # gives it up.
            self._store.renew()

    async def _ask(self, node: str) -> None:
        address = self._members.address_of_node(node)
        answer = await self._links.call(address, Probe(), _ASK_S)
        if isinstance(answer, ProbeAnswer):
            self.note(node, answer)

    def relays(self) -> tuple[Relay, ...]:
        """Return the ways that are known to work, the best one first."""
        used = relays_to_use(self._words, asyncio.get_running_loop().time())
        if bool(used) != self._has_way:
            self._has_way = bool(used)
            self._log.info("store-way", entries=used)
        return tuple(partial(self._call_by, name) for name in used)

    async def _call_by(
        self, node: str, call: StoreCall, timeout_s: float
    ) -> Response | Refusal:
        address = self._members.address_of_node(node)
        question = RelayCall(call.method, call.target, call.body, timeout_s)
        answer = await self._links.call(address, question, timeout_s)
        if isinstance(answer, RelayAnswer):
            return Response(answer.status, (), answer.body)
        assert isinstance(answer, Refusal)
        return answer

    async def answer(self, message: RelayCall) -> RelayAnswer | Refusal:
        """Make another entry's call."""
        call = StoreCall(message.method, message.target, message.body)
        answer = await self._store.direct(call, message.timeout_s)
        if isinstance(answer, Refusal):
            return answer
        return RelayAnswer(answer.status, answer.body)
