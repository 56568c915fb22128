"""One job at the node that runs it: its samples, their scores, its results."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Coroutine
from itertools import count
from typing import Any

import attrs

from ..decisions import (
    CHECKPOINT_INTERVAL_S,
    LEAST_SAVED_EVENTS,
    PendingSample,
    batch_wait_s,
    should_save,
)
from ..errors import Refusal
from ..fleet import Item, Job, Result, Route
from ..logs import logger
from ..messages import BatchRecord, SampleTexts, TextRecord, unstructure
from ..metrics import Metrics
from ..platform import Entry, encode_result
from ..store import StoreClient
from ._ledger import JobLedger, JobState
from ._left_over import LeftOverTexts
from ._records import RESULT_KIND, RecordKind, RecordName, decode_batch, encode_batch
from ._sample_try import SampleText, SampleTry, TryEnd, TryResult

#: Time within which a batch's write is settled before it is tried anew.
_WRITE_WITHIN_S = 5.0


@attrs.define(eq=False)
class Sample:
    """An item that this node works on."""

    # The item.
    item: Item
    # Its text so far.
    text: SampleText = attrs.field(factory=SampleText)
    # Answers of 500 that it got.
    failures: int = 0
    # Engine that it was last at.
    last_instance: str | None = None
    # The try in progress; None while it waits.
    running: SampleTry | None = None
    # Engine of the try in progress.
    running_at: str | None = None
    # Whether it waits for an engine.
    is_waiting: bool = True


@attrs.frozen
class _Finished:
    # The result.
    result: Result
    # Group that it belongs to.
    group: str
    # When it was finished, in seconds of the monotonic clock.
    finished_s: float


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
    ) -> None:
        self._metrics = metrics
        self.state = state
        self.job = job
        self.route = route
        # Whether the configuration in force has a route for the job.
        self.is_routed = True
        self.due_s = due_s
        self.give_up_s = give_up_s
        self._on_superseded = on_superseded
        self._ledger = ledger
        self._store = store
        self._writer = writer
        self._writes = count(1)
        self._log = logger(__name__)
        # Groups that were left over from an earlier job.
        self._carried: set[str] = set()
        self._unwritten: list[_Finished] = []
        self._has_news = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
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
        self.spawn(self._write_results())
        self.spawn(self._save_texts())

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
            if sample.is_waiting
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
        now_s = asyncio.get_running_loop().time()
        if self.samples.pop(sample.item.id, None) is None:
            return
        self._unwritten.append(_Finished(result, sample.item.group, now_s))
        self._has_news.set()

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

    def texts(self) -> SampleTexts:
        """Return what has been made of the samples that have no result."""
        return SampleTexts(
            tuple(
                TextRecord(
                    sample.item.id,
                    tuple(sample.text.parts),
                    sample.text.last_event,
                    tuple(sorted(sample.text.versions)),
                    sample.failures,
                )
                for sample in self.samples.values()
                if sample.text.last_event is not None
            )
        )

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

    def take_left_over(self, left_over: LeftOverTexts) -> None:
        """Go on from texts of an ended job, and start their groups first."""
        known = left_over.take(sample.item.id for sample in self.samples.values())
        self._carried = {
            self.samples[record.item_id].item.group for record in known.texts
        }
        self.take_texts(known)

    # Writing.

    async def _save_texts(self) -> None:
        """Save unfinished texts now and then, so that a death costs little."""
        name = str(RecordName(self.job.id, RecordKind.TEXTS))
        is_created = False
        saved_events = 0
        while True:
            await asyncio.sleep(CHECKPOINT_INTERVAL_S)
            made = [
                item
                for item in self.texts().texts
                if len(item.parts) >= LEAST_SAVED_EVENTS
            ]
            events = sum(len(item.parts) for item in made)
            if not should_save(abs(events - saved_events), CHECKPOINT_INTERVAL_S):
                continue
            value = unstructure(SampleTexts(tuple(made)))
            stored: object
            if is_created:
                stored = await self._store.replace(RESULT_KIND, name, value, None)
            else:
                stored = await self._store.create(RESULT_KIND, name, value, 1.0)
            if isinstance(stored, Entry):
                is_created = True
                saved_events = events

    def _wait_s(self) -> float:
        open_groups = {sample.item.group for sample in self.samples.values()}
        whole = len(self._groups) - len(open_groups)
        waiting_groups = {item.group for item in self._unwritten}
        has_new_group = bool(waiting_groups - open_groups)
        is_last = not self.samples
        return batch_wait_s(whole, self.job.target_groups, has_new_group, is_last)

    def drop_listed(self) -> None:
        """Forget samples and results that stand in the store already."""
        listed = self.state.done
        for item_id in [item_id for item_id in self.samples if item_id in listed]:
            running = self.samples.pop(item_id).running
            if running is not None:
                running.move()
        self._unwritten = [
            item for item in self._unwritten if item.result.item_id not in listed
        ]
        if not self._unwritten:
            self._has_news.clear()

    async def seal(self) -> None:
        """Keep an earlier owner from listing anything behind what is known here.

        An empty batch takes the next number; whoever meets it stops. Batches that an
        earlier owner has written meanwhile are taken in first.
        """
        while True:
            number = self.state.next_batch
            tag = f"{self._writer}:{next(self._writes)}"
            batch = BatchRecord(tag, len(self.state.results), (), ())
            name = str(RecordName(self.job.id, RecordKind.BATCH, number))
            stored = await self._store.create(
                RESULT_KIND, name, encode_batch(batch), _WRITE_WITHIN_S
            )
            if isinstance(stored, Refusal):
                continue
            in_force = decode_batch(stored.value)
            self._ledger.add_batch(self.state, number, in_force)
            if in_force.writer == tag:
                return

    async def _write_results(self) -> None:
        while True:
            await self._has_news.wait()
            self.drop_listed()
            if not self._unwritten:
                continue
            oldest_s = self._unwritten[0].finished_s
            now_s = asyncio.get_running_loop().time()
            wait_s = oldest_s + self._wait_s() - now_s
            if wait_s > 0.0:
                await asyncio.sleep(min(wait_s, 0.05))
                continue
            await self._write(tuple(self._unwritten))
            self.drop_listed()

    async def _write(self, finished: tuple[_Finished, ...]) -> None:
        """Write a batch at the next free number; keep trying with the same one."""
        batch = BatchRecord(
            f"{self._writer}:{next(self._writes)}",
            len(self.state.results),
            tuple(json.dumps(encode_result(item.result)) for item in finished),
            tuple(item.result.item_id for item in finished),
        )
        number = self.state.next_batch
        name = str(RecordName(self.job.id, RecordKind.BATCH, number))
        while self.state.next_batch == number:
            stored = await self._store.create(
                RESULT_KIND, name, encode_batch(batch), _WRITE_WITHIN_S
            )
            if isinstance(stored, Entry):
                in_force = decode_batch(stored.value)
                self._ledger.add_batch(self.state, number, in_force)
                age_s = asyncio.get_running_loop().time() - finished[0].finished_s
                self._metrics.results_listed(len(in_force.results), age_s)
                is_own = in_force.writer == batch.writer
                self._log.info(
                    "results-listed" if is_own else "results-of-another-node",
                    job=self.job.id,
                    batch=number,
                    results=len(in_force.results),
                    oldest_age_s=round(age_s, 3),
                )
                if not is_own:
                    self._on_superseded(self)
                return
            assert isinstance(stored, Refusal)
            self._log.warning(
                "results-unwritten", job=self.job.id, batch=number, reason=stored.reason
            )


def _groups_of(job: Job) -> list[str]:
    return list(dict.fromkeys(item.group for item in job.items))
