"""The run of one job at its owner: samples, scores and results."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Final

from ..decisions import (
    FULL_POLICY,
    GroupWork,
    PendingSample,
    Policy,
    ahead_tokens,
    counting_groups,
    sample_pause_s,
)
from ..fleet import Job, Result, Route
from ..logs import logger
from ..messages import SampleTexts, TextRecord
from ..metrics import Metrics
from ..store import StoreClient
from ._carried_texts import CarriedTexts
from ._ledger import JobLedger, JobState
from ._result_writer import ResultWriter
from ._sample import Sample
from ._sample_try import TryEnd, TryResult
from ._sample_window import SampleWindow

#: Pause after an error while results are written: a tenth of a step's time.
_WRITE_RETRY_PAUSE_S: Final = 0.5
#: Time for which the choice of the groups that count towards the target stays, in
#: seconds: about an event. Passes are more frequent, one for each sample that ends.
_COUNT_INTERVAL_S: Final = 0.08


class JobRun:
    """Holds one job's samples and writes their results, for the job's owner.

    A run lasts until the job is complete, ended or taken over.
    """

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
        # Monotonic time at which the results are due, in seconds.
        self.due_s = due_s
        # Monotonic time at which unfinished items are given up, in seconds.
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
        # Groups with texts that an ended job left unfinished.
        self._carried_groups: set[str] = set()
        # Groups that count towards the step's target, as of the last choice.
        self._counting_groups: frozenset[str] = frozenset()
        # Monotonic time of the next choice, in seconds.
        self._count_groups_s = float("-inf")
        # Number of events received in tries that have ended.
        self._ended_tries_events = 0
        # Scored texts whose results are not in the store yet, by item id.
        self._unstored: dict[str, TextRecord] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # Task that writes results; None before the start.
        self._writing_task: asyncio.Task[None] | None = None
        # Index of each group in the job.
        self._group_indexes = {
            group: index for index, group in enumerate(_groups_of(job))
        }
        # Number of items in each group of the job.
        self._group_sizes = Counter(item.group for item in job.items)
        # Samples without a result, by item id.
        self._window = SampleWindow(
            item for item in job.items if item.id not in state.done
        )
        self.samples = self._window.samples

    @property
    def upstream(self) -> str:
        """Upstream of the route's first share."""
        return self.route.shares[0].upstream

    def update_route(self, route: Route | None) -> None:
        """Apply the route in force; None if there is none. Running tries go on."""
        self.is_routed = route is not None
        if route is not None:
            self.route = route

    def start(self) -> None:
        """Start the task that writes results."""
        self._writing_task = self.spawn(self._write_results())

    async def _write_results(self) -> None:
        """Write results until cancelled; continue after an error and a pause."""
        while True:
            try:
                await self._results.run()
            except Exception:
                self._log.exception("results-failed", job=self.job.id)
            await asyncio.sleep(_WRITE_RETRY_PAUSE_S)

    def stop_writing(self) -> None:
        """Write no more results; samples at engines keep running."""
        if self._writing_task is not None:
            self._writing_task.cancel()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work in a task that is cancelled when the run stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(self._log_task_error)
        return task

    def _log_task_error(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                "job-task-failed", job=self.job.id, exc_info=task.exception()
            )

    def stop(self) -> None:
        """Cancel all tasks of the run."""
        for task in tuple(self._tasks):
            task.cancel()

    def pending(self, event_tokens: int = 1) -> list[PendingSample]:
        """Return the samples that wait for an engine."""
        now_s = asyncio.get_running_loop().time()
        open_by_group = self._window.open_by_group()
        if self.job.target_groups > 0 and now_s >= self._count_groups_s:
            self._count_groups_s = now_s + _COUNT_INTERVAL_S
            self._counting_groups = counting_groups(
                self._group_work(event_tokens),
                self.job.target_groups,
                len(self._group_sizes) - len(open_by_group),
                self._counting_groups,
            )
        return [
            PendingSample(
                job_id=self.job.id,
                item_id=sample.item.id,
                due_s=self.due_s,
                is_carried_over=sample.item.group in self._carried_groups,
                unfinished_in_group=open_by_group[sample.item.group],
                group_index=self._group_indexes[sample.item.group],
                expected_tokens=sample.item.expected_tokens,
                has_partial_text=sample.text.last_event is not None,
                counts_for_target=self.job.target_groups <= 0
                or sample.item.group in self._counting_groups,
                remaining_tokens=sample.remaining_tokens(event_tokens),
            )
            for sample in self.samples.values()
            if sample.is_waiting and sample.not_before_s <= now_s
        ]

    def _group_work(self, event_tokens: int) -> list[GroupWork]:
        """Return the unfinished work of each group."""
        unfinished: defaultdict[str, list[Sample]] = defaultdict(list)
        for sample in self.samples.values():
            unfinished[sample.item.group].append(sample)
        return [
            GroupWork(
                group=group,
                index=self._group_indexes[group],
                is_carried_over=group in self._carried_groups,
                is_begun=len(samples) < self._group_sizes[group]
                or any(sample.is_begun for sample in samples),
                longest_tokens=max(
                    sample.remaining_tokens(event_tokens) for sample in samples
                ),
            )
            for group, samples in unfinished.items()
        ]

    @property
    def generated_events(self) -> int:
        """Number of events received here in all tries of the job's samples."""
        tries = (sample.running for sample in self.samples.values())
        running = sum(item.event_count for item in tries if item is not None)
        return self._ended_tries_events + running

    @property
    def waiting_count(self) -> int:
        """Number of samples that wait for an engine."""
        return sum(sample.is_waiting for sample in self.samples.values())

    def tokens_ahead(self, event_tokens: int) -> int:
        """Return the next tokens of the running samples, for the trainers' shares."""
        return sum(
            ahead_tokens(sample.remaining_tokens(event_tokens))
            for sample in self.samples.values()
            if sample.running_at is not None
        )

    def engines_of_group(self, group: str) -> set[str]:
        """Return the engines that run samples of a group now."""
        return {
            sample.running_at
            for sample in self.samples.values()
            if sample.running_at is not None and sample.item.group == group
        }

    def finish(self, sample: Sample, result: Result) -> None:
        """Queue an item's result to be written."""
        if self._window.pop(sample.item.id) is None:
            return
        if result.is_completed:
            self._unstored[sample.item.id] = _text_record_of(sample, result.score)
        self._results.add(result, sample.item.group)

    def give_up(self, sample: Sample, reason: str) -> None:
        """End an item with a result that says that the item is not completed."""
        self._log.warning(
            "item-given-up", job=self.job.id, item=sample.item.id, reason=reason
        )
        self.finish(sample, Result(sample.item.id, False))

    def record_try(self, sample: Sample, result: TryResult) -> bool:
        """Record how a try ended; return whether the text is complete."""
        if sample.running is not None:
            self._ended_tries_events += sample.running.event_count
        sample.running = None
        sample.running_at = None
        self._record_crash(sample, result)
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

    def _record_crash(self, sample: Sample, result: TryResult) -> None:
        """Count consecutive crashes of a sample and delay its next try."""
        if not result.is_crash:
            if result.end not in (TryEnd.NOT_RUN, TryEnd.UNREACHED):
                sample.crashes = 0
            return
        sample.crashes += 1
        self._delay_after_crashes(sample)

    def _delay_after_crashes(self, sample: Sample) -> None:
        pause_s = sample_pause_s(sample.crashes)
        if pause_s > 0.0:
            sample.not_before_s = asyncio.get_running_loop().time() + pause_s
            self._log.warning(
                "item-delayed",
                job=self.job.id,
                item=sample.item.id,
                crashes=sample.crashes,
                pause_s=pause_s,
            )

    def texts(self) -> SampleTexts:
        """Return the texts of samples whose results are not in the store."""
        running = (
            _text_record_of(sample, None)
            for sample in self.samples.values()
            if sample.text.last_event is not None
        )
        unstored = (
            record
            for record in self._unstored.values()
            if record.item_id not in self.state.done
        )
        return SampleTexts((*running, *unstored))

    def adopt_texts(self, texts: SampleTexts) -> None:
        """Continue samples that have no text here from texts made elsewhere.

        Texts with an event of an older weight version than the job allows are ignored.
        """
        for record in texts.texts:
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

    def crash_counts(self) -> dict[str, int]:
        """Return the consecutive crashes of samples that have any, by item id."""
        return {
            item_id: sample.crashes
            for item_id, sample in self.samples.items()
            if sample.crashes
        }

    def adopt_crashes(self, by_item: Mapping[str, int]) -> None:
        """Continue the crash counts of an earlier owner, and its pauses."""
        for item_id in by_item.keys() & self.samples.keys():
            sample = self.samples[item_id]
            sample.crashes = by_item[item_id]
            self._delay_after_crashes(sample)

    def adopt_carried_texts(self, carried: CarriedTexts) -> None:
        """Continue texts that ended jobs left, and start their groups first."""
        texts = carried.pop_texts(sample.item.id for sample in self.samples.values())
        self._carried_groups = {
            self.samples[record.item_id].item.group for record in texts.texts
        }
        self.adopt_texts(texts)

    def _open_groups(self) -> set[str]:
        return set(self._window.open_by_group())

    def _next_end_s(self) -> float:
        """Return the monotonic time at which the next sample ends, in seconds.

        Infinity if no sample has a known end.
        """
        now_s = asyncio.get_running_loop().time()
        ends_s = (
            # A sample that is neither waiting nor running is being scored.
            now_s if sample.running is None else now_s + sample.running.time_left_s
            for sample in self.samples.values()
            if not sample.is_waiting
        )
        return min(ends_s, default=float("inf"))

    def drop_stored(self) -> None:
        """Drop samples and queued results whose items have a result in the store."""
        stored_ids = self.state.done
        self._window.drop_later(stored_ids)
        for item_id in [item_id for item_id in self.samples if item_id in stored_ids]:
            sample = self._window.pop(item_id)
            if sample is not None and sample.running is not None:
                sample.running.interrupt()
        for item_id in [item_id for item_id in self._unstored if item_id in stored_ids]:
            del self._unstored[item_id]
        self._results.drop_stored()

    async def fence_earlier_writers(self) -> None:
        """Keep an earlier owner from writing results after those known here."""
        await self._results.fence_earlier_writers()


def _text_record_of(sample: Sample, score: str | None) -> TextRecord:
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
