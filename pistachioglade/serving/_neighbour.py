"""Probes this entry's ring neighbour, and reassigns the jobs of a lost neighbour."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final

from ..decisions import (
    FULL_POLICY,
    LATE_ANSWER_TIMEOUT_S,
    NEIGHBOUR_ANSWER_WAIT_S,
    PROBE_INTERVAL_S,
    Mechanism,
    NeighbourView,
    Policy,
    has_lost_store,
    is_lost,
    neighbour_of,
    probe_interval_s,
    should_remove_listing,
    should_reopen_link,
)
from ..errors import ErrorKind, Refusal
from ..links import LinkPool
from ..logs import logger
from ..messages import Probe, ProbeAnswer
from ..store import StoreClient
from ._members import Members
from ._store_ways import StoreRelays

#: Factor by which the recorded answer time decays with each answer.
_ANSWER_DECAY: Final = 0.8


class NeighbourWatch:
    """Probes the entry before this one by name, and reassigns its jobs if it fails.

    A neighbour fails if it is lost, or if it is cut off from the store.

    A busy neighbour answers late. An answer that arrives after the probe's timeout
    still shows that the neighbour lives.
    """

    def __init__(
        self,
        members: Members,
        store: StoreClient,
        links: LinkPool,
        store_relays: StoreRelays,
        reassign_jobs: Callable[[str, bool], Awaitable[None]],
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._members = members
        self._store = store
        self._links = links
        self._store_relays = store_relays
        # Reassigns an entry's jobs; the flag tells whether that entry still answers.
        self._reassign_jobs = reassign_jobs
        self._reassigns_jobs = policy.uses(Mechanism.WATCHED_NEIGHBOUR)
        self._log = logger(__name__)
        self._name: str | None = None
        self._probes: set[asyncio.Task[Any]] = set()
        self._answer: ProbeAnswer | None = None
        # Monotonic time of the neighbour's last answer, or of the first probe.
        self._last_answer_s = 0.0
        # Decaying maximum of the time that answers took, in seconds.
        self._answer_time_s = 0.0
        self._refused_connections = 0
        self._reopened_s = 0.0
        self._is_lost = False
        self._is_in_doubt = False

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Probe whichever entry comes before this one by name, forever."""
        await self._members.mirror.is_synced.wait()
        while True:
            await asyncio.sleep(probe_interval_s(self._is_in_doubt))
            name = neighbour_of(self._members.node, self._members.names)
            if name is None:
                self._watch_entry(None)
            else:
                await self.probe_neighbour(name)

    def _watch_entry(self, name: str | None) -> None:
        self._name, self._answer = name, None
        self._last_answer_s = self._reopened_s = self._now_s()
        self._answer_time_s = 0.0
        self._refused_connections = 0
        self._is_lost = self._is_in_doubt = False

    async def probe_neighbour(self, name: str) -> None:
        """Probe the neighbour once, and reassign its jobs if it has failed."""
        if name != self._name:
            self._watch_entry(name)
        address = self._members.address_of_node(name)
        work = self._links.call(address, Probe(), LATE_ANSWER_TIMEOUT_S)
        probe = asyncio.get_running_loop().create_task(work)
        self._probes.add(probe)
        probe.add_done_callback(partial(self._record_outcome, name, self._now_s()))
        await asyncio.wait((probe,), timeout=NEIGHBOUR_ANSWER_WAIT_S)
        silent_s = self._now_s() - self._last_answer_s
        if silent_s > 2 * PROBE_INTERVAL_S:
            self._members.record_unreachable(name)
        if should_reopen_link(silent_s, self._now_s() - self._reopened_s):
            # A link that has fallen silent may never carry a message again.
            self._reopened_s = self._now_s()
            closing = asyncio.get_running_loop().create_task(
                self._links.close_link(address)
            )
            self._probes.add(closing)
            closing.add_done_callback(self._probes.discard)
        view = NeighbourView(
            self._last_answer_s,
            self._answer.store_age_s if self._answer else None,
            self._store.last_answer_age_s or 0.0,
            self._refused_connections,
            self._answer_time_s,
        )
        was_lost, self._is_lost = self._is_lost, is_lost(view, self._now_s())
        has_answered = probe.done() and not isinstance(probe.result(), Refusal)
        self._is_in_doubt = not has_answered and not self._is_lost
        if self._is_lost and not was_lost:
            self._log.warning(
                "entry-lost",
                entry=name,
                silent_s=round(silent_s, 3),
                answers_took_s=round(self._answer_time_s, 3),
                connections_refused=self._refused_connections,
            )
        if self._reassigns_jobs:
            await self._handle_failure(name, view)

    async def _handle_failure(self, name: str, view: NeighbourView) -> None:
        if self._is_lost:
            await asyncio.gather(
                self._reassign_jobs(name, False), self._members.remove_entry(name)
            )
        elif has_lost_store(view):
            await self._reassign_jobs(name, True)
            if should_remove_listing(view):
                await self._members.remove_entry(name)

    def _record_outcome(
        self, name: str, begun_s: float, probe: asyncio.Task[Any]
    ) -> None:
        """Record the outcome of a probe."""
        self._probes.discard(probe)
        if probe.cancelled() or name != self._name:
            return
        answer = probe.result()
        if isinstance(answer, ProbeAnswer):
            self._answer = answer
            self._store_relays.record_answer(name, answer)
            self._last_answer_s = self._now_s()
            self._answer_time_s = max(
                self._last_answer_s - begun_s, _ANSWER_DECAY * self._answer_time_s
            )
            self._refused_connections = 0
            self._members.record_reachable(name)
        elif isinstance(answer, Refusal) and answer.kind is ErrorKind.LINK_REFUSED:
            self._refused_connections += 1
