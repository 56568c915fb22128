"""Outages of the store that outlast the grace period of a crashing request."""

from __future__ import annotations

import asyncio
import random
from typing import Final

from ._crash_bounds import GRACE_S
from ._crashes import CrashingCaller
from ._world import World

#: Range of the pause before a possible outage, in seconds. Entries that run without
#: interruption from the start then know one another.
_PAUSE_S: Final = (3.0, 5.0)
#: Probability that an outage follows a pause.
_PROBABILITY: Final = 0.5
#: Range of an outage's duration, in seconds: a caller's pause, three crashes, the grace
#: period, and some time in which late attempts are counted.
_OUTAGE_S: Final = (6.0, 8.0)
#: Instances that are added before an outage, since no crashed instance can be replaced
#: in it. Three crashes and one run at each of three entries leave some of them.
_SPARE_INSTANCES: Final = 6
#: Time for entries to learn of the added instances, in seconds. Entries whose watches
#: another fault had just delayed did not know them after 0.5 s.
_LISTING_S: Final = 2.0
#: Number of entries that must have run without interruption for the grace period before
#: an outage, since one alone has nothing to share, and the longest wait for them, in
#: seconds.
_MIN_CONNECTED: Final = 2
_CONNECTED_WAIT_S: Final = 5.0
_POLL_INTERVAL_S: Final = 0.1


class StoreOutages:
    """Takes the store down while a crashing request is repeated.

    The draws have a generator of their own, so that the other faults of a seed don't
    depend on them.
    """

    def __init__(self, world: World, caller: CrashingCaller, seed: int) -> None:
        self._world = world
        self._caller = caller
        self._random = random.Random(f"outages-{seed}")

    async def run(self, duration_s: float) -> None:
        """Cause outages for some time; return when the last one has ended."""
        until_s = asyncio.get_running_loop().time() + duration_s
        while True:
            await asyncio.sleep(self._random.uniform(*_PAUSE_S))
            if asyncio.get_running_loop().time() >= until_s:
                return
            if self._random.random() < _PROBABILITY:
                await self._cause_outage(self._random.uniform(*_OUTAGE_S))

    async def _cause_outage(self, for_s: float) -> None:
        world = self._world
        spares = [await world.add_instance("app") for _ in range(_SPARE_INSTANCES)]
        world.spares |= {spare.id for spare in spares}
        await asyncio.sleep(_LISTING_S)
        await self._wait_for_entries()
        self._caller.start_next_request()
        world.counts["long outage"] += 1
        await world.hold_store_down(for_s)
        for spare in spares:
            spare.is_leaving = True
            await world.register_instance(spare)

    async def _wait_for_entries(self) -> None:
        """Wait for entries that know one another; give up after some time."""
        now_s = asyncio.get_running_loop().time
        until_s = now_s() + _CONNECTED_WAIT_S
        while now_s() < until_s and self._count_connected(now_s()) < _MIN_CONNECTED:
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _count_connected(self, at_s: float) -> int:
        """Return how many entries had no interruption in the grace period."""
        interrupted = {
            item.name
            for item in self._world.interruptions
            if item.ended_s >= at_s - GRACE_S
        }
        return len(self._world.entries.keys() - interrupted)
