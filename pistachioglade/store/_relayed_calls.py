"""Calls to the store that other nodes relay."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from functools import partial
from typing import Final

from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Response
from ..platform import StoreCall

#: Makes a call through another node, within a time in seconds.
Relay = Callable[[StoreCall, float], Awaitable[Response | Refusal]]

#: Size of the body from which a call is large: its transfer occupies a slow link for a
#: noticeable time.
_LARGE_BYTES: Final = 65_536


class RelayedCalls:
    """Makes calls through relays: large calls in sequence, small calls concurrently."""

    def __init__(
        self,
        relays: Callable[[], Sequence[Relay]],
        is_direct_open: Callable[[], bool],
    ) -> None:
        # Relays that work now, in the order of preference.
        self._relays = relays
        self._is_direct_open = is_direct_open
        # Held during a large call.
        self._large_call_lock = asyncio.Lock()
        # Monotonic time at which a large call was last lost, in seconds.
        self._large_lost_s = float("-inf")

    def routes(self) -> Iterator[Relay]:
        """Yield the relays that are known when the first of them is requested."""
        yield from (partial(self._call, relay) for relay in self._relays())

    async def _call(
        self, relay: Relay, call: StoreCall, timeout_s: float
    ) -> Response | Refusal:
        """Make a call through one relay.

        Concurrent large calls would share the relay's link: each would time out shortly
        before its answer and be sent again, and none would succeed.
        """
        if len(call.body) < _LARGE_BYTES:
            return await relay(call, timeout_s)
        async with self._large_call_lock:
            if self._is_direct_open():
                return refuse(ErrorKind.LINK_NOT_OPEN, "this node's own way is back")
            answer = await relay(call, timeout_s)
            if isinstance(answer, Refusal):
                self._large_lost_s = asyncio.get_running_loop().time()
            return answer

    def has_lost(self, call: StoreCall, since_s: float) -> bool:
        """Whether ``call`` is large, and a relayed large call was lost since a time.

        ``since_s`` is a monotonic time. A large call may have needed more time than its
        timeout. The transfer of a small call takes almost no time, and no other node's
        calls fill the direct route: in both cases the store has lost the answer, and a
        longer timeout doesn't help.
        """
        return self._large_lost_s >= since_s and len(call.body) >= _LARGE_BYTES
