"""Collects what the choice of an engine needs to know of a sample and the engines."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Mapping
from functools import cached_property
from typing import Final

import attrs

from ..decisions import (
    MAX_SLOT_WAIT_S,
    EngineOption,
    ExpectedEnd,
    LengthEstimates,
    Mechanism,
    Policy,
    SampleNeeds,
    SlotForecast,
    choose_engine,
    choose_for_sample,
    fastest_engines,
    may_end_late,
    median_expected_gap_s,
)
from ..forwarding import FleetView, InstanceHandle
from ..logs import logger
from ._eligible_instances import EligibleInstances, Requirement
from ._job_run import JobRun
from ._sample import Sample

#: Most tokens that count of a caller's figure. Larger figures are mistakes, and may be
#: too large for computations with floats.
_MAX_TOKENS: Final = 10**9


def event_tokens(view: FleetView, run: JobRun) -> int:
    """Return the number of tokens in one event of a run's upstream."""
    configuration = view.configuration
    upstream = configuration and configuration.upstreams.get(run.upstream)
    return max(1, upstream.event_tokens) if upstream else 1


def hinted_remaining_events(view: FleetView, run: JobRun, sample: Sample) -> int | None:
    """Return what the caller's estimate leaves; None if it leaves nothing.

    The estimate is a median: a sample that exceeds it has no known remainder.
    """
    expected = sample.item.expected_tokens
    if expected is None:
        return None
    remaining = expected // event_tokens(view, run) - len(sample.text.parts)
    return remaining if remaining > 0 else None


def left_engines(
    sample: Sample, instances: Mapping[str, InstanceHandle]
) -> frozenset[str]:
    """Return the engines that the sample has moved away from in their present runs."""
    return frozenset(
        instance_id
        for instance_id, born_ms in sample.left_runs.items()
        if instance_id in instances
        and instances[instance_id].instance.born_ms <= born_ms
    )


def avoided_engines(sample: Sample, eligible: EligibleInstances) -> frozenset[str]:
    """Return the engines at which a waiting sample does not start.

    These are the engine of its last try and the engines that it has moved away from. If
    no other engine has room, only the engine of the last try is avoided, and a single
    engine never: a sample may not wait beside engines that can run it.
    """
    left = left_engines(sample, eligible.instances)
    last = frozenset(filter(None, (sample.last_instance,)))
    if not eligible.with_room.keys() <= left | last:
        return left | last
    return last if len(eligible.instances) > 1 else frozenset()


def _events(tokens: int | None, tokens_per_event: int) -> float | None:
    """Return a caller's figure in events."""
    return None if tokens is None else min(tokens, _MAX_TOKENS) / tokens_per_event


class SampleEstimates:
    """Estimates the needs of samples from the lengths of those that ended."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._lengths = LengthEstimates()

    def record_end(self, run: JobRun, sample: Sample) -> None:
        """Record the length of a complete text."""
        hint_events = _events(
            sample.item.expected_tokens, event_tokens(self._view, run)
        )
        self._lengths.record(run.job.model, len(sample.text.parts), hint_events)

    def needs_of(self, run: JobRun, sample: Sample) -> SampleNeeds:
        """Return what a sample is expected to need until its end."""
        item = sample.item
        events = len(sample.text.parts)
        tokens = event_tokens(self._view, run)
        remaining = self._lengths.remaining(
            run.job.model,
            events,
            _events(item.expected_tokens, tokens),
            _events(item.most_tokens, tokens),
        )
        # The item's tokens are those of the prompt and the limit of the output.
        prompt_tokens = max(0, item.tokens - (item.most_tokens or item.tokens))
        output_tokens = (events + remaining.expected_events) * tokens
        return SampleNeeds(
            remaining.expected_events,
            remaining.high_events,
            min(prompt_tokens, _MAX_TOKENS) + output_tokens,
            run.due_s,
        )


class PlacementPass:
    """Memory and slots that the samples of this node leave, for one scheduling pass."""

    def __init__(
        self,
        view: FleetView,
        runs: Mapping[str, JobRun],
        estimates: SampleEstimates,
        now_s: float,
    ) -> None:
        self._view = view
        self._runs = runs
        self._estimates = estimates
        self.now_s = now_s
        # Requirements of samples that wait for a faster engine in this pass.
        self.waiting: set[Requirement] = set()
        # Options that are still valid, by instance.
        self._known: dict[str, EngineOption] = {}

    @cached_property
    def _running(self) -> list[tuple[str, SampleNeeds]]:
        """Engine and needs of each running sample of this node."""
        return [
            (sample.running_at, self._estimates.needs_of(run, sample))
            for run in self._runs.values()
            for sample in run.samples.values()
            if sample.running_at is not None
        ]

    @cached_property
    def _tokens(self) -> dict[str, float]:
        """Expected tokens of this node's samples by engine."""
        tokens: dict[str, float] = {}
        for instance_id, needs in self._running:
            tokens[instance_id] = tokens.get(instance_id, 0.0) + needs.tokens
        return tokens

    @property
    def _usual_s(self) -> float | None:
        """Time of an event at an engine of unknown pace, in seconds."""
        records = (
            handle.record
            for handle in map(self._view.handle_of, {name for name, _ in self._running})
            if handle is not None
        )
        return median_expected_gap_s(records, self.now_s)

    @cached_property
    def forecast(self) -> SlotForecast:
        """Slots that become free when this node's samples end."""
        usual_s = self._usual_s
        return SlotForecast(
            (
                ExpectedEnd.of(self.option(handle), needs, usual_s, self.now_s)
                for instance_id, needs in self._running
                if (handle := self._view.handle_of(instance_id)) is not None
            ),
            self.now_s,
        )

    def may_wait(self, sample: Sample) -> bool:
        """Whether a sample waits for a faster engine already and may go on waiting."""
        since_s = sample.waiting_since_s
        return since_s is not None and self.now_s - since_s <= MAX_SLOT_WAIT_S

    def option(self, handle: InstanceHandle) -> EngineOption:
        """Return an engine as an option for a sample."""
        known = self._known.get(handle.id)
        if known is None:
            free_tokens = self._free_tokens(handle)
            known = EngineOption(handle.id, handle.record, free_tokens)
            self._known[handle.id] = known
        return known

    def _free_tokens(self, handle: InstanceHandle) -> float | None:
        configuration = self._view.configuration
        upstream = configuration and configuration.upstreams.get(
            handle.instance.upstream
        )
        if not upstream or upstream.memory_tokens is None:
            return None
        record = handle.record
        others = max(0, record.load(self.now_s) - record.outstanding)
        # Samples of other owners are taken for as long as this node's.
        mean = sum(self._tokens.values()) / len(self._running) if self._running else 0.0
        used = self._tokens.get(handle.id, 0.0) + others * mean
        return upstream.memory_tokens - used

    def record_start(
        self, option: EngineOption, needs: SampleNeeds, usual_s: float | None
    ) -> None:
        """Count a sample that starts at an engine in this pass.

        A forecast that is made later finds the sample running.
        """
        if "forecast" in self.__dict__:
            self.forecast.record_start(needs, option, usual_s)
        if option.free_tokens is not None:
            free_tokens = option.free_tokens - needs.tokens
            self._known[option.id] = attrs.evolve(option, free_tokens=free_tokens)


class SamplePlacer:
    """Chooses the engines of waiting samples."""

    def __init__(
        self,
        view: FleetView,
        policy: Policy,
        estimates: SampleEstimates,
        engines_preferred_elsewhere: Callable[[str], frozenset[str]],
    ) -> None:
        self._view = view
        self._policy = policy
        self._estimates = estimates
        # Returns the engines of an upstream that other job owners prefer.
        self._engines_preferred_elsewhere = engines_preferred_elsewhere
        self._log = logger(__name__)

    def choose(
        self,
        run: JobRun,
        sample: Sample,
        requirement: Requirement,
        eligible: EligibleInstances,
        placement: PlacementPass,
    ) -> InstanceHandle | None:
        """Return the engine for a sample; None while it has to wait.

        Samples with one requirement that wait for a faster engine wait together: once
        one of them is found to wait, the others are not checked again in this pass.
        """
        if not eligible.with_room:
            return None
        keeps_groups_together = self._policy.uses(Mechanism.GROUP_HOMES)
        holders = (
            run.engines_of_group(sample.item.group) if keeps_groups_together else ()
        )
        preferred_by_others = self._engines_preferred_elsewhere(run.upstream)
        if not self._policy.uses(Mechanism.EXPECTED_ENDS):
            chosen = choose_for_sample(
                eligible.records(),
                holders,
                sample.last_instance if len(eligible.instances) > 1 else None,
                placement.now_s,
                self._hinted_events(run, sample),
                preferred_by_others,
            )
            return None if chosen is None else eligible.with_room[chosen]
        if requirement in placement.waiting and placement.may_wait(sample):
            return None
        needs = self._estimates.needs_of(run, sample)
        if not self._policy.uses(Mechanism.FAST_FOR_LONG):
            needs = attrs.evolve(needs, expected_events=0.0, high_events=0.0)
        avoided = avoided_engines(sample, eligible)
        options = [placement.option(handle) for handle in eligible.with_room.values()]
        chosen = choose_engine(
            options,
            needs,
            holders,
            avoided,
            eligible.unknown_gap_s,
            placement.now_s,
            preferred_by_others,
        )
        if chosen is None:
            return None
        usual_s, now_s = eligible.unknown_gap_s, placement.now_s
        if may_end_late(
            needs, placement.option(eligible.with_room[chosen]), usual_s, now_s
        ):
            # The load of an engine, which only spreads samples, counts less than time.
            fastest = fastest_engines(options, needs, avoided, usual_s, now_s)
            holders = (*holders,) if chosen in fastest else ()
            chosen = choose_engine(
                [option for option in options if option.id in fastest],
                needs,
                holders,
                avoided,
                usual_s,
                now_s,
                preferred_by_others,
            )
            assert chosen is not None
        if chosen not in holders:
            unwanted = avoided | preferred_by_others - {chosen}
            chosen = self._prefer_idle_connection(chosen, options, needs, unwanted)
        handle = eligible.with_room[chosen]
        option = placement.option(handle)
        if self._waits(run, sample, needs, option, eligible, avoided, placement):
            placement.waiting.add(requirement)
            return None
        placement.record_start(option, needs, eligible.unknown_gap_s)
        return handle

    def _waits(
        self,
        run: JobRun,
        sample: Sample,
        needs: SampleNeeds,
        option: EngineOption,
        eligible: EligibleInstances,
        avoided: frozenset[str],
        placement: PlacementPass,
    ) -> bool:
        """Whether a sample waits for a faster engine instead of the chosen one."""
        usual_s, now_s = eligible.unknown_gap_s, placement.now_s
        if not may_end_late(needs, option, usual_s, now_s):
            return False
        waits = placement.forecast.should_wait(
            needs,
            option,
            usual_s,
            eligible.instances.keys() - eligible.with_room.keys() - avoided,
            sample.waiting_since_s,
        )
        if waits and sample.waiting_since_s is None:
            sample.waiting_since_s = now_s
            self._log.info(
                "item-waits",
                job=run.job.id,
                item=sample.item.id,
                instance=option.id,
                events=len(sample.text.parts),
                expected_events=round(needs.expected_events, 1),
                high_events=round(needs.high_events, 1),
                until_due_s=round(run.due_s - now_s, 3),
            )
        return waits

    def _prefer_idle_connection(
        self,
        chosen: str,
        choices: Iterable[EngineOption],
        needs: SampleNeeds,
        unwanted: Container[str],
    ) -> str:
        """Return the chosen engine, or one as good that has an idle connection."""
        alike = [
            (item.id, item.record)
            for item in choices
            if item.id == chosen
            or (item.id not in unwanted and not item.missing_tokens(needs))
        ]
        preferred = self._view.connections.prefer_idle(
            chosen, alike, self._view.pools.get, round(needs.expected_events)
        )
        return preferred or chosen

    def _hinted_events(self, run: JobRun, sample: Sample) -> int:
        if not self._policy.uses(Mechanism.FAST_FOR_LONG):
            return 0
        return hinted_remaining_events(self._view, run, sample) or 0
