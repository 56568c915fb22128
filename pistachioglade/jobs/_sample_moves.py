"""Moves running samples to better engines."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import attrs

from ..decisions import (
    Mechanism,
    Move,
    MovePlan,
    Policy,
    SampleNeeds,
    is_slow,
    should_move,
)
from ..forwarding import FleetView, InstanceHandle
from ..logs import logger
from ..metrics import Metrics
from ._eligible_instances import EligibilityTable, EligibleInstances, requirement_of
from ._job_run import JobRun
from ._sample import Sample
from ._sample_placer import (
    PlacementPass,
    SampleEstimates,
    hinted_remaining_events,
    left_engines,
)
from ._sample_try import SampleTry


@attrs.frozen
class _Running:
    """A running sample that may move."""

    # Job of the sample.
    run: JobRun
    # The sample.
    sample: Sample
    # The try in progress.
    current: SampleTry
    # Engine of the try.
    here: InstanceHandle
    # Engines that may run the sample.
    eligible: EligibleInstances
    # What the sample needs until its end.
    needs: SampleNeeds

    def latest_stop_s(self, now_s: float) -> float:
        """Return the monotonic time up to which a pause does not make it late."""
        gap_s = self.here.record.expected_gap_s(now_s) or 0.0
        return self.needs.due_s - self.needs.expected_events * gap_s


class SampleMover:
    """Interrupts running samples that are expected to end sooner elsewhere."""

    def __init__(
        self,
        view: FleetView,
        policy: Policy,
        metrics: Metrics,
        estimates: SampleEstimates,
    ) -> None:
        self._view = view
        self._policy = policy
        self._metrics = metrics
        self._estimates = estimates
        self._log = logger(__name__)

    def move(self, runs: Mapping[str, JobRun], now_s: float) -> None:
        """Interrupt the samples that should move."""
        if not self._policy.uses(Mechanism.MOVING):
            return
        table = EligibilityTable(self._view, now_s)
        running = list(self._running(runs, table))
        if not self._policy.uses(Mechanism.MOVE_BY_GAIN):
            for item in running:
                if self._is_beside_faster(item, now_s):
                    item.current.interrupt()
            return
        placement = PlacementPass(self._view, runs, self._estimates, now_s)
        plan = MovePlan(now_s)
        # The samples with the least time to spare get the free slots first.
        running.sort(key=lambda item: item.latest_stop_s(now_s))
        for item in running:
            others = [
                placement.option(handle)
                for handle in item.eligible.with_room.values()
                if handle.id != item.here.id
            ]
            avoided = left_engines(item.sample, item.eligible.instances)
            move = plan.consider(
                item.needs,
                placement.option(item.here),
                others,
                avoided,
                item.eligible.unknown_gap_s,
            )
            if move is not None:
                self._interrupt(item, move, now_s)

    def _running(
        self, runs: Mapping[str, JobRun], table: EligibilityTable
    ) -> Iterator[_Running]:
        for run in runs.values():
            for sample in run.samples.values() if run.is_routed else ():
                current = sample.running
                here = self._view.handle_of(sample.running_at or "")
                if (
                    current is None
                    or here is None
                    or not self._view.accepts_requests(here.id)
                ):
                    continue
                if current.is_interrupted:
                    # The try had no connection yet when it was interrupted.
                    current.interrupt()
                    continue
                eligible = table.of(requirement_of(run, sample.item.id))
                needs = self._estimates.needs_of(run, sample)
                yield _Running(run, sample, current, here, eligible, needs)

    def _interrupt(self, item: _Running, move: Move, now_s: float) -> None:
        item.sample.left_runs[item.here.id] = item.here.instance.born_ms
        self._metrics.record_move(move.reason.value)
        self._log.info(
            "item-moved",
            job=item.run.job.id,
            item=item.sample.item.id,
            reason=move.reason.value,
            instance=item.here.id,
            target=move.target,
            end_here_s=round(move.end_here_s - now_s, 3),
            end_there_s=round(move.end_there_s - now_s, 3),
            gain_s=round(move.gain_s, 3),
            until_due_s=round(item.run.due_s - now_s, 3),
        )
        item.current.interrupt()

    def _is_beside_faster(self, item: _Running, now_s: float) -> bool:
        """Whether the engine is slow beside others, whatever is gained."""
        record, eligible = item.here.record, item.eligible
        if item.here.id in eligible.instances and not is_slow(
            record, eligible.usual_event_gap_s, now_s
        ):
            return False
        peers = [
            handle.record
            for handle in eligible.instances.values()
            if handle.id != item.here.id
        ]
        remaining = hinted_remaining_events(self._view, item.run, item.sample)
        return should_move(record, peers, remaining, now_s)
