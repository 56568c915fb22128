"""All jobs that this node runs: which sample starts where, and what becomes of it."""

from __future__ import annotations

import asyncio
import time
from typing import Final

from ..decisions import choose_for_sample, should_move, start_order
from ..errors import ErrorKind, Refusal
from ..fleet import Instance, Result, Route, choose_upstream, find_route
from ..forwarding import FleetView, Forwarder
from ..http1 import Request, Response
from ..logs import logger
from ..messages import SampleTexts
from ..metrics import Metrics
from ..platform import Entry, signature
from ..store import StoreClient
from ._job_run import JobRun, Sample
from ._ledger import JobLedger, JobState
from ._left_over import LeftOverTexts
from ._reader import JobReader
from ._sample_try import SampleTry, TryEnd, TryResult

#: Time between two looks at samples that wait or should move: two events.
_LOOK_S: Final = 0.08
#: Pause before a reward call is made again: the plain services' mean work.
_REWARD_PAUSE_S: Final = 0.05
#: Pause before the results of a job that is taken over are read again.
_CATCH_UP_PAUSE_S: Final = 0.2
#: Time that results are due after submission where the route doesn't say.
_DEFAULT_AIM_S: Final = 60.0
#: Time after which items are given up where the route doesn't say.
_DEFAULT_RETENTION_S: Final = 600.0


class JobOwner:
    """Runs this node's jobs."""

    def __init__(
        self,
        name: str,
        boot: str,
        view: FleetView,
        ledger: JobLedger,
        store: StoreClient,
        forwarder: Forwarder,
        reader: JobReader,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        # Name of this node as an owner, with its address.
        self.name = name
        # Nonce of this process.
        self.boot = boot
        self._reader = reader
        # Texts of ended jobs, whose groups may come again.
        self._left_over = LeftOverTexts()
        # Runs whose texts the next owner may still ask for.
        self._handed_over: dict[str, JobRun] = {}
        self._beginning: dict[str, asyncio.Task[None]] = {}
        self._view = view
        self._ledger = ledger
        self._store = store
        self._forwarder = forwarder
        self._log = logger(__name__)
        # Jobs that run here, by id.
        self.runs: dict[str, JobRun] = {}
        # Nothing starts before the jobs are known, nor once the process leaves.
        self.is_enabled = False
        # When jobs began to run here; what is seen for the first time later is new.
        self.enabled_s = float("inf")
        ledger.on_change.append(self.reconcile)
        view.on_change.append(self.pump)

    # Which jobs run here.

    def reconcile(self, state: JobState) -> None:
        """Start or stop a job's run by what the ledger says."""
        run = self.runs.get(state.id)
        should_run = state.is_open and state.owner == self.name
        if not state.is_open:
            self._handed_over.pop(state.id, None)
        if run is not None and not should_run:
            del self.runs[state.id]
            run.stop()
            if state.is_open:
                self._handed_over[state.id] = run
            else:
                self._left_over.keep(run.texts())
            self._log.info(
                "job-run-ended",
                job=state.id,
                is_ended=state.is_ended,
                owner=state.owner,
                results=len(state.results),
                total=state.total,
            )
        elif run is not None:
            run.drop_listed()
        elif should_run and self.is_enabled and state.id not in self._beginning:
            work = self._catch_up_and_begin(state)
            task = asyncio.get_running_loop().create_task(work)
            self._beginning[state.id] = task

    async def _catch_up_and_begin(self, state: JobState) -> None:
        """Begin a job once all its results that the store has are known."""
        try:
            run = self._run_for(state)
            if run is None:
                return
            made = SampleTexts(())
            if self._may_have_results(state):
                while await self._reader.read_stored(state) is not None:
                    await asyncio.sleep(_CATCH_UP_PAUSE_S)
                made = await self._made_before(state)
                await run.seal()
        finally:
            del self._beginning[state.id]
        if state.is_open and state.owner == self.name and self.is_enabled:
            run.drop_listed()
            run.take_texts(made)
            run.take_left_over(self._left_over)
            self._begin(run)

    async def _made_before(self, state: JobState) -> SampleTexts:
        """Return the texts that an earlier owner, or process, has made."""
        if state.earlier_owner:
            told = await self._reader.texts(state.earlier_owner, state.id)
            if told.texts:
                return told
        return await self._reader.saved_texts(state.id)

    def _may_have_results(self, state: JobState) -> bool:
        """Whether results of a job may stand in the store that aren't known here."""
        assert state.submission is not None
        is_first_owner = not state.owner_revision
        is_new = state.first_seen_s > self.enabled_s
        return not (is_first_owner and is_new)

    def texts(self, job_id: str) -> SampleTexts:
        """Return what has been made of a job's samples here."""
        run = self.runs.get(job_id) or self._handed_over.get(job_id)
        return SampleTexts(()) if run is None else run.texts()

    def enable(self) -> None:
        """Run jobs, now that all that the store has of them is known."""
        self.is_enabled = True
        self.enabled_s = asyncio.get_running_loop().time()
        self.reconcile_all()

    def reconcile_all(self) -> None:
        """Look at every job, as when routes have come to be known."""
        for state in tuple(self._ledger.jobs.values()):
            self.reconcile(state)

    def _run_for(self, state: JobState) -> JobRun | None:
        """Return a run of a job, not begun; None while its route isn't known."""
        configuration = self._view.configuration
        job = state.job
        if configuration is None or isinstance(job, Refusal):
            return None
        route = find_route(configuration, job.host, job.path)
        if route is None:
            return None
        assert state.submission is not None
        age_s = max(0.0, time.time() - state.submission.accepted_s)
        accepted_s = asyncio.get_running_loop().time() - age_s
        return JobRun(
            state,
            job,
            route,
            self._ledger,
            self._store,
            f"{self.name}:{self.boot}",
            accepted_s + (route.run_aim_s or _DEFAULT_AIM_S),
            accepted_s + (route.retention_s or _DEFAULT_RETENTION_S),
            self._superseded,
            self._metrics,
        )

    def _begin(self, run: JobRun) -> None:
        state, job = run.state, run.job
        self.runs[state.id] = run
        run.start()
        now_s = asyncio.get_running_loop().time()
        self._log.info(
            "job-run-begun",
            earlier_owner=state.earlier_owner,
            job=state.id,
            step=job.step,
            model=job.model,
            due_in_s=round(run.due_s - now_s, 3),
            open_items=len(run.samples),
            total=state.total,
        )
        self.pump()

    def _superseded(self, run: JobRun) -> None:
        """Stop a run whose results another node writes, and learn who owns the job."""
        state = run.state
        self._log.warning("job-run-superseded", job=state.id, owner=state.owner)
        self.runs.pop(state.id, None)
        # From here on the store may have results that aren't known here.
        state.first_seen_s = float("-inf")
        task = asyncio.get_running_loop().create_task(self._learn_owner(state))
        self._beginning[state.id] = task
        run.stop()

    async def _learn_owner(self, state: JobState) -> None:
        try:
            while True:
                stored = await self._reader.stored_owner(state.id)
                if isinstance(stored, Entry) or stored.kind is ErrorKind.NOT_FOUND:
                    break
                await asyncio.sleep(_CATCH_UP_PAUSE_S)
        finally:
            del self._beginning[state.id]
        if isinstance(stored, Entry):
            self._ledger.take(stored, False)
        self.reconcile(state)

    # Which sample starts where.

    async def look_around(self) -> None:
        """Start, move and give up samples, for good."""
        while True:
            await asyncio.sleep(_LOOK_S)
            self.pump()
            self._move_slow()
            self._give_up_old()

    def pump(self) -> None:
        """Start every sample that finds an engine."""
        if not self.is_enabled:
            return
        now_s = asyncio.get_running_loop().time()
        if not any(item.free_slots(now_s) > 0 for item in self._view.records.values()):
            return
        waiting = [sample for run in self.runs.values() for sample in run.pending()]
        for pending in start_order(waiting):
            run = self.runs[pending.job_id]
            sample = run.samples[pending.item_id]
            instance = self._place(run, sample)
            if instance is not None:
                self._start(run, sample, instance)

    def _start(self, run: JobRun, sample: Sample, instance: Instance) -> None:
        """Start a sample; it counts at its engine before its task has run."""
        record = self._view.records[instance.id]
        sample.is_waiting = False
        sample.running_at = instance.id
        record.outstanding += 1
        task = run.spawn(self._run_sample(run, sample, instance))

        def ended(_task: asyncio.Task[None]) -> None:
            record.outstanding -= 1

        task.add_done_callback(ended)

    def _candidates(self, run: JobRun, sample: Sample) -> list[Instance]:
        upstream = choose_upstream(run.route, sample.item.id)
        model, least = run.job.model, run.job.min_version
        return [
            item
            for item in self._view.open_instances(upstream)
            if self._view.records[item.id].versions.get(model, least) >= least
        ]

    def _place(self, run: JobRun, sample: Sample) -> Instance | None:
        candidates = self._candidates(run, sample)
        records = [(item.id, self._view.records[item.id]) for item in candidates]
        chosen = choose_for_sample(
            records,
            run.homes(sample.item.group),
            sample.last_instance if len(records) > 1 else None,
            asyncio.get_running_loop().time(),
        )
        return None if chosen is None else self._view.instances[chosen]

    def _move_slow(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for run in self.runs.values():
            for sample in run.samples.values():
                at = sample.running_at
                if sample.running is None or at is None:
                    continue
                record = self._view.records.get(at)
                if record is None or not self._view.may_send_to(at):
                    continue
                peers = [
                    self._view.records[item.id]
                    for item in self._candidates(run, sample)
                    if item.id != at
                ]
                if should_move(record, peers, self._remaining(run, sample), now_s):
                    sample.running.move()

    def _remaining(self, run: JobRun, sample: Sample) -> int | None:
        expected = sample.item.expected_tokens
        if expected is None:
            return None
        upstream = self._view.configuration and self._view.configuration.upstreams.get(
            run.route.shares[0].upstream
        )
        per_event = upstream.event_tokens if upstream else 1
        # The estimate is right at the median only: what is past it may go on.
        left = expected // per_event - len(sample.text.parts)
        return left if left > 0 else None

    def _give_up_old(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for run in self.runs.values():
            if now_s > run.give_up_s:
                for sample in tuple(run.samples.values()):
                    if sample.is_waiting:
                        sample.is_waiting = False
                        run.give_up(sample, "retention is over")

    # What becomes of a sample.

    async def _run_sample(
        self, run: JobRun, sample: Sample, instance: Instance
    ) -> None:
        text = sample.text
        if any(version < run.job.min_version for version in text.versions):
            text.clear()
        one_try = SampleTry(
            self._view,
            instance,
            sample.item,
            text,
            run.job.min_version,
            run.job.model,
            run.route.is_single_version,
        )
        sample.running = one_try
        begun_s = asyncio.get_running_loop().time()
        resumed_after = text.last_event
        result = await one_try.run(run.job.host, run.give_up_s - begun_s)
        sample.last_instance = (
            instance.id if result.end is not TryEnd.COMPLETE else None
        )
        self._log_try(run, sample, instance, result, resumed_after, begun_s)
        if run.took_try(sample, result):
            run.spawn(self._finish(run, sample))
        asyncio.get_running_loop().call_soon(self.pump)

    def _log_try(
        self,
        run: JobRun,
        sample: Sample,
        instance: Instance,
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
            instance=instance.id,
            outcome=result.end.value,
            reason=result.reason,
            resumed_after=resumed_after,
            events=len(sample.text.parts),
            versions=sorted(sample.text.versions),
            took_s=round(now_s - begun_s, 3),
            until_due_s=round(run.due_s - now_s, 3),
        )

    async def _finish(self, run: JobRun, sample: Sample) -> None:
        score = ""
        if sample.item.reward is not None:
            scored = await self._score(run, sample, run.route)
            if scored is None:
                return
            score = scored
        versions = tuple(sorted(sample.text.versions))
        run.finish(
            sample,
            Result(sample.item.id, True, sample.text.whole, versions, score),
        )

    async def _score(self, run: JobRun, sample: Sample, route: Route) -> str | None:
        """Return the score; None if the item was given up."""
        reward = sample.item.reward
        assert reward is not None
        failures = 0
        while True:
            configuration = self._view.configuration
            found = configuration and find_route(
                configuration, reward.host, reward.path
            )
            if not found:
                run.give_up(sample, "no route for its reward call")
                return None
            now_s = asyncio.get_running_loop().time()
            request = Request(
                "POST",
                reward.path,
                (("Host", reward.host),),
                reward.body,
                now_s,
            )
            call = self._forwarder.call_for(request, reward.id, found)
            answer = await self._forwarder.forward(call)
            if isinstance(answer, Response) and answer.status < 300:
                return signature(answer)
            if isinstance(answer, Response) and answer.status == 500:
                failures += 1
                if failures >= found.max_attempts:
                    run.give_up(sample, f"its reward call failed {failures} times")
                    return None
            await asyncio.sleep(_REWARD_PAUSE_S)
