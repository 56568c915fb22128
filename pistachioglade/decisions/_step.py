"""The plan of one step: which samples to start where, to deliver and to repeat.

The trainer's receipts are authoritative for delivery. The plan may start a sample
twice (as a hedge, or because a copy became stale); it delivers the first finished
copy repeatedly until the trainer has receipted a copy.
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
    GroupAffinity,
    PlacementPolicy,
    available_agents,
    slow_agents,
)
from ._staleness import is_fresh

#: Fraction of a step's samples that are finished before a sample may be hedged.
_HEDGE_MIN_FINISHED_FRACTION: Final = 0.7
#: A sample is stuck once it has run for this multiple of the longest duration of a
#: finished sample.
_STUCK_FACTOR: Final = 1.5
#: Fraction of the median agent's token rate below which an agent is slow.
_SLOW_RATE_FRACTION: Final = 0.6
#: Number of an agent's latest samples from which its token rate is computed.
_RATE_WINDOW_SAMPLES: Final = 16


@attrs.frozen
class StepPolicy:
    """The settings by which a plan orders, places and hedges samples."""

    # Settings by which agents are chosen.
    placement: PlacementPolicy = attrs.field(factory=PlacementPolicy)
    # Whether groups with the longest samples start first.
    longest_first: bool = True
    # Fraction of the step's samples that may be hedged.
    hedge_fraction: float = 0.05


@attrs.frozen
class Dispatch:
    """One copy of a sample to start."""

    # Index of the sample.
    index: int
    # Group of the sample.
    group: int
    # Node id of the agent that runs the copy.
    agent: str
    # Whether the copy is a hedge: another copy is running already.
    is_hedge: bool = False


@attrs.frozen
class _Copy:
    # Node id of the agent that runs the copy.
    agent: str
    # Start of the copy, in seconds of the plan's clock.
    started_s: float


class StepPlan:
    """The state of a step's samples at the owner of the step."""

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
            lambda: deque(maxlen=_RATE_WINDOW_SAMPLES)
        )
        self._affinity = GroupAffinity(key)
        self._hedged = 0

    @property
    def sample_count(self) -> int:
        """Number of samples in the step."""
        return len(self._group_of)

    @property
    def missing_count(self) -> int:
        """Number of samples that the trainer has not receipted yet."""
        return self.sample_count - len(self._receipts)

    @property
    def is_complete(self) -> bool:
        """Whether the trainer has receipted every sample."""
        return self.missing_count == 0

    @property
    def pending_count(self) -> int:
        """Number of samples that wait for their start."""
        return sum(map(len, self._pending.values()))

    @property
    def receipts(self) -> tuple[Receipt, ...]:
        """The receipts of the trainer, sorted by sample index."""
        return tuple(self._receipts[index] for index in sorted(self._receipts))

    @property
    def has_running_copies(self) -> bool:
        """Whether any copy is running."""
        return bool(self._running)

    def has_copy(self, index: int) -> bool:
        """Return whether a copy of a sample is ready or receipted."""
        return index in self._ready or index in self._receipts

    def samples_running_at(self, agent: str) -> tuple[int, ...]:
        """Return the indices of the samples that run at an agent."""
        return tuple(
            index
            for index, copies in self._running.items()
            if any(copy.agent == agent for copy in copies)
        )

    def running_by_agent(self) -> dict[str, int]:
        """Return the number of copies that run at each agent."""
        counts: dict[str, int] = defaultdict(int)
        for copy in chain.from_iterable(self._running.values()):
            counts[copy.agent] += 1
        return counts

    def expected_tokens(self, group: int) -> int:
        """Return the expected tokens of a group's samples; 0 if not known."""
        known = self._group_tokens.get(group)
        return int(fmean(known)) if known else 0

    def next_dispatch(
        self, agents: Sequence[AgentView], now_s: float
    ) -> Dispatch | None:
        """Return the next copy to start and record the copy as started."""
        dispatch = self._next_pending(agents) or self._next_hedge(agents, now_s)
        if dispatch is not None:
            copies = self._running.setdefault(dispatch.index, [])
            copies.append(_Copy(dispatch.agent, now_s))
            self._hedged += dispatch.is_hedge
        return dispatch

    def _next_pending(self, agents: Sequence[AgentView]) -> Dispatch | None:
        available = available_agents(agents, self._policy.placement)
        if not self._pending:
            return None
        for agent, group in self._iter_choices(available, agents):
            index = self._pending[group].pop(0)
            if not self._pending[group]:
                del self._pending[group]
            return Dispatch(index, group, agent)
        return None

    def _iter_choices(
        self, available: Sequence[AgentView], agents: Sequence[AgentView]
    ) -> Iterator[tuple[str, int]]:
        """Yield each available agent with the group whose sample to start there."""
        if not self._policy.placement.group_affinity:
            yield from ((view.agent, min(self._pending)) for view in available)
            return
        waiting = {group: len(pending) for group, pending in self._pending.items()}
        self._affinity.assign(waiting, [view for view in agents if view.is_usable])
        chosen = self._exclude_slow_agents(available, agents)
        free = {view.agent for view in chosen if view.load < 1.0}
        busy = {view.agent for view in agents} - free
        for view in chosen:
            groups = self._affinity.groups_for(view.agent, waiting, busy)
            if groups:
                yield view.agent, self._choose_group(groups)

    def _exclude_slow_agents(
        self, available: Sequence[AgentView], agents: Sequence[AgentView]
    ) -> Sequence[AgentView]:
        """Return the agents to choose from, without slow agents near the step's end.

        The trainer waits for the samples that a slow agent starts last.
        """
        slow = slow_agents(self._rates, _SLOW_RATE_FRACTION)
        quick_slots = sum(
            view.slots for view in agents if view.is_usable and view.agent not in slow
        )
        if self.pending_count > 2 * quick_slots:
            return available
        return [view for view in available if view.agent not in slow]

    def _choose_group(self, groups: Sequence[int]) -> int:
        if not self._policy.longest_first:
            return min(groups)
        return min(groups, key=self._group_rank)

    def _group_rank(self, group: int) -> tuple[int, int, int]:
        """Rank groups without a started sample first, then the longest groups.

        The first sample of a group shows the expected length of its others.
        """
        probed = bool(self._group_tokens.get(group)) or self._is_started(group)
        return int(probed), -self.expected_tokens(group), group

    def _is_started(self, group: int) -> bool:
        first = self._starts[group]
        return first in self._running or first in self._ready

    def _next_hedge(self, agents: Sequence[AgentView], now_s: float) -> Dispatch | None:
        """Return a second copy of a sample that a slow or silent agent delays."""
        budget = self._policy.hedge_fraction * self.sample_count
        finished = len(self._ready) + len(self._receipts)
        if (
            self._hedged >= budget
            or finished < _HEDGE_MIN_FINISHED_FRACTION * self.sample_count
        ):
            return None
        slow = slow_agents(self._rates, _SLOW_RATE_FRACTION)
        delayed = self._find_delayed_sample(slow, now_s)
        if delayed is None:
            return None
        excluded = {copy.agent for copy in self._running[delayed]} | slow
        idle = [
            view
            for view in agents
            if view.is_usable and view.agent not in excluded and view.load < 1.0
        ]
        if not idle:
            return None
        agent = min(idle, key=lambda view: (view.load, view.agent)).agent
        return Dispatch(delayed, self._group_of[delayed], agent, is_hedge=True)

    def _find_delayed_sample(self, slow: frozenset[str], now_s: float) -> int | None:
        """Return the oldest sample whose only copy is stuck or at a slow agent."""
        stuck_s = _STUCK_FACTOR * max(self._durations_s, default=0.0)
        singles = [
            (copies[0].started_s, index)
            for index, copies in self._running.items()
            if len(copies) == 1
            and (copies[0].agent in slow or 0 < stuck_s < now_s - copies[0].started_s)
        ]
        return min(singles)[1] if singles else None

    def record_finished(
        self, agent: str, sample: Sample, now_s: float
    ) -> tuple[str, ...]:
        """Record a finished copy; return the agents with obsolete copies to cancel."""
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
            self._remove_pending(index)
            self._ready[index] = sample
        return tuple(copy.agent for copy in copies if copy.agent != agent)

    def _remove_pending(self, index: int) -> None:
        group = self._group_of[index]
        waiting = self._pending.get(group, [])
        if index in waiting:
            waiting.remove(index)
        if not waiting:
            self._pending.pop(group, None)

    def record_failure(self, agent: str, index: int) -> None:
        """Record a failed copy; queue the sample again if no other copy runs."""
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

    def discard_stale(
        self, newest_version: int, bound_versions: int
    ) -> tuple[Sample, ...]:
        """Discard ready copies that have become stale and queue their samples again."""
        stale = tuple(
            sample
            for sample in self._ready.values()
            if not is_fresh(sample.oldest_version, newest_version, bound_versions)
        )
        for sample in stale:
            del self._ready[sample.index]
            self._requeue(sample.index)
        return stale

    def discard_rejected(self, indices: Iterable[int]) -> tuple[Sample, ...]:
        """Discard copies that the trainer rejected as stale and queue them again."""
        dropped = tuple(
            self._ready.pop(index) for index in set(indices) if index in self._ready
        )
        for sample in dropped:
            self._requeue(sample.index)
        return dropped

    def record_receipts(self, receipts: Iterable[Receipt]) -> tuple[int, ...]:
        """Record receipts; return the samples whose running copies can be cancelled."""
        fresh = [
            receipt
            for receipt in receipts
            if receipt.index not in self._receipts
            and 0 <= receipt.index < self.sample_count
        ]
        for receipt in fresh:
            self._receipts[receipt.index] = receipt
            self._ready.pop(receipt.index, None)
            self._remove_pending(receipt.index)
        return tuple(
            receipt.index for receipt in fresh if receipt.index in self._running
        )

    def restore_receipts(self, receipts: Iterable[Receipt]) -> tuple[int, ...]:
        """Replace all receipts by those of a trainer that reopens the step.

        A trainer that returned to its checkpoint lacks samples that it had receipted
        before; those are generated again.
        """
        known = tuple(receipts)
        kept = {receipt.index for receipt in known}
        for index in [index for index in self._receipts if index not in kept]:
            del self._receipts[index]
            self._requeue(index)
        return self.record_receipts(known)

    def ready_samples(self, max_samples: int) -> tuple[Sample, ...]:
        """Return finished samples that the trainer has not receipted yet."""
        return tuple(self._ready[index] for index in sorted(self._ready)[:max_samples])
