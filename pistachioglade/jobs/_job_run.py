"""One job at the node that runs it: its samples, their scores, its results."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Final

import attrs

from ..decisions import FULL_POLICY, PendingSample, Policy, sample_pause_s
from ..fleet import Item, Job, Result, Route
from ..logs import logger
from ..messages import SampleTexts, TextRecord
from ..metrics import Metrics
from ..store import StoreClient
from ._ledger import JobLedger, JobState
from ._left_over import LeftOverTexts
from ._result_writer import ResultWriter
from ._sample_try import SampleText, SampleTry, TryEnd, TryResult


@attrs.define(eq=False)
class Sample:
    """An item that this node works on."""

    # The item.
    item: Item
    # Its text so far.
    text: SampleText = attrs.field(factory=SampleText)
    # Answers of 500 that it got.
    failures: int = 0
    # Consecutive tries whose engine connection was lost before any event.
    crashes: int = 0
    # Earliest time of its next placement, in seconds of the monotonic clock.
    not_before_s: float = 0.0
    # Engine that it was last at.
    last_instance: str | None = None
    # The try in progress; None while it waits.
    running: SampleTry | None = None
    # Engine of the try in progress.
    running_at: str | None = None
    # Whether it waits for an engine.
    is_waiting: bool = True

    def result(self, score: str) -> Result:
        """Return the result of its whole text."""
        versions = tuple(sorted(self.text.versions))
        return Result(self.item.id, True, self.text.whole, versions, score)


#: Pause behind a fault in listing results: a tenth of a step's time.
_LIST_AGAIN_S: Final = 0.5


class JobRun:
    """Works on one job until it is done, ended or taken over."""

    def __init__(
        self,
        state: JobState,
        job: Job,
        route: Route,
        ledger: JobLedger,
        store: StoreClient,
        writer: str,
        due_s: float,
        give_up_s: float,
        on_superseded: Callable[[JobRun], None],
        metrics: Metrics,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self.state = state
        self.job = job
        self.route = route
        # Whether the configuration in force has a route for the job.
        self.is_routed = True
        self.due_s = due_s
        self.give_up_s = give_up_s
        self._results = ResultWriter(
            state,
            job,
            ledger,
            store,
            writer,
            due_s,
            self._open_groups,
            self._next_end_s,
            lambda: on_superseded(self),
            metrics,
            policy,
        )
        self._log = logger(__name__)
        # Groups that were left over from an earlier job.
        self._carried: set[str] = set()
        # Whole texts that wait for their write.
        self._unlisted: dict[str, TextRecord] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # Writes results once the run has begun.
        self._writing: asyncio.Task[None] | None = None
        self._groups = {group: place for place, group in enumerate(_groups_of(job))}
        # Samples that have no result, by item.
        self.samples = {
            item.id: Sample(item) for item in job.items if item.id not in state.done
        }

    @property
    def upstream(self) -> str:
        """The upstream of most of its samples."""
        return self.route.shares[0].upstream

    def follow_route(self, route: Route | None) -> None:
        """Take the route that is in force now; what runs at an engine goes on there."""
        self.is_routed = route is not None
        if route is not None:
            self.route = route

    def start(self) -> None:
        """Start writing results as they come."""
        self._writing = self.spawn(self._list_results())

    async def _list_results(self) -> None:
        """List results until the job ends; a fault costs a pause, not the job."""
        while True:
            try:
                await self._results.run()
            except Exception:
                self._log.exception("results-failed", job=self.job.id)
            await asyncio.sleep(_LIST_AGAIN_S)

    def stop_writing(self) -> None:
        """List nothing more; what runs at engines runs on."""
        if self._writing is not None:
            self._writing.cancel()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work that ends with the job."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(self._report_crash)
        return task

    def _report_crash(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                "job-task-failed", job=self.job.id, exc_info=task.exception()
            )

    def stop(self) -> None:
        """Give all work on the job up."""
        for task in tuple(self._tasks):
            task.cancel()

    def pending(self) -> list[PendingSample]:
        """Return the samples that wait for an engine."""
        now_s = asyncio.get_running_loop().time()
        open_by_group = Counter(sample.item.group for sample in self.samples.values())
        return [
            PendingSample(
                job_id=self.job.id,
                item_id=sample.item.id,
                due_s=self.due_s,
                is_carried=sample.item.group in self._carried,
                group_open=open_by_group[sample.item.group],
                group_index=self._groups[sample.item.group],
                expected_tokens=sample.item.expected_tokens,
                is_begun=sample.text.last_event is not None,
            )
            for sample in self.samples.values()
            if sample.is_waiting and sample.not_before_s <= now_s
        ]

    def homes(self, group: str) -> set[str]:
        """Return the engines that run samples of a group."""
        return {
            sample.running_at
            for sample in self.samples.values()
            if sample.running_at is not None and sample.item.group == group
        }

    def finish(self, sample: Sample, result: Result) -> None:
        """Queue an item's result for its write."""
        if self.samples.pop(sample.item.id, None) is None:
            return
        if result.is_completed:
            self._unlisted[sample.item.id] = _record_of(sample, result.score)
        self._results.add(result, sample.item.group)

    def give_up(self, sample: Sample, reason: str) -> None:
        """End an item without its text."""
        self._log.warning(
            "item-given-up", job=self.job.id, item=sample.item.id, reason=reason
        )
        self.finish(sample, Result(sample.item.id, False))

    def took_try(self, sample: Sample, result: TryResult) -> bool:
        """Take the end of a try; return whether the text is whole."""
        sample.running = None
        sample.running_at = None
        self._note_crash(sample, result)
        match result.end:
            case TryEnd.COMPLETE:
                return True
            case TryEnd.IMPOSSIBLE:
                self.give_up(sample, result.reason)
            case TryEnd.FAILED:
                sample.failures += 1
                if sample.failures >= self.route.max_attempts:
                    self.give_up(sample, f"{sample.failures} failures")
        if sample.item.id in self.samples:
            sample.is_waiting = True
        return False

    def _note_crash(self, sample: Sample, result: TryResult) -> None:
        """Count consecutive crashes of a sample and delay its next try."""
        if not result.is_crash:
            if result.end not in (TryEnd.NOT_RUN, TryEnd.UNREACHED):
                sample.crashes = 0
            return
        sample.crashes += 1
        pause_s = sample_pause_s(sample.crashes)
        if pause_s > 0.0:
            sample.not_before_s = asyncio.get_running_loop().time() + pause_s
            self._log.warning(
                "item-put-off",
                job=self.job.id,
                item=sample.item.id,
                crashes=sample.crashes,
                pause_s=pause_s,
            )

    def texts(self) -> SampleTexts:
        """Return what has been made of the samples that aren't listed."""
        running = (
            _record_of(sample, None)
            for sample in self.samples.values()
            if sample.text.last_event is not None
        )
        unlisted = (
            record
            for record in self._unlisted.values()
            if record.item_id not in self.state.done
        )
        return SampleTexts((*running, *unlisted))

    def take_texts(self, made: SampleTexts) -> None:
        """Go on from the texts of an earlier owner where nothing has begun."""
        for record in made.texts:
            sample = self.samples.get(record.item_id)
            is_usable = all(item >= self.job.min_version for item in record.versions)
            if sample is None or sample.text.last_event is not None or not is_usable:
                continue
            sample.text.parts = list(record.parts)
            sample.text.last_event = record.last_event
            sample.text.versions = set(record.versions)
            sample.failures = record.failures
            if record.score is not None:
                self.finish(sample, sample.result(record.score))

    def take_left_over(self, left_over: LeftOverTexts) -> None:
        """Go on from texts of an ended job, and start their groups first."""
        known = left_over.take(sample.item.id for sample in self.samples.values())
        self._carried = {
            self.samples[record.item_id].item.group for record in known.texts
        }
        self.take_texts(known)

    # Writing.

    def _open_groups(self) -> set[str]:
        return {sample.item.group for sample in self.samples.values()}

    def _next_end_s(self) -> float:
        """Return when the next sample without a result ends, as far as is known."""
        now_s = asyncio.get_running_loop().time()
        ends_s = (
            # A sample that is neither waiting nor running is being scored.
            now_s if sample.running is None else now_s + sample.running.time_left_s
            for sample in self.samples.values()
            if not sample.is_waiting
        )
        return min(ends_s, default=float("inf"))

    def drop_listed(self) -> None:
        """Forget samples and results that stand in the store already."""
        listed = self.state.done
        for item_id in [item_id for item_id in self.samples if item_id in listed]:
            running = self.samples.pop(item_id).running
            if running is not None:
                running.move()
        for item_id in [item_id for item_id in self._unlisted if item_id in listed]:
            del self._unlisted[item_id]
        self._results.drop_listed()

    async def seal(self) -> None:
        """Keep an earlier owner from listing anything behind what is known here."""
        await self._results.seal()


def _record_of(sample: Sample, score: str | None) -> TextRecord:
    last_event = sample.text.last_event
    assert last_event is not None
    return TextRecord(
        sample.item.id,
        tuple(sample.text.parts),
        last_event,
        tuple(sorted(sample.text.versions)),
        sample.failures,
        score,
    )


def _groups_of(job: Job) -> list[str]:
    return list(dict.fromkeys(item.group for item in job.items))
