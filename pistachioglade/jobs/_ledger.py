"""Every job as the store has it, at every node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from functools import cached_property
from typing import Any, Final

import attrs

from ..errors import Refusal
from ..fleet import Job
from ..logs import logger
from ..messages import BatchRecord
from ..platform import Entry, decode_job
from ._records import (
    RecordKind,
    RecordName,
    Submission,
    decode_owner_change,
    decode_submission,
    parse_name,
)

#: Largest page of results that a reader gets, under the megabyte that is allowed.
_PAGE_BYTES: Final = 900_000


@attrs.define(slots=False, eq=False)
class JobState:
    """One job."""

    # Id of the job.
    id: str
    # The submission; None while only later objects have been seen.
    submission: Submission | None = None
    # Entry that runs it; empty while it is not known.
    owner: str = ""
    # Revision of the object that names the owner; 0 for the first owner.
    owner_revision: int = 0
    # Entry that ran it before the owner; empty if there was none.
    earlier_owner: str = ""
    # Whether that entry lived when the job passed on, so that it can be asked.
    is_earlier_alive: bool = False
    # Whether the trainer has ended it.
    is_ended: bool = False
    # Results by position, encoded.
    results: list[str] = attrs.field(factory=list)
    # Items that have a result.
    done: set[str] = attrs.field(factory=set)
    # All batches of results that are known, from the first on.
    batches: list[BatchRecord] = attrs.field(factory=list)
    # When this process saw its submission, in seconds of the monotonic clock.
    first_seen_s: float = 0.0
    # Whether the store may have results that aren't known here, though it is new.
    may_lack_results: bool = False
    # Readers that wait for results.
    waiters: set[asyncio.Future[None]] = attrs.field(factory=set)
    # Readers that ask its owner.
    owner_waiters: set[asyncio.Future[None]] = attrs.field(factory=set)

    @cached_property
    def job(self) -> Job | Refusal:
        """The submission, decoded, once all of it is here."""
        assert self.submission is not None and self.is_whole
        sent = self.submission
        return decode_job(self.id, sent.host, sent.path, sent.fields)

    @property
    def total(self) -> int:
        """How many items it has."""
        assert self.submission is not None
        if not self.submission.is_whole:
            return self.submission.total
        return 0 if isinstance(self.job, Refusal) else len(self.job.items)

    @property
    def model(self) -> str:
        """Model that it asks for."""
        assert self.submission is not None
        if not self.submission.is_whole:
            return self.submission.model
        return "" if isinstance(self.job, Refusal) else self.job.model

    @property
    def step(self) -> int:
        """Number of the step that it is."""
        return 0 if self.submission is None else self.submission.step

    @property
    def is_whole(self) -> bool:
        """Whether all of its submission is here."""
        return self.submission is not None and self.submission.is_whole

    def complete(self, fields: Mapping[str, Any]) -> None:
        """Take what the trainer sent, joined from its parts."""
        assert self.submission is not None
        self.submission = attrs.evolve(self.submission, fields=fields, part_count=0)

    @property
    def is_open(self) -> bool:
        """Whether items may still run for it."""
        if self.submission is None or self.is_ended:
            return False
        return len(self.done) < self.total

    def page(self, after: int) -> tuple[str, ...]:
        """Return the results from a position on, as many as a page holds."""
        chosen: list[str] = []
        size = 0
        for result in self.results[after:]:
            size += len(result)
            if chosen and size > _PAGE_BYTES:
                break
            chosen.append(result)
        return tuple(chosen)

    async def wait_for_more(self, after: int, within_s: float) -> None:
        """Wait until a result stands at a position, or time is up."""
        if len(self.results) > after or within_s <= 0.0:
            return
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(within_s):
                await waiter
        except TimeoutError:
            return
        finally:
            self.waiters.discard(waiter)

    def owner_change(self) -> asyncio.Future[None]:
        """Return a future that is done when the job passes on; cancel it when done."""
        waiter = asyncio.get_running_loop().create_future()
        self.owner_waiters.add(waiter)
        waiter.add_done_callback(self.owner_waiters.discard)
        return waiter

    @property
    def next_batch(self) -> int:
        """Number of the batch that comes next."""
        return len(self.batches)

    def add_batch(self, number: int, batch: BatchRecord) -> None:
        """Take the next batch; one that is known already says the same again."""
        if number != self.next_batch:
            return
        self.batches.append(batch)
        self.results.extend(batch.results)
        self.done.update(batch.item_ids)
        self.wake()

    def wake(self) -> None:
        """Let readers look again."""
        _end(self.waiters)

    def passed_on(self) -> None:
        """Let readers ask the new owner."""
        _end(self.owner_waiters)


def _end(waiters: Iterable[asyncio.Future[None]]) -> None:
    for waiter in tuple(waiters):
        if not waiter.done():
            waiter.set_result(None)


def _submit(state: JobState, value: Any) -> Refusal | None:
    read = decode_submission(value)
    if isinstance(read, Refusal):
        return read
    if state.submission is None:
        state.first_seen_s = asyncio.get_running_loop().time()
    state.submission = read
    state.owner = state.owner or read.owner
    return None


def _pass_on(state: JobState, entry: Entry) -> Refusal | None:
    change = decode_owner_change(entry.value)
    if isinstance(change, Refusal):
        return change
    state.earlier_owner = change.earlier
    state.is_earlier_alive = change.is_alive
    state.owner = change.owner
    state.owner_revision = entry.revision
    state.passed_on()
    return None


class JobLedger:
    """Builds the jobs from the objects of the store."""

    def __init__(self) -> None:
        self._log = logger(__name__)
        # Jobs by id.
        self.jobs: dict[str, JobState] = {}
        # Called with each job that has changed.
        self.on_change: list[Callable[[JobState], None]] = []

    def find(self, job_id: str) -> JobState | None:
        """Return a job whose submission is known."""
        state = self.jobs.get(job_id)
        return state if state is not None and state.submission is not None else None

    def take(self, entry: Entry, is_removed: bool) -> None:
        """Take an object, or its removal."""
        name = parse_name(entry.name)
        if name is None:
            self._log.error("job-record-unknown", name=entry.name)
            return
        if is_removed:
            self._removed(name)
            return
        state = self.jobs.setdefault(name.job_id, JobState(name.job_id))
        refusal = self._apply(state, name, entry)
        if refusal is not None:
            self._log.error(
                "job-record-unreadable", name=entry.name, reason=refusal.reason
            )
            return
        for callback in self.on_change:
            callback(state)

    def _removed(self, name: RecordName) -> None:
        if name.kind is RecordKind.SUBMISSION:
            self.jobs.pop(name.job_id, None)

    def _apply(self, state: JobState, name: RecordName, entry: Entry) -> Refusal | None:
        """Put a record in force; what can't be read changes nothing."""
        match name.kind:
            case RecordKind.SUBMISSION:
                return None if state.is_whole else _submit(state, entry.value)
            case RecordKind.OWNER:
                if entry.revision > state.owner_revision:
                    return _pass_on(state, entry)
            case RecordKind.END:
                state.is_ended = True
            case RecordKind.BATCH:
                self._log.error("job-record-misplaced", name=entry.name)
        return None

    def add_batch(self, state: JobState, number: int, batch: BatchRecord) -> None:
        """Take a batch of results that the store has."""
        state.add_batch(number, batch)
        for callback in self.on_change:
            callback(state)
