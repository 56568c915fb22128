"""Starts background work again when it fails, and tells of each failure."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from ..decisions import failures_in_a_row, is_hopeless, restart_pause_s
from ..logs import logger
from ..metrics import Metrics

#: Begins work; called again for each start.
Work = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs the work that a program lives by."""

    def __init__(
        self,
        metrics: Metrics,
        on_hopeless: Callable[[], None],
        rng: random.Random | None = None,
    ) -> None:
        self._metrics = metrics
        # Called when work is given up: the program can't go on without it.
        self._on_hopeless = on_hopeless
        self._rng = rng or random.Random()
        self._log = logger(__name__)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, work: Work, may_end: bool = False) -> None:
        """Run work until :meth:`stop`; an end is a failure unless it may end."""
        running = self._run(name, work, may_end)
        task = asyncio.get_running_loop().create_task(running)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel all work."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _run(self, name: str, work: Work, may_end: bool) -> None:
        clock = asyncio.get_running_loop().time
        failures = 0
        while True:
            begun_s = clock()
            error = await self._failure(work)
            if error is None and may_end:
                return
            failures = failures_in_a_row(failures, clock() - begun_s)
            self._metrics.task_failed(name)
            self._log.error(
                "task-failed",
                task=name,
                failures=failures,
                ran_s=round(clock() - begun_s, 3),
                is_given_up=is_hopeless(failures),
                exc_info=error,
            )
            if is_hopeless(failures):
                self._on_hopeless()
                return
            await asyncio.sleep(restart_pause_s(failures, self._rng.random()))

    @staticmethod
    async def _failure(work: Work) -> Exception | None:
        """Run work once; return the error that ended it, None for an end without."""
        try:
            await work()
        except Exception as error:
            return error
        return None
