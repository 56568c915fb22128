"""Which jobs this node runs, and how they begin, pass on and end."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Final

from ..decisions import FULL_POLICY, Mechanism, Policy
from ..errors import ErrorKind, Refusal
from ..fleet import Job, Route, RouteKind, find_route
from ..forwarding import FleetView, Forwarder
from ..logs import logger
from ..messages import SampleTexts
from ..metrics import Metrics
from ..platform import Entry
from ..store import StoreClient
from ._job_run import JobRun
from ._ledger import JobLedger, JobState
from ._left_over import LeftOverTexts
from ._reader import JobReader, node_of
from ._sample_scheduler import SampleScheduler
from ._text_saver import TextSaver, longest_texts, saved_texts

#: Pause before the results of a job that is taken over are read again.
_CATCH_UP_PAUSE_S: Final = 0.2
#: Longest time for which samples of a job that has passed on run on here: its next
#: owner asks for their texts by then, or starts them elsewhere.
_RUN_ON_S: Final = 0.4
#: Time for which samples that haven't begun wait for jobs that are being taken over:
#: what of those was running elsewhere ends a step, and goes on first.
_CATCH_UP_FIRST_S: Final = 0.4
#: Time that results are due after submission where the route doesn't say.
_DEFAULT_AIM_S: Final = 60.0
#: Time after which items are given up where the route doesn't say.
_DEFAULT_RETENTION_S: Final = 600.0
#: Pause before a job begins again that an error kept from beginning.
_BEGIN_AGAIN_S: Final = 0.5


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
        policy: Policy = FULL_POLICY,
        engines_of_others: Callable[[str], frozenset[str]] = lambda _upstream: (
            frozenset()
        ),
    ) -> None:
        self._metrics = metrics
        self._policy = policy
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
        self._log = logger(__name__)
        # Jobs that run here, by id.
        self.runs: dict[str, JobRun] = {}
        self._catch_up_until_s = 0.0
        self._scheduler = SampleScheduler(
            view,
            forwarder,
            metrics,
            self.runs,
            self._is_catching_up,
            policy,
            engines_of_others,
        )
        # Called when a job begins to run here.
        self.on_begin: list[Callable[[], None]] = []
        # When jobs began to run here; what is seen for the first time later is new.
        self.enabled_s = float("inf")
        ledger.on_change.append(self.reconcile)

    # Which jobs run here.

    def reconcile(self, state: JobState) -> None:
        """Start or stop a job's run by what the ledger says."""
        run = self.runs.get(state.id)
        should_run = state.is_open and state.owner == self.name
        handed_over = None if state.is_open else self._handed_over.pop(state.id, None)
        if handed_over is not None:
            handed_over.stop()
        if run is not None and not should_run:
            del self.runs[state.id]
            if state.is_open:
                self._let_go(run)
            else:
                run.stop()
                if self._policy.uses(Mechanism.CARRIED_TEXTS):
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
        elif (
            should_run
            and self._scheduler.is_enabled
            and state.id not in self._beginning
        ):
            if not self._beginning:
                now_s = asyncio.get_running_loop().time()
                self._catch_up_until_s = now_s + _CATCH_UP_FIRST_S
            work = self._catch_up_and_begin(state)
            task = asyncio.get_running_loop().create_task(work)
            task.add_done_callback(partial(self._begin_again, state))
            self._beginning[state.id] = task

    def _begin_again(self, state: JobState, task: asyncio.Task[None]) -> None:
        """Begin a job again that an unforeseen error kept from beginning."""
        if task.cancelled() or task.exception() is None:
            return
        self._log.error("job-not-begun", job=state.id, exc_info=task.exception())
        loop = asyncio.get_running_loop()
        loop.call_later(_BEGIN_AGAIN_S, self.reconcile, state)

    def _let_go(self, run: JobRun) -> None:
        """Let a job go whose next owner will ask for its texts.

        Its samples run on while the next owner reads the job.
        """
        self._handed_over[run.state.id] = run
        if not self._policy.uses(Mechanism.RUNNING_ON):
            run.stop()
            return
        run.stop_writing()
        asyncio.get_running_loop().call_later(_RUN_ON_S, run.stop)

    def _is_catching_up(self) -> bool:
        """Whether jobs are being taken over whose samples should go on first."""
        is_early = asyncio.get_running_loop().time() < self._catch_up_until_s
        return bool(self._beginning) and is_early

    async def _catch_up_and_begin(self, state: JobState) -> None:
        """Begin a job once all its results that the store has are known."""
        try:
            if not await self._complete(state):
                return
            run = self._run_for(state)
            if run is None:
                return
            made = SampleTexts(())
            if self._may_have_results(state):
                while await self._reader.read_stored(state) is not None:
                    await asyncio.sleep(_CATCH_UP_PAUSE_S)
                saved = await saved_texts(self._store, node_of(state.owner), state.id)
                await run.seal()
                # Last, since the earlier owner's samples run on until it is asked.
                made = longest_texts([saved, await self._made_by_earlier(state)])
        finally:
            del self._beginning[state.id]
        if state.is_open and state.owner == self.name and self._scheduler.is_enabled:
            run.drop_listed()
            run.take_texts(made)
            run.take_left_over(self._left_over)
            self._begin(run)

    async def _complete(self, state: JobState) -> bool:
        """Read the rest of a submission; return whether all of it is here now."""
        while state.is_open:
            missing = await self._reader.complete(state)
            if missing is None:
                return True
            if missing.kind in (ErrorKind.INTERNAL, ErrorKind.NOT_FOUND):
                # Parts are written before the job; ones that lack now never come.
                self._log.error("job-unreadable", job=state.id, reason=missing.reason)
                return False
            await asyncio.sleep(_CATCH_UP_PAUSE_S)
        return False

    async def _made_by_earlier(self, state: JobState) -> SampleTexts:
        """Return the texts that an earlier owner has made.

        A node that starts again has run the job itself since it took it over, so that
        its own save is newer than the earlier owner's. Of two texts of a sample the
        longer one counts.
        """
        if not state.earlier_owner:
            return SampleTexts(())
        if state.is_earlier_alive:
            told = await self._reader.texts(state.earlier_owner, state.id)
            if told.texts:
                return told
        return await saved_texts(self._store, node_of(state.earlier_owner), state.id)

    def _all_texts(self) -> dict[str, SampleTexts] | None:
        """Return the texts of all runs; None while one may still read earlier ones."""
        if self._beginning or not self._scheduler.is_enabled:
            return None
        return {job_id: run.texts() for job_id, run in self.runs.items()}

    async def save_texts(self) -> None:
        """Save the texts of all runs now and then, for good."""
        if not self._policy.uses(Mechanism.SAVED_TEXTS):
            return
        await TextSaver(self._store, node_of(self.name), self._all_texts).run()

    def _may_have_results(self, state: JobState) -> bool:
        """Whether results of a job may stand in the store that aren't known here."""
        assert state.submission is not None
        is_first_owner = not state.owner_revision
        is_new = state.first_seen_s > self.enabled_s
        return state.may_lack_results or not (is_first_owner and is_new)

    def disable(self) -> None:
        """Start nothing more, as at a planned stop."""
        self._scheduler.is_enabled = False

    def resume(self) -> None:
        """Start samples again: a planned stop found no other entry for some jobs."""
        self._scheduler.is_enabled = True
        self._scheduler.pump()

    async def look_around(self) -> None:
        """Start, move and give up samples, for good."""
        await self._scheduler.look_around()

    def texts(self, job_id: str) -> SampleTexts:
        """Return what has been made of a job's samples here, for its next owner."""
        handed_over = self._handed_over.get(job_id)
        run = self.runs.get(job_id) or handed_over
        made = SampleTexts(()) if run is None else run.texts()
        if handed_over is not None and run is handed_over:
            run.stop()
        return made

    def enable(self) -> None:
        """Run jobs, now that all that the store has of them is known."""
        self._scheduler.is_enabled = True
        self.enabled_s = asyncio.get_running_loop().time()
        self.reconcile_all()

    def reconcile_all(self) -> None:
        """Look at every job, as when routes have changed."""
        for run in self.runs.values():
            run.follow_route(self._route_of(run.job))
        for state in tuple(self._ledger.jobs.values()):
            self.reconcile(state)

    def _route_of(self, job: Job) -> Route | None:
        """Return the route of a job; None if the configuration has none for it."""
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
        sent = state.submission
        route = None if sent is None else self._route_at(sent.host, sent.path)
        return None if route is None else route.shares[0].upstream

    def _run_for(self, state: JobState) -> JobRun | None:
        """Return a run of a job, not begun; None while its route isn't known."""
        job = state.job
        route = None if isinstance(job, Refusal) else self._route_of(job)
        if isinstance(job, Refusal) or route is None:
            return None
        assert state.submission is not None
        aim_s = route.run_aim_s or _DEFAULT_AIM_S
        # The time of day orders steps only: a clock that has stepped must not have
        # an item given up, so that retention counts from when this process first saw
        # the job.
        told_age_s = time.time() - state.submission.accepted_s
        age_s = min(max(0.0, told_age_s), aim_s)
        accepted_s = asyncio.get_running_loop().time() - age_s
        return JobRun(
            state,
            job,
            route,
            self._ledger,
            self._store,
            f"{self.name}:{self.boot}",
            accepted_s + aim_s,
            state.first_seen_s + (route.retention_s or _DEFAULT_RETENTION_S),
            self._superseded,
            self._metrics,
            self._policy,
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
        self._scheduler.pump()
        for callback in self.on_begin:
            callback()

    def samples_by_engine(self) -> dict[str, int]:
        """Return how many samples of this node's jobs are at each engine."""
        return dict(
            Counter(
                sample.running_at
                for run in self.runs.values()
                for sample in run.samples.values()
                if sample.running_at is not None
            )
        )

    def fellow_owners(self) -> set[str]:
        """Return the other owners of open jobs, whose samples share engines."""
        return {
            state.owner
            for state in self._ledger.jobs.values()
            if state.is_open and state.owner not in ("", self.name)
        }

    def models(self) -> set[str]:
        """Return the models of the jobs that run here."""
        return {run.job.model for run in self.runs.values()}

    def _superseded(self, run: JobRun) -> None:
        """Stop a run whose results another node writes, and learn who owns the job."""
        state = run.state
        self._log.warning("job-run-superseded", job=state.id, owner=state.owner)
        self.runs.pop(state.id, None)
        state.may_lack_results = True
        task = asyncio.get_running_loop().create_task(self._learn_owner(state))
        task.add_done_callback(partial(self._begin_again, state))
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
