"""Assigns the samples of this node's jobs to instances and follows their tries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from ..decisions import (
    FULL_POLICY,
    Policy,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import RewardCall, find_route
from ..forwarding import FleetView, ForwardedAnswer, Forwarder, InstanceHandle
from ..http1 import Request, Response
from ..logs import logger
from ..metrics import Metrics
from ..platform import signature_of
from ._eligible_instances import EligibilityTable, Requirement, requirement_of
from ._job_run import JobRun
from ._sample import Sample
from ._sample_moves import SampleMover
from ._sample_placer import (
    PlacementPass,
    SampleEstimates,
    SamplePlacer,
    event_tokens,
)
from ._sample_try import SampleTry, TryEnd, TryResult
from ._start_order import StartOrder

#: Time between two scheduling passes: two events of a text.
_SCHEDULING_INTERVAL_S: Final = 0.08
#: Least time between two passes that the ends of samples request. A burst ends a
#: hundred samples in a second, and a pass over hundreds of waiting ones takes some
#: milliseconds.
_MIN_PASS_INTERVAL_S: Final = 0.02
#: First pause before a reward call is repeated: a plain service's mean time per call.
_MIN_REWARD_PAUSE_S: Final = 0.05
#: Longest pause before a reward call is repeated: a plain service that refused calls
#: has completed its running calls by then.
_MAX_REWARD_PAUSE_S: Final = 0.4


def _has_room(run: JobRun, table: EligibilityTable) -> bool:
    """Return whether an instance has room for a sample of a run."""
    requirements = (
        Requirement(share.upstream, run.job.model, run.job.min_version)
        for share in run.route.shares
    )
    return run.is_routed and any(
        table.of(requirement).with_room for requirement in requirements
    )


def _quarantine_wait_s(answer: Response | Refusal) -> float:
    """Return how long a quarantined reward call has to wait; 0 for other answers."""
    if isinstance(answer, Refusal) and answer.kind is ErrorKind.QUARANTINED:
        return answer.retry_after_s or 0.0
    return 0.0


class SampleScheduler:
    """Starts, moves and finishes the samples of all runs of this node."""

    def __init__(
        self,
        view: FleetView,
        forwarder: Forwarder,
        metrics: Metrics,
        runs: Mapping[str, JobRun],
        is_catching_up: Callable[[], bool] = bool,
        policy: Policy = FULL_POLICY,
        engines_preferred_by_others: Callable[
            [str], frozenset[str]
        ] = lambda _upstream: frozenset(),
    ) -> None:
        self._policy = policy
        # Returns the engines of an upstream that other job owners prefer.
        self._engines_preferred_by_others = engines_preferred_by_others
        # Engines that other job owners prefer, by upstream, as of the last scheduling
        # pass.
        self._engines_preferred_elsewhere: dict[str, frozenset[str]] = {}
        self._estimates = SampleEstimates(view)
        self._placer = SamplePlacer(
            view,
            policy,
            self._estimates,
            lambda name: self._engines_preferred_elsewhere.get(name, frozenset()),
        )
        self._mover = SampleMover(view, policy, metrics, self._estimates)
        self._view = view
        self._forwarder = forwarder
        self._metrics = metrics
        self._runs = runs
        # Returns whether jobs are being taken over, so that new samples wait for
        # samples that already have a text.
        self._is_catching_up = is_catching_up
        self._log = logger(__name__)
        # Whether samples may start: after all jobs are known, until the process stops.
        self.is_enabled = False
        self._is_pass_scheduled = False
        # Monotonic time of the last pass, in seconds.
        self._last_pass_s = float("-inf")
        self._start_order = StartOrder(view, metrics, runs, policy)
        view.on_change.append(self.schedule_pass)

    async def run(self) -> None:
        """Start, move and give up samples periodically, until cancelled."""
        while True:
            await asyncio.sleep(_SCHEDULING_INTERVAL_S)
            self._engines_preferred_elsewhere = {
                name: self._engines_preferred_by_others(name)
                for name in {run.upstream for run in self._runs.values()}
            }
            self.start_waiting_samples()
            if self.is_enabled:
                self._mover.move(self._runs, asyncio.get_running_loop().time())
            self._give_up_expired()

    def schedule_pass(self) -> None:
        """Schedule one pass, however often requested, soon after the last one."""
        if not self._is_pass_scheduled:
            self._is_pass_scheduled = True
            loop = asyncio.get_running_loop()
            earliest_s = self._last_pass_s + _MIN_PASS_INTERVAL_S
            loop.call_at(max(loop.time(), earliest_s), self.start_waiting_samples)

    def start_waiting_samples(self) -> None:
        """Start every waiting sample for which an engine is found."""
        self._is_pass_scheduled = False
        if not self.is_enabled:
            return
        now_s = self._last_pass_s = asyncio.get_running_loop().time()
        table = EligibilityTable(self._view, now_s)
        placement = PlacementPass(self._view, self._runs, self._estimates, now_s)
        excludes_new = self._is_catching_up()
        waiting = [
            sample
            for run in self._runs.values()
            if _has_room(run, table)
            for sample in run.pending(event_tokens(self._view, run))
            if sample.has_partial_text or not excludes_new
        ]
        for pending in self._start_order.order(waiting, table):
            run = self._runs[pending.job_id]
            sample = run.samples[pending.item_id]
            requirement = requirement_of(run, sample.item.id)
            eligible = table.of(requirement)
            handle = self._placer.choose(run, sample, requirement, eligible, placement)
            if handle is not None:
                self._start(run, sample, handle)
                table.record_start(handle)

    def _start(self, run: JobRun, sample: Sample, handle: InstanceHandle) -> None:
        """Start a sample and count it at its engine before its task runs."""
        record = handle.record
        sample.is_waiting = False
        sample.running_at = handle.id
        record.outstanding += 1
        record.record_sent(run.job.model, asyncio.get_running_loop().time())
        task = run.spawn(self._run_sample(run, sample, handle))

        def release_instance(task: asyncio.Task[None]) -> None:
            record.outstanding -= 1
            if not task.cancelled() and task.exception() is not None:
                # The run has logged the error; the sample is started again.
                sample.running, sample.running_at = None, None
                sample.is_waiting = True

        task.add_done_callback(release_instance)

    def _max_events(self, run: JobRun, sample: Sample) -> int | None:
        most_tokens = sample.item.most_tokens
        return (
            None
            if most_tokens is None
            else most_tokens // event_tokens(self._view, run)
        )

    def _give_up_expired(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for run in self._runs.values():
            reason = "retention is over" if now_s > run.give_up_s else ""
            reason = reason if run.is_routed else "its route was removed"
            waiting = [item for item in run.samples.values() if item.is_waiting]
            for sample in waiting if reason else ():
                sample.is_waiting = False
                run.give_up(sample, reason)

    async def _run_sample(
        self, run: JobRun, sample: Sample, handle: InstanceHandle
    ) -> None:
        text = sample.text
        if any(version < run.job.min_version for version in text.versions):
            text.clear()
        sample_try = SampleTry(
            self._view,
            handle,
            sample.item,
            text,
            run.job.min_version,
            run.job.model,
            run.route.is_single_version,
            self._max_events(run, sample),
            self.schedule_pass,
            run.state.account,
        )
        sample.running = sample_try
        begun_s = asyncio.get_running_loop().time()
        resumed_after = text.last_event
        result = await sample_try.run(run.job.host, run.give_up_s - begun_s)
        sample.last_instance = handle.id if result.end is not TryEnd.COMPLETE else None
        self._log_try(run, sample, handle.id, result, resumed_after, begun_s)
        if run.record_try(sample, result):
            self._estimates.record_end(run, sample)
            run.spawn(self._finish(run, sample))
        self.schedule_pass()

    def _log_try(
        self,
        run: JobRun,
        sample: Sample,
        instance_id: str,
        result: TryResult,
        resumed_after: int | None,
        begun_s: float,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self._metrics.record_item_attempt(result.end.value, now_s - begun_s)
        self._log.info(
            "item-tried",
            job=run.job.id,
            item=sample.item.id,
            instance=instance_id,
            outcome=result.end.value,
            reason=result.reason,
            resumed_after=resumed_after,
            events=len(sample.text.parts),
            tokens=len(sample.text.parts) * event_tokens(self._view, run),
            versions=sorted(sample.text.versions),
            took_s=round(now_s - begun_s, 3),
            until_due_s=round(run.due_s - now_s, 3),
        )

    async def _finish(self, run: JobRun, sample: Sample) -> None:
        score = ""
        if sample.item.reward is not None:
            scored = await self._score(run, sample)
            if scored is None:
                return
            score = scored
        run.finish(sample, sample.result(score))

    async def _score(self, run: JobRun, sample: Sample) -> str | None:
        """Return the sample's score; None if the item was given up."""
        reward = sample.item.reward
        assert reward is not None
        loop = asyncio.get_running_loop()
        failures = 0
        pause_s = _MIN_REWARD_PAUSE_S
        while True:
            scored, max_failures = await self._call_reward(reward, failures)
            if isinstance(scored.answer, Response) and scored.answer.status < 300:
                return signature_of(scored.answer)
            failures += scored.failed_answers
            if failures >= max_failures:
                run.give_up(sample, f"its reward call failed {failures} times")
                return None
            if loop.time() > run.give_up_s:
                run.give_up(sample, "retention is over, its reward call unanswered")
                return None
            wait_s = max(pause_s, _quarantine_wait_s(scored.answer))
            await asyncio.sleep(min(wait_s, max(pause_s, run.give_up_s - loop.time())))
            pause_s = min(2.0 * pause_s, _MAX_REWARD_PAUSE_S)

    async def _call_reward(
        self, reward: RewardCall, failures: int
    ) -> tuple[ForwardedAnswer, int]:
        """Make a reward call; return its answer and how many failures end the item.

        Each answer of 500 counts, also those of tries within one call: about one call
        in a hundred always fails, and its group can only be complete once the item
        ends.
        """
        configuration = self._view.configuration
        route = configuration and find_route(configuration, reward.host, reward.path)
        if not route:
            refusal = refuse(ErrorKind.NOT_FOUND, "no route for the reward call")
            return ForwardedAnswer(refusal, 0), failures + 1
        request = Request(
            "POST",
            reward.path,
            (("Host", reward.host),),
            reward.body,
            asyncio.get_running_loop().time(),
        )
        call = self._forwarder.create_call(request, reward.id, route)
        limited_call = attrs.evolve(
            call, max_failures=route.max_attempts - failures, is_owed=True
        )
        return await self._forwarder.forward_counted(limited_call), route.max_attempts
