"""Calls to the store by way of other nodes that reach it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from functools import partial
from typing import Final

from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Response
from ..platform import StoreCall

#: Makes a call by way of another node.
Relay = Callable[[StoreCall, float], Awaitable[Response | Refusal]]

#: Body from which a call is large: it fills a small link for a while.
_LARGE_BYTES: Final = 65_536


class WaysAround:
    """Makes large calls around one after the other, small ones at once."""

    def __init__(
        self,
        relays: Callable[[], Sequence[Relay]],
        is_own_way_open: Callable[[], bool],
    ) -> None:
        # Ways that are known to work now, in the order in which to try them.
        self._relays = relays
        self._is_own_way_open = is_own_way_open
        # Held by a large call.
        self._turn = asyncio.Lock()
        # When a large call was last lost.
        self._lost_s = float("-inf")

    def ways(self) -> Iterator[Relay]:
        """Yield the ways, as known when the first of them is asked for."""
        yield from (partial(self._call, relay) for relay in self._relays())

    async def _call(
        self, relay: Relay, call: StoreCall, timeout_s: float
    ) -> Response | Refusal:
        """Make a call by one way.

        Large calls together would share its link: each is given up shortly before its
        answer, sent anew, and none comes through.
        """
        if len(call.body) < _LARGE_BYTES:
            return await relay(call, timeout_s)
        async with self._turn:
            if self._is_own_way_open():
                return refuse(ErrorKind.LINK_NOT_OPEN, "this node's own way is back")
            answer = await relay(call, timeout_s)
            if isinstance(answer, Refusal):
                self._lost_s = asyncio.get_running_loop().time()
            return answer

    def has_lost(self, call: StoreCall, since_s: float) -> bool:
        """Whether a large call was lost here since a time of the monotonic clock.

        It may have needed more time than it had. A small call needs none to speak of,
        and a node's own way is filled by nobody else: there the store has lost the
        answer, and a longer wait for it is in vain.
        """
        return self._lost_s >= since_s and len(call.body) >= _LARGE_BYTES
