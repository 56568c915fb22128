"""Writes a job's results to the store, in batches at positions that never change."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from itertools import count
from typing import Final

import attrs

from ..decisions import (
    AdaptiveTimeout,
    Mechanism,
    Policy,
    StepProgress,
    count_fitting,
    next_write_s,
)
from ..errors import ErrorKind, Refusal
from ..fleet import Job, Result
from ..logs import logger
from ..messages import BatchRecord
from ..metrics import Metrics
from ..platform import Entry, encode_result
from ..store import StoreClient
from ._ledger import JobLedger, JobState
from ._records import (
    RESULT_KIND,
    RecordKind,
    RecordName,
    decode_batch,
    encode_batch,
)
from ._submission_parts import max_stored_bytes

#: Time limit of the write of the batch that fences off earlier writers.
_FENCE_WRITE_LIMIT_S: Final = 5.0
#: Pause before a failed write is retried, with the results finished meanwhile.
_RETRY_PAUSE_S: Final = 0.15
#: Longest sleep while results are gathered, so that the writer soon sees the result
#: that completes a group.
_MAX_GATHER_SLEEP_S: Final = 0.05
#: Pause after a write that failed for a lasting reason: the store refused the object,
#: or the object at its position can't be read.
_REFUSED_PAUSE_S: Final = 0.5


@attrs.frozen
class _FinishedResult:
    # Result of the item.
    result: Result
    # The result as readers get it, in JSON.
    encoded: str
    # Group of the item.
    group: str
    # Monotonic time at which the result was queued, in seconds.
    finished_s: float


class ResultWriter:
    """Gathers the results of one job and writes them to the store in batches."""

    def __init__(
        self,
        state: JobState,
        job: Job,
        ledger: JobLedger,
        store: StoreClient,
        writer: str,
        due_s: float,
        open_groups: Callable[[], set[str]],
        next_end_s: Callable[[], float],
        on_superseded: Callable[[], None],
        metrics: Metrics,
        policy: Policy,
    ) -> None:
        self._gathers_results = policy.uses(Mechanism.GATHERED_RESULTS)
        self._state = state
        self._job = job
        self._ledger = ledger
        self._store = store
        self._writer = writer
        # Monotonic time at which the results are due, in seconds.
        self._due_s = due_s
        # Returns the groups that have a sample without a result.
        self._open_groups = open_groups
        # Returns the monotonic time at which the next sample ends, in seconds; infinity
        # if no sample has a known end.
        self._next_end_s = next_end_s
        self._on_superseded = on_superseded
        self._metrics = metrics
        self._log = logger(__name__)
        self._writes = count(1)
        self._group_count = len({item.group for item in job.items})
        self._unwritten: list[_FinishedResult] = []
        self._has_unwritten = asyncio.Event()

    def add(self, result: Result, group: str) -> None:
        """Queue a result to be written."""
        now_s = asyncio.get_running_loop().time()
        encoded = json.dumps(encode_result(result))
        self._unwritten.append(_FinishedResult(result, encoded, group, now_s))
        self._has_unwritten.set()

    def drop_stored(self) -> None:
        """Drop queued results whose items have a result in the store."""
        stored_ids = self._state.done
        self._unwritten = [
            item for item in self._unwritten if item.result.item_id not in stored_ids
        ]
        if not self._unwritten:
            self._has_unwritten.clear()

    def _next_tag(self) -> str:
        return f"{self._writer}:{next(self._writes)}"

    async def fence_earlier_writers(self) -> None:
        """Keep an earlier owner from writing results after those known here.

        An empty batch takes the next number; a writer that finds the batch of another
        writer there stops. Batches that an earlier owner wrote meanwhile are added to
        the ledger first.
        """
        state = self._state
        while True:
            number = state.next_batch_number
            batch = BatchRecord(self._next_tag(), len(state.results), (), ())
            name = str(RecordName(state.id, RecordKind.BATCH, number))
            stored = await self._store.create(
                RESULT_KIND, name, encode_batch(batch), _FENCE_WRITE_LIMIT_S
            )
            if isinstance(stored, Refusal):
                continue
            accepted = decode_batch(stored.value)
            if isinstance(accepted, Refusal):
                await self._wait_at_unreadable(name, accepted)
                continue
            self._ledger.add_batch(state, number, accepted)
            if accepted.writer == batch.writer:
                return

    def _write_time_s(self) -> float:
        if not self._gathers_results:
            return self._unwritten[0].finished_s
        open_groups = self._open_groups()
        completed_s: dict[str, float] = {}
        for item in self._unwritten:
            if item.group not in open_groups:
                completed_s[item.group] = item.finished_s
        progress = StepProgress(
            complete_groups=self._group_count - len(open_groups),
            target_groups=self._job.target_groups,
            oldest_s=self._unwritten[0].finished_s,
            group_complete_s=min(completed_s.values(), default=None),
            due_s=self._due_s,
            is_finished=not open_groups,
            next_end_s=self._next_end_s(),
        )
        return next_write_s(progress)

    async def run(self) -> None:
        """Write queued results when they are due, until cancelled."""
        while True:
            await self._has_unwritten.wait()
            self.drop_stored()
            if not self._unwritten:
                continue
            now_s = asyncio.get_running_loop().time()
            wait_s = self._write_time_s() - now_s
            if wait_s > 0.0:
                await asyncio.sleep(min(wait_s, _MAX_GATHER_SLEEP_S))
                continue
            await self._write()
            self.drop_stored()

    def _next_batch(self) -> tuple[tuple[_FinishedResult, ...], BatchRecord]:
        """Return as many queued results as one object holds, and their batch."""
        sizes = (max_stored_bytes(item.encoded) for item in self._unwritten)
        max_count = count_fitting(sizes, self._store.max_object_bytes)
        finished = tuple(self._unwritten[:max_count])
        batch = BatchRecord(
            self._next_tag(),
            len(self._state.results),
            tuple(item.encoded for item in finished),
            tuple(item.result.item_id for item in finished),
        )
        return finished, batch

    async def _write(self) -> None:
        """Write a batch at the next free number, with retries.

        Each try holds the results that are finished by then. A try whose answer was
        lost may take effect later; of all tries for one number the store accepts
        exactly one, and that batch counts.
        """
        state = self._state
        number = state.next_batch_number
        name = str(RecordName(state.id, RecordKind.BATCH, number))
        tried_tags: set[str] = set()
        try_time = AdaptiveTimeout()
        while state.next_batch_number == number and self._unwritten:
            finished, batch = self._next_batch()
            tried_tags.add(batch.writer)
            stored = await self._store.create(
                RESULT_KIND, name, encode_batch(batch), within_s=0.0, try_time=try_time
            )
            if isinstance(stored, Entry):
                accepted = decode_batch(stored.value)
                if isinstance(accepted, Refusal):
                    await self._wait_at_unreadable(name, accepted)
                    continue
                is_own = accepted.writer in tried_tags
                self._add_accepted(number, accepted, is_own, finished[0].finished_s)
                return
            assert isinstance(stored, Refusal)
            self._log.warning(
                "result-write-failed", job=state.id, batch=number, reason=stored.reason
            )
            if stored.kind is ErrorKind.TOO_LARGE:
                self._give_up_largest(finished)
                return
            is_refused = stored.kind is ErrorKind.BAD_REQUEST
            await asyncio.sleep(_REFUSED_PAUSE_S if is_refused else _RETRY_PAUSE_S)

    async def _wait_at_unreadable(self, name: str, refusal: Refusal) -> None:
        """Log a stored batch that can't be read, and wait.

        Results are not written after such a batch: if the batch held results, the new
        ones would get positions at which readers may have seen other results.
        """
        self._log.error("results-unreadable", batch=name, reason=refusal.reason)
        await asyncio.sleep(_REFUSED_PAUSE_S)

    def _add_accepted(
        self, number: int, accepted: BatchRecord, is_own: bool, oldest_s: float
    ) -> None:
        """Add the batch that the store accepted at a number, own or another node's."""
        self._ledger.add_batch(self._state, number, accepted)
        age_s = asyncio.get_running_loop().time() - oldest_s
        self._metrics.record_results(len(accepted.results), age_s)
        self._log.info(
            "results-listed" if is_own else "results-superseded",
            job=self._state.id,
            batch=number,
            results=len(accepted.results),
            items=accepted.item_ids,
            oldest_age_s=round(age_s, 3),
        )
        if not is_own:
            self._on_superseded()

    def _give_up_largest(self, finished: tuple[_FinishedResult, ...]) -> None:
        """Give up the item with the largest result, which no stored object can hold."""
        largest = max(finished, key=lambda item: len(item.encoded))
        item_id = largest.result.item_id
        self._log.error(
            "item-given-up",
            job=self._state.id,
            item=item_id,
            reason=f"its result of {len(largest.encoded)} bytes fits no object",
        )
        self._unwritten.remove(largest)
        self.add(Result(item_id, False), largest.group)
