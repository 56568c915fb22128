"""The jobs of the store as each node knows them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Any, Final

import attrs

from ..decisions import MemoryUse
from ..errors import Refusal
from ..fleet import Job
from ..http1 import Charge, Memory
from ..logs import logger
from ..messages import BatchRecord
from ..platform import Entry
from ._content import JobContent, content_of_fields
from ._records import (
    RecordKind,
    RecordName,
    Submission,
    decode_owner_change,
    decode_submission,
    parse_name,
)

#: Most bytes of results in one page, below the allowed megabyte.
_PAGE_BYTES: Final = 900_000


class RecordSource(Enum):
    """How this node got an object of the store."""

    # The list or watch of jobs, which may be seconds old.
    WATCH = "watch"
    # A read that returns the current object.
    READ = "read"
    # A message of another entry.
    MESSAGE = "message"
    # A write of this node.
    WRITE = "write"


@attrs.define(slots=False, eq=False)
class JobState:
    """What this node knows of one job: submission, owner, results and readers."""

    # Id of the job.
    id: str
    # Monotonic time at which this process first saw an object of the job, in seconds.
    created_s: float
    # The submission; None while only other objects of the job have been seen.
    submission: Submission | None = None
    # Entry that runs the job; empty while unknown.
    owner: str = ""
    # Revision of the object that names the owner; 0 while the first owner has the job.
    owner_revision: int = 0
    # Entry that ran the job before the owner; empty if there was none.
    earlier_owner: str = ""
    # Whether the earlier owner was alive at the change and can be asked for texts.
    is_earlier_alive: bool = False
    # How this node learnt that the trainer has ended the job; None while it hasn't.
    end_source: RecordSource | None = None
    # Whether the submission came straight from the entry that accepted it, so that the
    # store has no end of the job yet.
    is_newly_accepted: bool = False
    # Results by position, in JSON.
    results: list[str] = attrs.field(factory=list)
    # Ids of the items that have a result.
    done: set[str] = attrs.field(factory=set)
    # All known batches of results, from the first on.
    batches: list[BatchRecord] = attrs.field(factory=list)
    # Monotonic time at which this process first saw the submission, in seconds.
    first_seen_s: float = 0.0
    # Whether the store may have results that aren't known here, even if the job is new.
    may_lack_results: bool = False
    # Futures of readers that wait for results.
    waiters: set[asyncio.Future[None]] = attrs.field(factory=set)
    # Futures of readers that wait for the owner's answer or a new owner.
    owner_waiters: set[asyncio.Future[None]] = attrs.field(factory=set)

    # Content of the submission; None while only the store or another entry has it.
    content: JobContent | None = None
    # What the content holds of the memory budget; None without a charge.
    charge: Charge | None = None

    @property
    def job(self) -> Job | Refusal:
        """The decoded submission; only valid while ``is_complete``."""
        assert self.content is not None
        return self.content.job

    @property
    def total(self) -> int:
        """Number of items."""
        assert self.submission is not None
        if self.content is None:
            return self.submission.total
        return 0 if isinstance(self.job, Refusal) else len(self.job.items)

    @property
    def model(self) -> str:
        """Model that the job asks for."""
        assert self.submission is not None
        if self.content is None:
            return self.submission.model
        return "" if isinstance(self.job, Refusal) else self.job.model

    @property
    def step(self) -> int:
        """Number of the trainer's step that the job belongs to."""
        return 0 if self.submission is None else self.submission.step

    @property
    def account(self) -> str:
        """Account that the job belongs to; empty if it belongs to none."""
        return "" if self.submission is None else self.submission.account

    @property
    def is_complete(self) -> bool:
        """Whether the submission is here, with its content."""
        return self.submission is not None and self.content is not None

    @property
    def is_ended(self) -> bool:
        """Whether the trainer has ended the job."""
        return self.end_source is not None

    def drop_content(self) -> None:
        """Forget the content, which the parts in the store have as well."""
        if self.submission is None or not self.submission.part_count:
            return
        if self.charge is not None:
            self.charge.release()
        self.content = self.charge = None

    @property
    def is_open(self) -> bool:
        """Whether items of the job may still run."""
        if self.submission is None or self.is_ended:
            return False
        return len(self.done) < self.total

    def page(self, after: int) -> tuple[str, ...]:
        """Return results from a position on: one, and more up to a page's size."""
        chosen: list[str] = []
        size = 0
        for result in self.results[after:]:
            size += len(result)
            if chosen and size > _PAGE_BYTES:
                break
            chosen.append(result)
        return tuple(chosen)

    async def wait_for_more(self, after: int, within_s: float) -> None:
        """Wait until a result at a position is known, or the time is over."""
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

    def owner_change_future(self) -> asyncio.Future[None]:
        """Return a future that is done when the owner changes.

        The caller cancels the future when it is not needed any more.
        """
        waiter = asyncio.get_running_loop().create_future()
        self.owner_waiters.add(waiter)
        waiter.add_done_callback(self.owner_waiters.discard)
        return waiter

    @property
    def next_batch_number(self) -> int:
        """Number of the next batch of results."""
        return len(self.batches)

    def add_batch(self, number: int, batch: BatchRecord) -> None:
        """Add the next batch; ignore one with another number, such as a known batch."""
        if number != self.next_batch_number:
            return
        self.batches.append(batch)
        self.results.extend(batch.results)
        self.done.update(batch.item_ids)
        self.wake_result_waiters()

    def wake_result_waiters(self) -> None:
        """Wake the readers that wait for results."""
        _wake_all(self.waiters)

    def wake_owner_waiters(self) -> None:
        """Wake the readers that wait for the earlier owner's answer."""
        _wake_all(self.owner_waiters)


#: Sources of a submission that an entry has just accepted.
_ACCEPTING_SOURCES: Final = frozenset({RecordSource.MESSAGE, RecordSource.WRITE})


def _wake_all(waiters: Iterable[asyncio.Future[None]]) -> None:
    for waiter in tuple(waiters):
        if not waiter.done():
            waiter.set_result(None)


def _apply_submission(
    state: JobState, value: Any, source: RecordSource
) -> Refusal | None:
    submission = decode_submission(value)
    if isinstance(submission, Refusal):
        return submission
    if state.submission is None:
        state.first_seen_s = asyncio.get_running_loop().time()
        state.is_newly_accepted = source in _ACCEPTING_SOURCES
    if submission.has_fields and state.content is None:
        state.content = content_of_fields(
            state.id, submission.host, submission.path, submission.fields
        )
    state.submission = attrs.evolve(submission, fields={})
    state.owner = state.owner or submission.owner
    return None


def _apply_owner_change(state: JobState, entry: Entry) -> Refusal | None:
    change = decode_owner_change(entry.value)
    if isinstance(change, Refusal):
        return change
    state.earlier_owner = change.earlier
    state.is_earlier_alive = change.is_alive
    state.owner = change.owner
    state.owner_revision = entry.revision
    state.wake_owner_waiters()
    return None


class JobLedger:
    """Holds the jobs, built from the objects of the store."""

    def __init__(self, memory: Memory | None = None) -> None:
        self._log = logger(__name__)
        self._memory = memory or Memory()
        self._memory.on_shortage.insert(0, self._drop_unneeded)
        # Tells whether this node needs the content of an open job.
        self.is_needed: Callable[[JobState], bool] = lambda state: True
        # All jobs, by id.
        self.jobs: dict[str, JobState] = {}
        # Called with a job after each change of its state.
        self.on_change: list[Callable[[JobState], None]] = []

    def find(self, job_id: str) -> JobState | None:
        """Return a job; None while its submission isn't known."""
        state = self.jobs.get(job_id)
        return state if state is not None and state.submission is not None else None

    def apply_entry(
        self,
        entry: Entry,
        is_removed: bool,
        source: RecordSource = RecordSource.WATCH,
    ) -> None:
        """Apply an object of the store, or its removal."""
        name = parse_name(entry.name)
        if name is None:
            self._log.error("job-record-unknown", name=entry.name)
            return
        if is_removed:
            self._remove(name)
            return
        now_s = asyncio.get_running_loop().time()
        state = self.jobs.setdefault(name.job_id, JobState(name.job_id, now_s))
        refusal = self._apply(state, name, entry, source)
        if refusal is not None:
            self._log.error(
                "job-record-unreadable", name=entry.name, reason=refusal.reason
            )
            return
        self._notify(state)

    def _notify(self, state: JobState) -> None:
        """Report a change; an ended or complete job needs its content no more."""
        for callback in self.on_change:
            callback(state)
        if state.content is not None and not state.is_open:
            state.drop_content()

    # Contents, and the memory that they hold.

    @contextmanager
    def charging(self) -> Iterator[Charge]:
        """Charge a content while it is made; :meth:`hold` keeps it and its charge."""
        charge = self._memory.charge(MemoryUse.JOB)
        try:
            yield charge
        finally:
            charge.release()

    def find_room(self, size_bytes: int) -> bool:
        """Whether contents may take more memory, if need be in place of others."""
        return self._memory.find_room(
            lambda: self._memory.budget.admits_job(size_bytes)
        )

    def find_room_for_answer(self, size_bytes: int) -> bool:
        """Whether an answer of a size may be made, if need be in place of contents."""
        return self._memory.find_room(lambda: self._memory.budget.admits(size_bytes))

    def exceeds_budget(self, size_bytes: int) -> bool:
        """Whether a content is larger than all that contents may take together."""
        limit_bytes = self._memory.budget.job_limit_bytes
        return limit_bytes is not None and size_bytes > limit_bytes

    def hold(self, state: JobState, content: JobContent, charge: Charge) -> None:
        """Keep the content of a job as long as it is needed, or has room.

        What was charged for it so far is charged to the job.
        """
        charge.release()
        if state.content is not None or not state.is_open:
            return
        state.content, state.charge = content, self._memory.charge(MemoryUse.JOB)
        state.charge.set(content.held_bytes)

    def _drop_unneeded(self, is_enough: Callable[[], bool]) -> None:
        """Forget the contents of other nodes' jobs, the oldest first, for room."""
        for state in tuple(self.jobs.values()):
            if is_enough():
                return
            if state.content is not None and not self.is_needed(state):
                state.drop_content()

    def _remove(self, name: RecordName) -> None:
        state = self.jobs.get(name.job_id)
        is_last = name.kind is RecordKind.END and state and not state.submission
        if name.kind is RecordKind.SUBMISSION or is_last:
            removed = self.jobs.pop(name.job_id, None)
            if removed is not None and removed.charge is not None:
                removed.charge.release()

    def _apply(
        self, state: JobState, name: RecordName, entry: Entry, source: RecordSource
    ) -> Refusal | None:
        """Apply a record; an unreadable record changes nothing and gives a refusal."""
        match name.kind:
            case RecordKind.SUBMISSION:
                known = state.submission
                if known is None or known.has_fields or not state.is_complete:
                    return _apply_submission(state, entry.value, source)
            case RecordKind.OWNER:
                if entry.revision > state.owner_revision:
                    return _apply_owner_change(state, entry)
            case RecordKind.END:
                state.end_source = state.end_source or source
            case RecordKind.BATCH:
                self._log.error("job-record-misplaced", name=entry.name)
        return None

    def add_batch(self, state: JobState, number: int, batch: BatchRecord) -> None:
        """Add a batch of results that the store has."""
        state.add_batch(number, batch)
        self._notify(state)
