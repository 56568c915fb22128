"""Starts, hands over and ends the runs of the jobs that this node owns."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Final

from ..decisions import FULL_POLICY, Mechanism, Policy
from ..errors import Refusal
from ..fleet import Job, Route, RouteKind, find_route
from ..forwarding import FleetView, Forwarder
from ..logs import logger
from ..messages import SampleTexts
from ..metrics import Metrics
from ..store import StoreClient
from ._carried_texts import CarriedTexts
from ._catch_up import JobCatchUp
from ._job_run import JobRun
from ._ledger import JobLedger, JobState
from ._reader import JobReader, node_of
from ._sample_scheduler import SampleScheduler
from ._text_saver import TextSaver

#: Longest time for which samples of a handed-over job keep running here: by then the
#: next owner has asked for their texts or has started them elsewhere.
_RUN_AFTER_HANDOVER_S: Final = 0.4
#: Longest time for which new samples wait while jobs are being taken over: samples of
#: those jobs that were running elsewhere determine when a step ends, so they go first.
_CATCH_UP_PRIORITY_S: Final = 0.4
#: Time from submission until results are due if the route sets none.
_DEFAULT_DUE_AFTER_S: Final = 60.0
#: Time after which unfinished items are given up if the route sets none.
_DEFAULT_RETENTION_S: Final = 600.0
#: Pause before another attempt to start a job whose start failed with an error.
_START_RETRY_PAUSE_S: Final = 0.5


class JobOwner:
    """Keeps one run for each open job that this node owns."""

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
        policy: Policy = FULL_POLICY,
        engines_preferred_by_others: Callable[
            [str], frozenset[str]
        ] = lambda _upstream: frozenset(),
    ) -> None:
        self._metrics = metrics
        self._policy = policy
        # Name of this node as an owner: node name, at sign, address.
        self.name = name
        # Nonce of this process.
        self.boot = boot
        # Texts of unfinished samples of ended jobs, whose groups may be resubmitted.
        self._carried_texts = CarriedTexts()
        # Runs of jobs that have passed to another owner, which may still ask for their
        # texts; by job id.
        self._handed_over: dict[str, JobRun] = {}
        # Tasks that start runs, or read the owners of jobs whose runs were superseded,
        # by job id.
        self._starting: dict[str, asyncio.Task[None]] = {}
        self._view = view
        self._ledger = ledger
        self._store = store
        self._log = logger(__name__)
        self._catch_up = JobCatchUp(ledger, store, reader)
        # Runs of the jobs that this node owns, by job id.
        self.runs: dict[str, JobRun] = {}
        # Monotonic time until which new samples wait for jobs that are being taken
        # over, in seconds.
        self._catch_up_until_s = 0.0
        self._scheduler = SampleScheduler(
            view,
            forwarder,
            metrics,
            self.runs,
            self._is_catching_up,
            policy,
            engines_preferred_by_others,
        )
        # Called when a run has started.
        self.on_run_started: list[Callable[[], None]] = []
        # Monotonic time at which this owner was enabled, in seconds; jobs that are
        # first seen later are new.
        self.enabled_s = float("inf")
        ledger.on_change.append(self.reconcile)
        ledger.is_needed = lambda state: state.owner == name

    def reconcile(self, state: JobState) -> None:
        """Start or stop a job's run according to the ledger."""
        run = self.runs.get(state.id)
        # A change of owner may be announced before the watch shows the submission.
        is_unread = state.submission is None and not state.is_ended
        should_run = (state.is_open or is_unread) and state.owner == self.name
        handed_over = None if state.is_open else self._handed_over.pop(state.id, None)
        if handed_over is not None:
            handed_over.stop()
        if run is not None and not should_run:
            del self.runs[state.id]
            if state.is_open:
                self._hand_over(run)
            else:
                run.stop()
                if self._policy.uses(Mechanism.CARRIED_TEXTS):
                    self._carried_texts.add_texts(run.texts())
            self._log.info(
                "job-run-ended",
                job=state.id,
                is_ended=state.is_ended,
                end_source=_end_source_name(state),
                owner=state.owner,
                results=len(state.results),
                total=state.total,
            )
        elif run is not None:
            run.drop_stored()
        elif (
            should_run and self._scheduler.is_enabled and state.id not in self._starting
        ):
            if not self._starting:
                now_s = asyncio.get_running_loop().time()
                self._catch_up_until_s = now_s + _CATCH_UP_PRIORITY_S
            work = self._catch_up_and_start(state)
            task = asyncio.get_running_loop().create_task(work)
            task.add_done_callback(partial(self._retry_start, state))
            self._starting[state.id] = task

    def _retry_start(self, state: JobState, task: asyncio.Task[None]) -> None:
        """Schedule another start of a job whose start failed with an error."""
        if task.cancelled() or task.exception() is None:
            return
        self._log.error("job-start-failed", job=state.id, exc_info=task.exception())
        loop = asyncio.get_running_loop()
        loop.call_later(_START_RETRY_PAUSE_S, self.reconcile, state)

    def _hand_over(self, run: JobRun) -> None:
        """Stop writing results of a job that has another owner now.

        Its samples keep running for a while, until the next owner has read the job and
        asks for their texts.
        """
        self._handed_over[run.state.id] = run
        if not self._policy.uses(Mechanism.RUNNING_ON):
            run.stop()
            return
        run.stop_writing()
        asyncio.get_running_loop().call_later(_RUN_AFTER_HANDOVER_S, run.stop)

    def _is_catching_up(self) -> bool:
        """Return whether new samples wait for jobs that are being taken over."""
        is_before_limit = asyncio.get_running_loop().time() < self._catch_up_until_s
        return bool(self._starting) and is_before_limit

    async def _catch_up_and_start(self, state: JobState) -> None:
        """Start a job's run once all of its stored results are known here."""
        try:
            if not await self._catch_up.read_submission(state):
                return
            run = self._create_run(state)
            if run is None:
                return
            may_lack_results = self._may_have_unread_results(state)
            texts = await self._catch_up.read(state, run, may_lack_results)
        finally:
            del self._starting[state.id]
        if state.is_open and state.owner == self.name and self._scheduler.is_enabled:
            run.drop_stored()
            run.adopt_texts(texts)
            run.adopt_carried_texts(self._carried_texts)
            self._start_run(run)
        elif state.is_ended:
            self._log.info(
                "job-ended-before-run", job=state.id, end_source=_end_source_name(state)
            )

    def _all_texts(self) -> dict[str, SampleTexts] | None:
        """Return the texts of all runs; None while a start may read saved ones."""
        if self._starting or not self._scheduler.is_enabled:
            return None
        return {job_id: run.texts() for job_id, run in self.runs.items()}

    async def save_texts(self) -> None:
        """Save the texts of all runs periodically, until cancelled."""
        if not self._policy.uses(Mechanism.SAVED_TEXTS):
            return
        await TextSaver(self._store, node_of(self.name), self._all_texts).run()

    def _may_have_unread_results(self, state: JobState) -> bool:
        """Return whether the store may hold results of a job that aren't known here."""
        assert state.submission is not None
        is_first_owner = not state.owner_revision
        is_new = state.first_seen_s > self.enabled_s
        return state.may_lack_results or not (is_first_owner and is_new)

    def find_run(self, job_id: str) -> JobRun | None:
        """Return the run of a job that is run here or was handed over."""
        return self.runs.get(job_id) or self._handed_over.get(job_id)

    def disable(self) -> None:
        """Start no more samples and runs, as at a planned stop."""
        self._scheduler.is_enabled = False

    def resume(self) -> None:
        """Start samples again after a planned stop found no other owner for a job."""
        self._scheduler.is_enabled = True
        self._scheduler.start_waiting_samples()

    async def run_scheduler(self) -> None:
        """Start, move and give up samples periodically, until cancelled."""
        await self._scheduler.run()

    def hand_over_texts(self, job_id: str) -> SampleTexts:
        """Return the texts of a job's samples for its next owner.

        Samples of a handed-over job stop here, since the next owner continues them.
        """
        handed_over = self._handed_over.get(job_id)
        run = self.runs.get(job_id) or handed_over
        texts = SampleTexts(()) if run is None else run.texts()
        if handed_over is not None and run is handed_over:
            run.stop()
        return texts

    def enable(self) -> None:
        """Start to run jobs, once all jobs of the store are known."""
        self._scheduler.is_enabled = True
        self.enabled_s = asyncio.get_running_loop().time()
        self.reconcile_all()

    def reconcile_all(self) -> None:
        """Update the routes of all runs and reconcile every job."""
        for run in self.runs.values():
            run.update_route(self._route_of(run.job))
        for state in tuple(self._ledger.jobs.values()):
            self.reconcile(state)

    def _route_of(self, job: Job) -> Route | None:
        """Return the route of a job; None if the configuration has none."""
        return self._route_at(job.host, job.path)

    def _route_at(self, host: str, path: str) -> Route | None:
        configuration = self._view.configuration
        if configuration is None:
            return None
        route = find_route(configuration, host, path)
        is_for_jobs = route is not None and route.kind is RouteKind.ROLLOUT
        return route if is_for_jobs else None

    def upstream_of(self, state: JobState) -> str | None:
        """Return the upstream of a job; None while its route isn't known."""
        submission = state.submission
        route = (
            None
            if submission is None
            else self._route_at(submission.host, submission.path)
        )
        return None if route is None else route.shares[0].upstream

    def _create_run(self, state: JobState) -> JobRun | None:
        """Return a run of a job, not started; None while its route isn't known."""
        if state.content is None:
            # The job has ended meanwhile.
            return None
        job = state.job
        route = None if isinstance(job, Refusal) else self._route_of(job)
        if isinstance(job, Refusal) or route is None:
            return None
        assert state.submission is not None
        due_after_s = route.run_aim_s or _DEFAULT_DUE_AFTER_S
        # The wall clock only sets the due time, which orders steps. Retention counts
        # from when this process first saw the job: a stepped wall clock must not cause
        # an item to be given up.
        reported_age_s = time.time() - state.submission.accepted_s
        age_s = min(max(0.0, reported_age_s), due_after_s)
        accepted_s = asyncio.get_running_loop().time() - age_s
        return JobRun(
            state,
            job,
            route,
            self._ledger,
            self._store,
            f"{self.name}:{self.boot}",
            accepted_s + due_after_s,
            state.first_seen_s + (route.retention_s or _DEFAULT_RETENTION_S),
            self._stop_superseded_run,
            self._metrics,
            self._policy,
        )

    def _start_run(self, run: JobRun) -> None:
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
        self._scheduler.start_waiting_samples()
        for callback in self.on_run_started:
            callback()

    def samples_by_engine(self) -> dict[str, int]:
        """Return how many samples of this node's jobs run at each engine."""
        return dict(
            Counter(
                sample.running_at
                for run in self.runs.values()
                for sample in run.samples.values()
                if sample.running_at is not None
            )
        )

    def other_owners(self) -> set[str]:
        """Return the other owners of open jobs; their samples use the same engines."""
        return {
            state.owner
            for state in self._ledger.jobs.values()
            if state.is_open and state.owner not in ("", self.name)
        }

    def models(self) -> set[str]:
        """Return the models of the jobs that this node runs."""
        return {run.job.model for run in self.runs.values()}

    def _stop_superseded_run(self, run: JobRun) -> None:
        """Stop a run whose results another node writes, and read the job's owner."""
        state = run.state
        self._log.warning("job-run-superseded", job=state.id, owner=state.owner)
        self.runs.pop(state.id, None)
        state.may_lack_results = True
        task = asyncio.get_running_loop().create_task(self._read_owner(state))
        task.add_done_callback(partial(self._retry_start, state))
        self._starting[state.id] = task
        run.stop()

    async def _read_owner(self, state: JobState) -> None:
        try:
            await self._catch_up.read_owner(state)
        finally:
            del self._starting[state.id]
        self.reconcile(state)


def _end_source_name(state: JobState) -> str | None:
    """Return how this node learnt of a job's end, for logs; None while it is open."""
    return None if state.end_source is None else state.end_source.value
