"""Background work that fails: it starts again, is told of, is given up in the end."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from itertools import pairwise

import pytest

from ...metrics import Metrics
from ...store.tests.scripted import now_s, run_virtual
from .. import Supervisor

#: Starts that are seen of work that always fails, and time until it is given up.
_STARTS = 8
_GIVEN_UP_S = 12.0


class _Watched:
    """A supervisor with what became of its work."""

    def __init__(self, seed: int = 1) -> None:
        self.metrics = Metrics()
        self.given_up_s: list[float] = []
        self.starts_s: list[float] = []
        self.supervisor = Supervisor(
            self.metrics,
            lambda: self.given_up_s.append(now_s()),
            random.Random(seed),
        )

    def start(self, outcome: Callable[[int], float], may_end: bool = False) -> None:
        """Start work that runs for ``outcome`` of its start's number and then fails."""

        async def work() -> None:
            self.starts_s.append(now_s())
            await asyncio.sleep(outcome(len(self.starts_s)))
            if not may_end:
                raise ValueError("unforeseen")

        self.supervisor.start("work", work, may_end)


def test_work_that_fails_once_is_back_within_a_tenth_of_a_second() -> None:
    async def work() -> None:
        watched = _Watched()
        watched.start(lambda number: 1.0 if number == 1 else 1e6)
        await asyncio.sleep(5.0)
        assert len(watched.starts_s) == 2
        assert 0.05 <= watched.starts_s[1] - 1.0 <= 0.1
        assert b'task_failures_total{task="work"} 1.0' in watched.metrics.text()

    run_virtual(work)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_work_that_keeps_failing_is_given_up_once(seed: int) -> None:
    async def work() -> None:
        watched = _Watched(seed)
        watched.start(lambda _number: 0.0)
        await asyncio.sleep(600.0)
        assert len(watched.starts_s) == _STARTS
        assert len(watched.given_up_s) == 1
        assert watched.given_up_s[0] < _GIVEN_UP_S
        gaps_s = [after - before for before, after in pairwise(watched.starts_s)]
        assert gaps_s[-1] > 10 * gaps_s[0]

    run_virtual(work)


def test_failures_long_apart_are_never_in_a_row() -> None:
    async def work() -> None:
        watched = _Watched()
        watched.start(lambda _number: 40.0)
        await asyncio.sleep(2000.0)
        assert len(watched.starts_s) > 3 * _STARTS
        assert not watched.given_up_s

    run_virtual(work)


def test_work_that_may_end_ends() -> None:
    async def work() -> None:
        watched = _Watched()
        watched.start(lambda _number: 1.0, may_end=True)
        await asyncio.sleep(100.0)
        assert len(watched.starts_s) == 1

    run_virtual(work)


def test_two_nodes_do_not_come_back_in_the_same_moment() -> None:
    async def work() -> None:
        nodes = [_Watched(seed) for seed in range(20)]
        for node in nodes:
            node.start(lambda number: 0.0 if number == 1 else 1e6)
        await asyncio.sleep(5.0)
        assert len({round(node.starts_s[1], 4) for node in nodes}) > 15

    run_virtual(work)
