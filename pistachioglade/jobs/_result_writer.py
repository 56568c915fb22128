"""Writes a job's results to the store: in batches, at positions that never change."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from itertools import count
from typing import Final

import attrs

from ..decisions import (
    Mechanism,
    Policy,
    StepProgress,
    TryTime,
    fitting_count,
    write_time_s,
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
    stored_bytes,
)

#: Time within which a seal's write is settled before it is tried anew.
_SEAL_WITHIN_S: Final = 5.0
#: Pause before a batch is tried again with what has been finished meanwhile.
_AGAIN_PAUSE_S: Final = 0.15
#: Longest nap while results are gathered, so that a group's last one is seen soon.
_NAP_S: Final = 0.05
#: Pause after a write that the store refused for good.
_REFUSED_PAUSE_S: Final = 0.5


@attrs.frozen
class _Finished:
    # The result.
    result: Result
    # Its text as readers get it.
    encoded: str
    # Group that it belongs to.
    group: str
    # When it was finished, in seconds of the monotonic clock.
    finished_s: float


class ResultWriter:
    """Gathers the results of one job and writes them."""

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
        self._gathers = policy.uses(Mechanism.GATHERED_RESULTS)
        self._state = state
        self._job = job
        self._ledger = ledger
        self._store = store
        self._writer = writer
        # When the results are due, in seconds of the monotonic clock.
        self._due_s = due_s
        # Groups that have a sample without a result.
        self._open_groups = open_groups
        # When the next sample without a result ends, as far as that is known.
        self._next_end_s = next_end_s
        self._on_superseded = on_superseded
        self._metrics = metrics
        self._log = logger(__name__)
        self._writes = count(1)
        self._group_count = len({item.group for item in job.items})
        self._unwritten: list[_Finished] = []
        self._has_news = asyncio.Event()

    def add(self, result: Result, group: str) -> None:
        """Queue a result for its write."""
        now_s = asyncio.get_running_loop().time()
        encoded = json.dumps(encode_result(result))
        self._unwritten.append(_Finished(result, encoded, group, now_s))
        self._has_news.set()

    def drop_listed(self) -> None:
        """Forget results that stand in the store already."""
        listed = self._state.done
        self._unwritten = [
            item for item in self._unwritten if item.result.item_id not in listed
        ]
        if not self._unwritten:
            self._has_news.clear()

    def _next_tag(self) -> str:
        return f"{self._writer}:{next(self._writes)}"

    async def seal(self) -> None:
        """Keep an earlier owner from listing anything behind what is known here.

        An empty batch takes the next number; whoever meets it stops. Batches that an
        earlier owner has written meanwhile are taken in first.
        """
        state = self._state
        while True:
            number = state.next_batch
            batch = BatchRecord(self._next_tag(), len(state.results), (), ())
            name = str(RecordName(state.id, RecordKind.BATCH, number))
            stored = await self._store.create(
                RESULT_KIND, name, encode_batch(batch), _SEAL_WITHIN_S
            )
            if isinstance(stored, Refusal):
                continue
            in_force = decode_batch(stored.value)
            if isinstance(in_force, Refusal):
                await self._meet_unreadable(name, in_force)
                continue
            self._ledger.add_batch(state, number, in_force)
            if in_force.writer == batch.writer:
                return

    def _write_time_s(self) -> float:
        if not self._gathers:
            return self._unwritten[0].finished_s
        open_groups = self._open_groups()
        whole_s: dict[str, float] = {}
        for item in self._unwritten:
            if item.group not in open_groups:
                whole_s[item.group] = item.finished_s
        progress = StepProgress(
            whole_groups=self._group_count - len(open_groups),
            target_groups=self._job.target_groups,
            oldest_s=self._unwritten[0].finished_s,
            whole_s=min(whole_s.values(), default=None),
            due_s=self._due_s,
            is_last=not open_groups,
            next_end_s=self._next_end_s(),
        )
        return write_time_s(progress)

    async def run(self) -> None:
        """Write results as they come, for good."""
        while True:
            await self._has_news.wait()
            self.drop_listed()
            if not self._unwritten:
                continue
            now_s = asyncio.get_running_loop().time()
            wait_s = self._write_time_s() - now_s
            if wait_s > 0.0:
                await asyncio.sleep(min(wait_s, _NAP_S))
                continue
            await self._write()
            self.drop_listed()

    def _next_batch(self) -> tuple[tuple[_Finished, ...], BatchRecord]:
        """Return the results that one object holds, and the batch of them."""
        sizes = (stored_bytes(item.encoded) for item in self._unwritten)
        most = fitting_count(sizes, self._store.max_object_bytes)
        finished = tuple(self._unwritten[:most])
        batch = BatchRecord(
            self._next_tag(),
            len(self._state.results),
            tuple(item.encoded for item in finished),
            tuple(item.result.item_id for item in finished),
        )
        return finished, batch

    async def _write(self) -> None:
        """Write a batch at the next free number; keep trying.

        Each try holds what has been finished by then. One whose answer was lost may
        take effect later; of all tries for a number the store takes one, and that one
        is in force.
        """
        state = self._state
        number = state.next_batch
        name = str(RecordName(state.id, RecordKind.BATCH, number))
        tried: set[str] = set()
        try_time = TryTime()
        while state.next_batch == number and self._unwritten:
            finished, batch = self._next_batch()
            tried.add(batch.writer)
            stored = await self._store.create(
                RESULT_KIND, name, encode_batch(batch), within_s=0.0, try_time=try_time
            )
            if isinstance(stored, Entry):
                in_force = decode_batch(stored.value)
                if isinstance(in_force, Refusal):
                    await self._meet_unreadable(name, in_force)
                    continue
                is_own = in_force.writer in tried
                self._took(number, in_force, is_own, finished[0].finished_s)
                return
            assert isinstance(stored, Refusal)
            self._log.warning(
                "results-unwritten", job=state.id, batch=number, reason=stored.reason
            )
            if stored.kind is ErrorKind.TOO_LARGE:
                self._give_up_largest(finished)
                return
            is_refused = stored.kind is ErrorKind.BAD_REQUEST
            await asyncio.sleep(_REFUSED_PAUSE_S if is_refused else _AGAIN_PAUSE_S)

    async def _meet_unreadable(self, name: str, refusal: Refusal) -> None:
        """Wait at a position that another writer has spoilt.

        Listing behind it would show readers results at other positions than those that
        it may have held.
        """
        self._log.error("results-unreadable", batch=name, reason=refusal.reason)
        await asyncio.sleep(_REFUSED_PAUSE_S)

    def _took(
        self, number: int, in_force: BatchRecord, is_own: bool, oldest_s: float
    ) -> None:
        """Take the batch that the store has at a number, this or another node's."""
        self._ledger.add_batch(self._state, number, in_force)
        age_s = asyncio.get_running_loop().time() - oldest_s
        self._metrics.results_listed(len(in_force.results), age_s)
        self._log.info(
            "results-listed" if is_own else "results-of-another-node",
            job=self._state.id,
            batch=number,
            results=len(in_force.results),
            items=in_force.item_ids,
            oldest_age_s=round(age_s, 3),
        )
        if not is_own:
            self._on_superseded()

    def _give_up_largest(self, finished: tuple[_Finished, ...]) -> None:
        """End the item whose text no object of the store can hold."""
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
