"""Background work that fails is restarted, counted and finally given up."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from itertools import pairwise

import pytest

from ...metrics import Metrics
from ...store.tests.scripted import now_s, run_virtual
from .. import Supervisor

#: Number of starts of work that always fails, until the work is given up.
_STARTS = 8
#: Time within which work that always fails is given up, in seconds.
_GIVEN_UP_S = 12.0


class _RecordedWork:
    """Records the starts of a supervisor's work and the times it is given up."""

    def __init__(self, seed: int = 1) -> None:
        self.metrics = Metrics()
        self.given_up_s: list[float] = []
        self.starts_s: list[float] = []
        self.supervisor = Supervisor(
            self.metrics,
            lambda: self.given_up_s.append(now_s()),
            random.Random(seed),
        )

    def start(self, run_time_s: Callable[[int], float], may_end: bool = False) -> None:
        """Start work whose n-th start runs for ``run_time_s(n)`` seconds.

        The work then fails, unless it may end.
        """

        async def work() -> None:
            self.starts_s.append(now_s())
            await asyncio.sleep(run_time_s(len(self.starts_s)))
            if not may_end:
                raise ValueError("unforeseen")

        self.supervisor.start("work", work, may_end)


def test_work_that_fails_once_is_restarted_within_a_tenth_of_a_second() -> None:
    async def work() -> None:
        recorded = _RecordedWork()
        recorded.start(lambda number: 1.0 if number == 1 else 1e6)
        await asyncio.sleep(5.0)
        assert len(recorded.starts_s) == 2
        assert 0.05 <= recorded.starts_s[1] - 1.0 <= 0.1
        assert b'task_failures_total{task="work"} 1.0' in recorded.metrics.render()

    run_virtual(work)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_work_that_keeps_failing_is_given_up_once(seed: int) -> None:
    async def work() -> None:
        recorded = _RecordedWork(seed)
        recorded.start(lambda _number: 0.0)
        await asyncio.sleep(600.0)
        assert len(recorded.starts_s) == _STARTS
        assert len(recorded.given_up_s) == 1
        assert recorded.given_up_s[0] < _GIVEN_UP_S
        gaps_s = [after - before for before, after in pairwise(recorded.starts_s)]
        assert gaps_s[-1] > 10 * gaps_s[0]

    run_virtual(work)


def test_failures_far_apart_do_not_count_as_consecutive() -> None:
    async def work() -> None:
        recorded = _RecordedWork()
        recorded.start(lambda _number: 40.0)
        await asyncio.sleep(2000.0)
        assert len(recorded.starts_s) > 3 * _STARTS
        assert not recorded.given_up_s

    run_virtual(work)


def test_work_that_may_end_is_not_restarted() -> None:
    async def work() -> None:
        recorded = _RecordedWork()
        recorded.start(lambda _number: 1.0, may_end=True)
        await asyncio.sleep(100.0)
        assert len(recorded.starts_s) == 1

    run_virtual(work)


def test_nodes_restart_failed_work_at_different_times() -> None:
    async def work() -> None:
        nodes = [_RecordedWork(seed) for seed in range(20)]
        for node in nodes:
            node.start(lambda number: 0.0 if number == 1 else 1e6)
        await asyncio.sleep(5.0)
        assert len({round(node.starts_s[1], 4) for node in nodes}) > 15

    run_virtual(work)
