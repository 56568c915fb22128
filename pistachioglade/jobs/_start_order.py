"""Puts the waiting samples of all runs in order, by targets and by trainers' shares."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain
from typing import Final

import attrs

from ..decisions import (
    FULL_POLICY,
    Mechanism,
    PendingSample,
    Policy,
    SampleShares,
    TrainerUse,
    order_by_shares,
    start_order,
)
from ..forwarding import FleetView
from ..logs import logger
from ..metrics import Metrics
from ._eligible_instances import EligibilityTable, Requirement, requirement_of
from ._job_run import JobRun

#: Shortest time between two log lines about samples that are held back, in seconds:
#: steps come and go every few seconds.
_LOG_INTERVAL_S: Final = 1.0


@attrs.frozen
class Trainer:
    """The holder of a share: a route, or an account with a priority on a route."""

    # Name of the route, followed by the account's if that has a priority of its own.
    name: str
    # Priority; 0 is the most urgent.
    priority: int


@attrs.frozen
class _Pass:
    """What one scheduling pass refers to."""

    # Monotonic time of the pass, in seconds.
    now_s: float
    # Time since the tokens of trainers were last counted, in seconds.
    age_s: float
    # Trainer of each run, by job id.
    trainers: Mapping[str, Trainer]
    # Eligible engines.
    table: EligibilityTable


class StartOrder:
    """Yields the waiting samples of a scheduling pass in the order of their start."""

    def __init__(
        self,
        view: FleetView,
        metrics: Metrics,
        runs: Mapping[str, JobRun],
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._view = view
        self._metrics = metrics
        self._runs = runs
        self._by_length = policy.uses(Mechanism.LONGEST_FIRST)
        self._by_target = policy.uses(Mechanism.TARGET_GROUPS_FIRST)
        self._by_shares = policy.uses(Mechanism.TRAINER_SHARES)
        # Shares of the trainers, by upstream.
        self._shares: defaultdict[str, SampleShares] = defaultdict(SampleShares)
        # Events of each run that are counted in the shares, by job id.
        self._counted_events: dict[str, int] = {}
        self._log = logger(__name__)
        # Upstreams and trainers named by the last log line.
        self._logged: frozenset[tuple[str, str]] = frozenset()
        # Monotonic time of that line, in seconds.
        self._logged_s = float("-inf")

    def order(
        self, waiting: Sequence[PendingSample], table: EligibilityTable
    ) -> Iterator[PendingSample]:
        """Yield the samples in order; the caller starts those that find an engine.

        When the caller asks for the next sample, it has started the last one or has
        found no engine for it.
        """
        now_s = asyncio.get_running_loop().time()
        trainers = {job_id: self._trainer_of(run) for job_id, run in self._runs.items()}
        current = _Pass(now_s, self._begin_pass(trainers, now_s), trainers, table)
        by_upstream = self._by_upstream(waiting)
        for upstream, by_requirement in by_upstream.items():
            shares = self._shares[upstream]
            rooms = [table.of(requirement).with_room for requirement in by_requirement]
            for pending in self._in_order(by_requirement, shares, current):
                if not any(rooms):
                    break
                yield pending
                if not self._is_waiting(pending):
                    name = trainers[pending.job_id].name
                    shares.charge(name, pending.remaining_tokens)
                    self._metrics.record_sample_start(name, pending.remaining_tokens)
        self._end_pass(by_upstream, current)

    def _trainer_of(self, run: JobRun) -> Trainer:
        """Return the trainer whose share a run's samples use."""
        configuration = self._view.configuration
        accounts = configuration.accounts if configuration else None
        account = accounts.named(run.state.account) if accounts else None
        if account is None or account.priority is None:
            return Trainer(run.route.name, run.route.priority)
        return Trainer(f"{run.route.name}/{account.name}", account.priority)

    def _by_upstream(
        self, waiting: Iterable[PendingSample]
    ) -> dict[str, dict[Requirement, list[PendingSample]]]:
        """Return the samples by upstream and by what they require of an engine."""
        found: dict[str, dict[Requirement, list[PendingSample]]] = {}
        # Samples of a route with one upstream have the same requirement.
        lists_by_job: dict[str, list[PendingSample]] = {}
        for pending in waiting:
            same = lists_by_job.get(pending.job_id)
            if same is None:
                run = self._runs[pending.job_id]
                requirement = requirement_of(run, pending.item_id)
                by_requirement = found.setdefault(requirement.upstream, {})
                same = by_requirement.setdefault(requirement, [])
                if len(run.route.shares) == 1:
                    lists_by_job[pending.job_id] = same
            same.append(pending)
        return found

    def _is_waiting(self, pending: PendingSample) -> bool:
        sample = self._runs[pending.job_id].samples.get(pending.item_id)
        return sample is not None and sample.is_waiting

    def _begin_pass(self, trainers: Mapping[str, Trainer], now_s: float) -> float:
        """Count the tokens of all runs; return the time since the last count."""
        generated: defaultdict[tuple[str, Trainer], float] = defaultdict(float)
        ahead: defaultdict[tuple[str, Trainer], float] = defaultdict(float)
        counted, self._counted_events = self._counted_events, {}
        for job_id, run in self._runs.items():
            events = self._counted_events[job_id] = run.generated_events
            total_weight = sum(share.weight for share in run.route.shares)
            for share in run.route.shares:
                part = share.weight / total_weight if total_weight > 0.0 else 1.0
                event_tokens = self._event_tokens(share.upstream)
                key = share.upstream, trainers[job_id]
                new_events = max(0, events - counted.get(job_id, 0))
                generated[key] += new_events * event_tokens * part
                ahead[key] += run.tokens_ahead(event_tokens) * part
        ages_s = [
            self._shares[upstream].begin_pass(
                [
                    TrainerUse(key[1].name, key[1].priority, tokens, ahead[key])
                    for key, tokens in generated.items()
                    if key[0] == upstream
                ],
                now_s,
            )
            for upstream in {*(key[0] for key in generated), *self._shares}
        ]
        return max(ages_s, default=0.0)

    def _event_tokens(self, upstream: str) -> int:
        configuration = self._view.configuration
        found = configuration and configuration.upstreams.get(upstream)
        return found.event_tokens if found else 1

    def _in_order(
        self,
        by_requirement: Mapping[Requirement, Sequence[PendingSample]],
        shares: SampleShares,
        current: _Pass,
    ) -> Iterable[PendingSample]:
        """Return the samples of one upstream in the order of their start."""
        samples = list(chain.from_iterable(by_requirement.values()))
        if not _is_short(by_requirement, current):
            return start_order(samples, self._by_length)
        names = {job_id: item.name for job_id, item in current.trainers.items()}
        return order_by_shares(
            samples,
            names,
            shares if self._by_shares else None,
            self._by_length,
            self._by_target,
        )

    def _end_pass(
        self,
        by_upstream: Mapping[str, Mapping[Requirement, Sequence[PendingSample]]],
        current: _Pass,
    ) -> None:
        """Record which trainers are held back, and log when that changes."""
        waiting: Counter[str] = Counter()
        for job_id, run in self._runs.items():
            waiting[current.trainers[job_id].name] += run.waiting_count
        self._metrics.record_samples_waiting(waiting)
        held_back: set[tuple[str, str]] = set()
        without_room = self._without_room(by_upstream, current)
        for upstream, shares in self._shares.items():
            left = [
                pending
                for pending in chain.from_iterable(
                    by_upstream.get(upstream, {}).values()
                )
                if self._is_waiting(pending)
            ]
            # Trainers compete with the best of their samples that could not start.
            best = [pending for pending in left if pending.counts_for_target] or left
            names = {current.trainers[pending.job_id].name for pending in best}
            # A pass without any free slot tells nothing new about a trainer.
            names |= shares.held_back & without_room
            shares.end_pass(names)
            held_back |= {(upstream, name) for name in names}
        self._log_change(frozenset(held_back), waiting, current)

    def _without_room(
        self,
        by_upstream: Mapping[str, Mapping[Requirement, Sequence[PendingSample]]],
        current: _Pass,
    ) -> set[str]:
        """Return trainers whose samples wait while all engines for them were full."""
        had_room = {
            pending.job_id
            for by_requirement in by_upstream.values()
            for samples in by_requirement.values()
            for pending in samples
        }
        return {
            current.trainers[job_id].name
            for job_id, run in self._runs.items()
            if run.is_routed and run.waiting_count and job_id not in had_room
            if any(
                current.table.of(
                    Requirement(share.upstream, run.job.model, run.job.min_version)
                ).instances
                for share in run.route.shares
            )
        }

    def _log_change(
        self,
        held_back: frozenset[tuple[str, str]],
        waiting: Mapping[str, int],
        current: _Pass,
    ) -> None:
        is_early = current.now_s - self._logged_s < _LOG_INTERVAL_S
        if held_back == self._logged or is_early:
            return
        self._logged, self._logged_s = held_back, current.now_s
        self._log.info(
            "samples-held-back",
            trainers=[
                {
                    "upstream": upstream,
                    "trainer": name,
                    "waiting": waiting[name],
                    "share": round(self._shares[upstream].share_of(name), 3),
                    "level_tokens": round(self._shares[upstream].level(name)),
                }
                for upstream, name in sorted(held_back)
            ],
            waiting=sum(waiting.values()),
            counted_before_s=round(current.age_s, 3),
        )


def _is_short(
    by_requirement: Mapping[Requirement, Sequence[PendingSample]], current: _Pass
) -> bool:
    """Return whether more samples of an upstream wait than there are free slots."""
    rooms = {
        requirement: {
            instance_id: handle.record.sample_capacity(current.now_s)
            for instance_id, handle in current.table.of(requirement).with_room.items()
        }
        for requirement in by_requirement
    }
    union = {name: size for room in rooms.values() for name, size in room.items()}
    return sum(map(len, by_requirement.values())) > sum(union.values()) or any(
        len(by_requirement[requirement]) > sum(room.values())
        for requirement, room in rooms.items()
    )
