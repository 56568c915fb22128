"""Which sample of this node's jobs starts where, and what becomes of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from ..decisions import (
    FULL_POLICY,
    Mechanism,
    Policy,
    choose_for_sample,
    is_slow,
    should_move,
    start_order,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import RewardCall, choose_upstream, find_route
from ..forwarding import FleetView, ForwardedAnswer, Forwarder, InstanceHandle
from ..http1 import Request, Response
from ..logs import logger
from ..metrics import Metrics
from ..platform import signature
from ._job_run import JobRun, Sample
from ._places import Need, Places, PlaceTable
from ._sample_try import SampleTry, TryEnd, TryResult

#: Time between two looks at samples that wait or should move: two events.
_LOOK_S: Final = 0.08
#: Pause before a reward call is made again: the plain services' mean work.
_REWARD_PAUSE_S: Final = 0.05
#: Longest such pause: a plain service that refuses has turned over by then.
_LONGEST_REWARD_PAUSE_S: Final = 0.4


def _need(run: JobRun, sample: Sample) -> Need:
    upstream = choose_upstream(run.route, sample.item.id)
    return Need(upstream, run.job.model, run.job.min_version)


def _has_place(run: JobRun, table: PlaceTable) -> bool:
    """Whether any sample of a run may start now."""
    needs = (
        Need(share.upstream, run.job.model, run.job.min_version)
        for share in run.route.shares
    )
    return run.is_routed and any(table.of(need).with_room for need in needs)


def _quarantine_wait_s(answer: Response | Refusal) -> float:
    """Return how long a quarantined reward call has to wait; 0 for any other."""
    if isinstance(answer, Refusal) and answer.kind is ErrorKind.QUARANTINED:
        return answer.retry_after_s or 0.0
    return 0.0


class SampleScheduler:
    """Places, moves and finishes the samples of all runs."""

    def __init__(
        self,
        view: FleetView,
        forwarder: Forwarder,
        metrics: Metrics,
        runs: Mapping[str, JobRun],
        is_catching_up: Callable[[], bool] = bool,
        policy: Policy = FULL_POLICY,
        engines_of_others: Callable[[str], frozenset[str]] = lambda _upstream: (
            frozenset()
        ),
    ) -> None:
        self._policy = policy
        # Returns the engines of an upstream that other homes prefer.
        self._engines_of_others = engines_of_others
        # The same by upstream, as of the last look for places.
        self._others: dict[str, frozenset[str]] = {}
        self._view = view
        self._forwarder = forwarder
        self._metrics = metrics
        self._runs = runs
        # Whether samples that have begun elsewhere are about to come, and go first.
        self._is_catching_up = is_catching_up
        self._log = logger(__name__)
        # Nothing starts before the jobs are known, nor once the process leaves.
        self.is_enabled = False
        self._is_pump_due = False
        view.on_change.append(self.pump_soon)

    async def look_around(self) -> None:
        """Start, move and give up samples, for good."""
        while True:
            await asyncio.sleep(_LOOK_S)
            self._others = {
                name: self._engines_of_others(name)
                for name in {run.upstream for run in self._runs.values()}
            }
            self.pump()
            self._move_slow()
            self._give_up_old()

    def pump_soon(self) -> None:
        """Look for places once all that has just happened is known."""
        if not self._is_pump_due:
            self._is_pump_due = True
            asyncio.get_running_loop().call_soon(self.pump)

    def pump(self) -> None:
        """Start every sample that finds an engine."""
        self._is_pump_due = False
        if not self.is_enabled:
            return
        table = PlaceTable(self._view, asyncio.get_running_loop().time())
        only_begun = self._is_catching_up()
        waiting = [
            sample
            for run in self._runs.values()
            if _has_place(run, table)
            for sample in run.pending()
            if sample.is_begun or not only_begun
        ]
        by_length = self._policy.uses(Mechanism.LONGEST_FIRST)
        for pending in start_order(waiting, by_length):
            run = self._runs[pending.job_id]
            sample = run.samples[pending.item_id]
            handle = self._place(run, sample, table.of(_need(run, sample)))
            if handle is not None:
                self._start(run, sample, handle)
                table.placed(handle)

    def _start(self, run: JobRun, sample: Sample, handle: InstanceHandle) -> None:
        """Start a sample; it counts at its engine before its task has run."""
        record = handle.record
        sample.is_waiting = False
        sample.running_at = handle.id
        record.outstanding += 1
        record.sent(run.job.model, asyncio.get_running_loop().time())
        task = run.spawn(self._run_sample(run, sample, handle))

        def ended(task: asyncio.Task[None]) -> None:
            record.outstanding -= 1
            if not task.cancelled() and task.exception() is not None:
                # The run has logged the fault; the sample starts elsewhere.
                sample.running, sample.running_at = None, None
                sample.is_waiting = True

        task.add_done_callback(ended)

    def _place(
        self, run: JobRun, sample: Sample, places: Places
    ) -> InstanceHandle | None:
        if not places.with_room:
            return None
        has_homes = self._policy.uses(Mechanism.GROUP_HOMES)
        by_pace = self._policy.uses(Mechanism.FAST_FOR_LONG)
        chosen = choose_for_sample(
            places.records(),
            run.homes(sample.item.group) if has_homes else (),
            sample.last_instance if len(places.fitting) > 1 else None,
            asyncio.get_running_loop().time(),
            (self._remaining(run, sample) or 0) if by_pace else 0,
            self._others.get(run.upstream, frozenset()),
        )
        return None if chosen is None else places.with_room[chosen]

    def _move_slow(self) -> None:
        if not self._policy.uses(Mechanism.MOVING):
            return
        now_s = asyncio.get_running_loop().time()
        table = PlaceTable(self._view, now_s)
        for run in self._runs.values():
            running = (item for item in run.samples.values() if item.running_at)
            for sample in running if run.is_routed else ():
                if self._should_move(run, sample, table, now_s) and sample.running:
                    sample.running.move()

    def _should_move(
        self, run: JobRun, sample: Sample, table: PlaceTable, now_s: float
    ) -> bool:
        at = sample.running_at
        record = self._view.records.get(at or "")
        if at is None or record is None or not self._view.may_send_to(at):
            return False
        places = table.of(_need(run, sample))
        if at in places.fitting and not is_slow(record, places.usual_s, now_s):
            return False
        peers = [item.record for item in places.fitting.values() if item.id != at]
        return should_move(record, peers, self._remaining(run, sample), now_s)

    def _remaining(self, run: JobRun, sample: Sample) -> int | None:
        expected = sample.item.expected_tokens
        if expected is None:
            return None
        # The estimate is right at the median only: what is past it may go on.
        left = expected // self._event_tokens(run) - len(sample.text.parts)
        return left if left > 0 else None

    def _most_events(self, run: JobRun, sample: Sample) -> int | None:
        most_tokens = sample.item.most_tokens
        return None if most_tokens is None else most_tokens // self._event_tokens(run)

    def _event_tokens(self, run: JobRun) -> int:
        """Return the tokens in one event of a job's upstream."""
        configuration = self._view.configuration
        upstream = configuration and configuration.upstreams.get(run.upstream)
        return upstream.event_tokens if upstream else 1

    def _give_up_old(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for run in self._runs.values():
            reason = "retention is over" if now_s > run.give_up_s else ""
            reason = reason if run.is_routed else "its route was removed"
            waiting = [item for item in run.samples.values() if item.is_waiting]
            for sample in waiting if reason else ():
                sample.is_waiting = False
                run.give_up(sample, reason)

    # What becomes of a sample.

    async def _run_sample(
        self, run: JobRun, sample: Sample, handle: InstanceHandle
    ) -> None:
        text = sample.text
        if any(version < run.job.min_version for version in text.versions):
            text.clear()
        one_try = SampleTry(
            self._view,
            handle,
            sample.item,
            text,
            run.job.min_version,
            run.job.model,
            run.route.is_single_version,
            self._most_events(run, sample),
            self.pump_soon,
        )
        sample.running = one_try
        begun_s = asyncio.get_running_loop().time()
        resumed_after = text.last_event
        result = await one_try.run(run.job.host, run.give_up_s - begun_s)
        sample.last_instance = handle.id if result.end is not TryEnd.COMPLETE else None
        self._log_try(run, sample, handle.id, result, resumed_after, begun_s)
        if run.took_try(sample, result):
            run.spawn(self._finish(run, sample))
        self.pump_soon()

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
        self._metrics.item_tried(result.end.value, now_s - begun_s)
        self._log.info(
            "item-tried",
            job=run.job.id,
            item=sample.item.id,
            instance=instance_id,
            outcome=result.end.value,
            reason=result.reason,
            resumed_after=resumed_after,
            events=len(sample.text.parts),
            tokens=len(sample.text.parts) * self._event_tokens(run),
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
        """Return the score; None if the item was given up."""
        reward = sample.item.reward
        assert reward is not None
        loop = asyncio.get_running_loop()
        failures = 0
        pause_s = _REWARD_PAUSE_S
        while True:
            scored, most_failures = await self._ask_for_score(reward, failures)
            if isinstance(scored.answer, Response) and scored.answer.status < 300:
                return signature(scored.answer)
            failures += scored.failures
            if failures >= most_failures:
                run.give_up(sample, f"its reward call failed {failures} times")
                return None
            if loop.time() > run.give_up_s:
                run.give_up(sample, "retention is over, its reward call unanswered")
                return None
            wait_s = max(pause_s, _quarantine_wait_s(scored.answer))
            await asyncio.sleep(min(wait_s, max(pause_s, run.give_up_s - loop.time())))
            pause_s = min(2.0 * pause_s, _LONGEST_REWARD_PAUSE_S)

    async def _ask_for_score(
        self, reward: RewardCall, failures: int
    ) -> tuple[ForwardedAnswer, int]:
        """Make a reward call; return what came of it and how many failures end it.

        Each 500 counts, also of tries within one call: one of a hundred calls fails
        always, and its group is whole with its end.
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
        call = self._forwarder.call_for(request, reward.id, route)
        left = attrs.evolve(call, most_failures=route.max_attempts - failures)
        return await self._forwarder.forward_counted(left), route.max_attempts
