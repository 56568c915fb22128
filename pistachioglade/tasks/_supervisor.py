"""Restarts failed background work with backoff and reports each failure."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from ..decisions import consecutive_failures, restart_pause_s, should_give_up
from ..logs import logger
from ..metrics import Metrics

#: Function that runs the work; called again for each restart.
Work = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs the background work that a program depends on and restarts failed work."""

    def __init__(
        self,
        metrics: Metrics,
        on_give_up: Callable[[], None],
        rng: random.Random | None = None,
    ) -> None:
        self._metrics = metrics
        # Called when work is given up, since the program can't run without that work.
        self._on_give_up = on_give_up
        self._rng = rng or random.Random()
        self._log = logger(__name__)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, work: Work, may_end: bool = False) -> None:
        """Run work until :meth:`stop`; its return is a failure unless ``may_end``."""
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
            started_s = clock()
            error = await self._run_once(work)
            if error is None and may_end:
                return
            failures = consecutive_failures(failures, clock() - started_s)
            self._metrics.record_task_failure(name)
            self._log.error(
                "task-failed",
                task=name,
                failures=failures,
                ran_s=round(clock() - started_s, 3),
                is_given_up=should_give_up(failures),
                exc_info=error,
            )
            if should_give_up(failures):
                self._on_give_up()
                return
            await asyncio.sleep(restart_pause_s(failures, self._rng.random()))

    @staticmethod
    async def _run_once(work: Work) -> Exception | None:
        """Run work once; return its error, or None if it returned without error."""
        try:
            await work()
        except Exception as error:
            return error
        return None
