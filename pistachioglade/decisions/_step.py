"""The plan of one step: what to start where, what to give out, what is taken.

The trainer's receipts are the truth about delivery. The plan may make a sample
twice (a hedge, or a copy that became stale); it gives out the copy it settled
on until the trainer has receipted one.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable, Iterator, Sequence
from itertools import accumulate, chain
from statistics import fmean
from typing import Final

import attrs

from ..messages import Receipt, Sample
from ._placement import (
    AgentView,
    GroupHomes,
    PlacementPolicy,
    agents_with_room,
    slow_agents,
)
from ._staleness import is_fresh

#: A sample may be hedged once this part of the step is finished.
_HEDGE_FROM: Final = 0.7
#: A sample is stuck beyond this multiple of the longest finished one's duration.
_STUCK_FACTOR: Final = 1.5
#: An agent is slow whose token rate is below this part of the usual one.
_SLOW_RATE: Final = 0.6
#: Samples by which an agent's rate is judged.
_RATE_WINDOW: Final = 16


@attrs.frozen
class StepPolicy:
    """How a plan orders and hedges."""

    # How agents are chosen.
    placement: PlacementPolicy = attrs.field(factory=PlacementPolicy)
    # Whether groups with the longest samples go first.
    longest_first: bool = True
    # Part of the samples that may be started twice.
    hedge_part: float = 0.05


@attrs.frozen
class Dispatch:
    """One copy of a sample to start."""

    # Index of the sample.
    index: int
    # Group of the sample.
    group: int
    # Agent to start it at.
    agent: str
    # Whether another copy is running already.
    hedge: bool = False


@attrs.frozen
class _Copy:
    # Agent that makes it.
    agent: str
    # When it was started.
    started_s: float


class StepPlan:
    """The state of a step at its owner."""

    def __init__(
        self, key: str, group_sizes: Sequence[int], policy: StepPolicy
    ) -> None:
        self._key = key
        self._policy = policy
        self._starts = starts = [0, *accumulate(group_sizes)]
        self._group_of = list(
            chain.from_iterable(
                [group] * size for group, size in enumerate(group_sizes)
            )
        )
        self._pending: dict[int, list[int]] = {
            group: list(range(starts[group], starts[group + 1]))
            for group in range(len(group_sizes))
            if group_sizes[group]
        }
        self._running: dict[int, list[_Copy]] = {}
        self._ready: dict[int, Sample] = {}
        self._receipts: dict[int, Receipt] = {}
        self._group_tokens: dict[int, list[int]] = defaultdict(list)
        self._durations_s: list[float] = []
        self._rates: dict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=_RATE_WINDOW)
        )
        self._homes = GroupHomes(key)
        self._hedged = 0

    @property
    def sample_count(self) -> int:
        """How many samples the step has."""
        return len(self._group_of)

    @property
    def missing_count(self) -> int:
        """How many samples are not receipted yet."""
        return self.sample_count - len(self._receipts)

    @property
    def is_complete(self) -> bool:
        """Whether the trainer has every sample."""
        return self.missing_count == 0

    @property
    def pending_count(self) -> int:
        """How many samples wait to be started."""
        return sum(map(len, self._pending.values()))

    @property
    def receipts(self) -> tuple[Receipt, ...]:
        """What the trainer has taken, by index."""
        return tuple(self._receipts[index] for index in sorted(self._receipts))

    @property
    def has_running(self) -> bool:
        """Whether any copy is being made."""
        return bool(self._running)

    def has_copy(self, index: int) -> bool:
        """Return whether a copy of a sample is ready or was taken."""
        return index in self._ready or index in self._receipts

    def running_at(self, agent: str) -> tuple[int, ...]:
        """Return the samples that an agent is making."""
        return tuple(
            index
            for index, copies in self._running.items()
            if any(copy.agent == agent for copy in copies)
        )

    def outstanding(self) -> dict[str, int]:
        """Return how many copies each agent is making."""
        counts: dict[str, int] = defaultdict(int)
        for copy in chain.from_iterable(self._running.values()):
            counts[copy.agent] += 1
        return counts

    def expected_tokens(self, group: int) -> int:
        """Return the expected length of a group's samples; 0 if not known."""
        known = self._group_tokens.get(group)
        return int(fmean(known)) if known else 0

    def next_dispatch(
        self, agents: Sequence[AgentView], now_s: float
    ) -> Dispatch | None:
        """Return the next copy to start, which then counts as started."""
        dispatch = self._next_pending(agents) or self._next_hedge(agents, now_s)
        if dispatch is not None:
            copies = self._running.setdefault(dispatch.index, [])
            copies.append(_Copy(dispatch.agent, now_s))
            self._hedged += dispatch.hedge
        return dispatch

    def _next_pending(self, agents: Sequence[AgentView]) -> Dispatch | None:
        room = agents_with_room(agents, self._policy.placement)
        if not self._pending:
            return None
        for agent, group in self._choices(room, agents):
            index = self._pending[group].pop(0)
            if not self._pending[group]:
                del self._pending[group]
            return Dispatch(index, group, agent)
        return None

    def _choices(
        self, room: Sequence[AgentView], agents: Sequence[AgentView]
    ) -> Iterator[tuple[str, int]]:
        """Yield agents with room and the group that each would take from."""
        if not self._policy.placement.group_affinity:
            yield from ((view.agent, min(self._pending)) for view in room)
            return
        waiting = {group: len(left) for group, left in self._pending.items()}
        self._homes.assign(waiting, [view for view in agents if view.usable])
        chosen = self._without_slow(room, agents)
        free = {view.agent for view in chosen if view.load < 1.0}
        busy = {view.agent for view in agents} - free
        for view in chosen:
            groups = self._homes.groups_for(view.agent, waiting, busy)
            if groups:
                yield view.agent, self._best_group(groups)

    def _without_slow(
        self, room: Sequence[AgentView], agents: Sequence[AgentView]
    ) -> Sequence[AgentView]:
        """Return the agents to choose from; near the end no slow ones.

        What a slow agent gets last is what the trainer waits for.
        """
        slow = slow_agents(self._rates, _SLOW_RATE)
        quick_slots = sum(
            view.slots for view in agents if view.usable and view.agent not in slow
        )
        if self.pending_count > 2 * quick_slots:
            return room
        return [view for view in room if view.agent not in slow]

    def _best_group(self, groups: Sequence[int]) -> int:
        if not self._policy.longest_first:
            return min(groups)
        return min(groups, key=self._group_rank)

    def _group_rank(self, group: int) -> tuple[int, int, int]:
        """Probe each group once, then finish the longest groups first."""
        probed = bool(self._group_tokens.get(group)) or self._is_started(group)
        return int(probed), -self.expected_tokens(group), group

    def _is_started(self, group: int) -> bool:
        first = self._starts[group]
        return first in self._running or first in self._ready

    def _next_hedge(self, agents: Sequence[AgentView], now_s: float) -> Dispatch | None:
        """Start a second copy of what a slow or silent agent holds up."""
        budget = self._policy.hedge_part * self.sample_count
        finished = len(self._ready) + len(self._receipts)
        if self._hedged >= budget or finished < _HEDGE_FROM * self.sample_count:
            return None
        slow = slow_agents(self._rates, _SLOW_RATE)
        late = self._latest(slow, now_s)
        if late is None:
            return None
        taken = {copy.agent for copy in self._running[late]} | slow
        idle = [
            view
            for view in agents
            if view.usable and view.agent not in taken and view.load < 1.0
        ]
        if not idle:
            return None
        agent = min(idle, key=lambda view: (view.load, view.agent)).agent
        return Dispatch(late, self._group_of[late], agent, hedge=True)

    def _latest(self, slow: frozenset[str], now_s: float) -> int | None:
        """Return the oldest single copy that is at a slow agent or stuck."""
        stuck_s = _STUCK_FACTOR * max(self._durations_s, default=0.0)
        singles = [
            (copies[0].started_s, index)
            for index, copies in self._running.items()
            if len(copies) == 1
            and (copies[0].agent in slow or 0 < stuck_s < now_s - copies[0].started_s)
        ]
        return min(singles)[1] if singles else None

    def finish(self, agent: str, sample: Sample, now_s: float) -> tuple[str, ...]:
        """Take a finished copy; return the agents whose copies are now useless."""
        index = sample.index
        copies = self._running.pop(index, [])
        for duration_s in (
            now_s - copy.started_s for copy in copies if copy.agent == agent
        ):
            self._durations_s.append(duration_s)
        if sample.tokens_per_s > 0:
            self._rates[agent].append(sample.tokens_per_s)
        self._group_tokens[self._group_of[index]].append(sample.token_count)
        if index not in self._receipts and index not in self._ready:
            self._unqueue(index)
            self._ready[index] = sample
        return tuple(copy.agent for copy in copies if copy.agent != agent)

    def _unqueue(self, index: int) -> None:
        group = self._group_of[index]
        waiting = self._pending.get(group, [])
        if index in waiting:
            waiting.remove(index)
        if not waiting:
            self._pending.pop(group, None)

    def fail(self, agent: str, index: int) -> None:
        """Note that a copy came to nothing; start it again if it was the last."""
        copies = self._running.get(index, [])
        kept = [copy for copy in copies if copy.agent != agent]
        if len(kept) == len(copies):
            return
        if kept:
            self._running[index] = kept
            return
        del self._running[index]
        self._requeue(index)

    def _requeue(self, index: int) -> None:
        if index in self._ready or index in self._receipts or index in self._running:
            return
        waiting = self._pending.setdefault(self._group_of[index], [])
        if index not in waiting:
            waiting.insert(0, index)

    def drop_stale(
        self, newest_version: int, bound_versions: int
    ) -> tuple[Sample, ...]:
        """Throw away ready copies that are too old now, and make them again."""
        stale = tuple(
            sample
            for sample in self._ready.values()
            if not is_fresh(sample.oldest_version, newest_version, bound_versions)
        )
        for sample in stale:
            del self._ready[sample.index]
            self._requeue(sample.index)
        return stale

    def reject(self, indices: Iterable[int]) -> tuple[Sample, ...]:
        """Throw away copies that the trainer found too old."""
        dropped = tuple(
            self._ready.pop(index) for index in set(indices) if index in self._ready
        )
        for sample in dropped:
            self._requeue(sample.index)
        return dropped

    def receive(self, receipts: Iterable[Receipt]) -> tuple[int, ...]:
        """Note what the trainer took; return samples whose making can stop."""
        fresh = [
            receipt
            for receipt in receipts
            if receipt.index not in self._receipts
            and 0 <= receipt.index < self.sample_count
        ]
        for receipt in fresh:
            self._receipts[receipt.index] = receipt
            self._ready.pop(receipt.index, None)
            self._unqueue(receipt.index)
        return tuple(
            receipt.index for receipt in fresh if receipt.index in self._running
        )

    def restore(self, receipts: Iterable[Receipt]) -> tuple[int, ...]:
        """Take the receipts of a trainer that opens the step again as the truth.

        A trainer that went back to its checkpoint lacks samples that it once had
        receipted; those are made again.
        """
        known = tuple(receipts)
        kept = {receipt.index for receipt in known}
        for index in [index for index in self._receipts if index not in kept]:
            del self._receipts[index]
            self._requeue(index)
        return self.receive(known)

    def ready(self, most: int) -> tuple[Sample, ...]:
        """Return samples that the trainer has not receipted."""
        return tuple(self._ready[index] for index in sorted(self._ready)[:most])
