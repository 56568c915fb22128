"""The planned stop of an entry: hands over its work and answers what is in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from ..decisions import stop_times
from ..http1 import HttpServer
from ..jobs import JobOwner
from ..logs import logger
from ..platform import ProcessSettings
from ._members import Members
from ._peers import Peers

#: Time between two attempts to hand over jobs.
_HAND_OVER_RETRY_S: Final = 0.2
#: Time between two checks whether requests are still in progress.
_CHECK_INTERVAL_S: Final = 0.05


class PlannedStop:
    """Stops an entry without losing a request or a job."""

    def __init__(
        self,
        settings: ProcessSettings,
        callers: HttpServer,
        owner: JobOwner,
        peers: Peers,
        members: Members,
        releases: Sequence[Callable[[], Awaitable[None]]],
        refuse_waiting: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._callers = callers
        self._owner = owner
        self._peers = peers
        self._members = members
        # Release the leases that the entry holds.
        self._releases = releases
        # Refuses the requests that still wait for an instance.
        self._refuse_waiting = refuse_waiting
        self._log = logger(__name__)

    async def run(self) -> None:
        """Refuse new work, answer the requests in progress, then return.

        Returns before the grace period ends, also while the store doesn't answer.
        """
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        grace_s = self._settings.grace_s
        times = stop_times(grace_s)
        self._log.info(
            "stopping",
            program="entry",
            busy=self._callers.busy_count,
            grace_s=grace_s,
            ends_after_s=round(times.end_s, 3),
        )
        self._callers.is_leaving = True
        exit_s = begun_s + times.rotation_exit_s
        handover = loop.create_task(self._leave_fleet(exit_s))
        await asyncio.sleep(times.rotation_exit_s)
        self._callers.stop_listening()
        self._callers.close_idle()
        await self._finish_requests(
            handover, begun_s + times.refusal_s, begun_s + times.end_s
        )
        self._log.info(
            "stopped",
            program="entry",
            cut_off=len(self._callers.connections),
            is_handed_over=handover.done(),
            after_s=round(loop.time() - begun_s, 3),
        )
        handover.cancel()

    async def _finish_requests(
        self, handover: asyncio.Task[None], refusal_s: float, end_s: float
    ) -> None:
        """Wait for the requests in progress and for the handover until ``end_s``.

        Requests that wait for an instance at ``refusal_s`` are refused, so that their
        callers get an answer. Both times are monotonic, in seconds.
        """
        loop = asyncio.get_running_loop()
        while (now_s := loop.time()) < end_s:
            if not self._callers.connections and handover.done():
                return
            is_refusing = now_s >= refusal_s
            if is_refusing:
                self._refuse_waiting()
            remaining_s = (end_s if is_refusing else refusal_s) - now_s
            await asyncio.sleep(min(_CHECK_INTERVAL_S, remaining_s))
            self._callers.close_idle()
        # The event loop may have been held up since before ``refusal_s``.
        self._refuse_waiting()
        await asyncio.sleep(0.0)

    async def _leave_fleet(self, until_s: float) -> None:
        """Leave jobs, duties and leases to other entries, and leave their list."""
        await self._run_all(
            self._hand_over_jobs(until_s), *(release() for release in self._releases)
        )
        await self._run_all(self._members.remove_entry(self._settings.node))

    async def _run_all(self, *parts: Awaitable[None]) -> None:
        """Run parts of the handover; an error in one of them stops no other."""
        for outcome in await asyncio.gather(*parts, return_exceptions=True):
            if isinstance(outcome, BaseException):
                self._log.error("handover-failed", exc_info=outcome)

    async def _hand_over_jobs(self, until_s: float) -> None:
        """Hand over all jobs to other entries; jobs that none accepts keep running.

        In a rolling restart of all entries, the entries that stopped earlier are back
        within the time that callers need to notice that this entry leaves.
        """
        loop = asyncio.get_running_loop()
        self._owner.disable()
        is_complete = await self._peers.hand_over_jobs()
        if is_complete:
            return
        self._owner.resume()
        while not is_complete and loop.time() < until_s:
            await asyncio.sleep(_HAND_OVER_RETRY_S)
            is_complete = await self._peers.hand_over_jobs()
        if not is_complete:
            self._log.info("jobs-kept", jobs=list(self._owner.runs))
