"""Bursts of callers of a soak, in which all accounts compete."""

from __future__ import annotations

import asyncio
from collections import Counter
from itertools import count
from typing import Final

from ._callers import Caller
from ._world import PRIORITIES, World

#: Range of the time between two bursts, in seconds.
_BURST_INTERVAL_S: Final = (2.0, 5.0)
#: Duration of a burst, in seconds: longer than a restart of all entries takes.
_BURST_S: Final = 3.0
#: Number of callers of each account in a burst.
_CALLERS: Final = 5
#: Number of answers in a burst from which every account must have one. Fewer come if
#: all entries are down during nearly all of the burst.
_MIN_ANSWERS: Final = 20


class Bursts:
    """Sends bursts of requests of every account, and checks that none is starved."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._numbers = count(1)
        # All callers of all bursts; their runs are checked at the end.
        self.callers: list[Caller] = []

    async def run(self) -> None:
        """Send bursts until cancelled."""
        while True:
            await asyncio.sleep(self._world.random.uniform(*_BURST_INTERVAL_S))
            answers = await self._burst()
            if answers.total() >= _MIN_ANSWERS:
                self._check(answers)
            else:
                self._world.counts["burst of few answers"] += 1

    async def check_last(self) -> None:
        """Send one more burst, in which every account must get answers."""
        self._check(await self._burst())

    async def _burst(self) -> Counter[str]:
        """Let callers of every account call; return the good answers by account."""
        number = next(self._numbers)
        callers = {
            account: [
                Caller(self._world, f"b{number}{account}{index}", account)
                for index in range(_CALLERS)
            ]
            for account in PRIORITIES
        }
        flat = [caller for group in callers.values() for caller in group]
        self.callers += flat
        tasks = [self._world.spawn(caller.run()) for caller in flat]
        try:
            await asyncio.sleep(_BURST_S)
        finally:
            for task in tasks:
                task.cancel()
        return Counter(
            account
            for account, group in callers.items()
            for caller in group
            for asked in caller.asked
            if asked.status == 200
        )

    def _check(self, answers: Counter[str]) -> None:
        self._world.counts["burst"] += 1
        starved = [account for account in PRIORITIES if not answers[account]]
        if starved:
            self._world.record_violation(f"starved: {starved}, answers: {answers}")
