"""Decides how much memory the requests of one process may hold.

Expected load: bodies of up to 32 MB that arrive together, and some sixty callers that
read answers of about a megabyte slowly, at a process that has 100 MB or less beside its
own size. Without a bound the system would end the process with all its requests.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import Final

import attrs

#: Bytes in a megabyte of the settings. Should they mean 1,048,576 bytes, the budget is
#: 5% smaller than intended, which does no harm.
MEGABYTE_BYTES: Final = 1_000_000
#: Fraction of the memory beside the process's own size that requests may hold. The
#: rest is for what isn't counted: texts of jobs, copies of the store's lists, unused
#: space of the allocator, and bytes that are copied while they are read or written.
_BUDGET_FRACTION: Final = 0.5
#: Smallest budget. With less, a process whose settings state less memory than it has
#: needed for itself would refuse even small requests, without need.
_LEAST_BUDGET_BYTES: Final = 4 * 1024 * 1024
#: Fraction of the budget from which reading pauses, and the lower one from which it
#: resumes, so that reading isn't paused and resumed with each message.
_NEAR_FRACTION: Final = 0.8
_EASED_FRACTION: Final = 0.7
#: Fraction of the budget that the unread events of one stream may hold: a dozen slow
#: callers can be read ahead for before reading pauses for all.
_STREAM_FRACTION: Final = 1 / 16
#: Largest body of a small request, in bytes.
_SMALL_BODY_BYTES: Final = 64 * 1024
#: Fraction of the budget up to which larger bodies are admitted; the rest is for small
#: requests. A body that is alone may take the whole budget.
_LARGE_BODY_FRACTION: Final = 7 / 8
#: Fraction of the budget that jobs may hold. They are held for seconds, and lookups
#: need room meanwhile.
_JOB_FRACTION: Final = 3 / 4
#: Bytes of an answer that are read also near the budget. Events of a sample, which are
#: consumed at once, and short answers therefore never wait.
_SMALL_ANSWER_BYTES: Final = 64 * 1024


class MemoryUse(Enum):
    """What the counted memory is held for."""

    # Bodies of requests: being read (their declared length) or in use.
    BODY = "bodies"
    # Heads of requests beyond the usual size, and bytes sent ahead.
    HEAD = "heads"
    # Submissions of jobs.
    JOB = "jobs"
    # Answers and events that clients haven't read yet.
    UNSENT = "unsent"
    # Parts of instances' answers that haven't been passed on yet.
    ANSWER = "answers"


def budget_bytes(memory_mb: float | None, own_bytes: int) -> int | None:
    """Return the budget of a process; None if its memory is not limited.

    ``own_bytes`` is the size of the process without requests.
    """
    if memory_mb is None:
        return None
    free_bytes = memory_mb * MEGABYTE_BYTES - own_bytes
    return max(_LEAST_BUDGET_BYTES, int(free_bytes * _BUDGET_FRACTION))


@attrs.frozen
class MemoryState:
    """What decides who may read; readers are notified when it changes."""

    # Whether reading pauses.
    is_near: bool = False
    # Whether new requests are refused.
    is_full: bool = False
    # Whether the budget is full although clients hold nothing of it, so that only
    # answers that are being read can free memory.
    is_full_of_answers: bool = False


@attrs.define
class MemoryBudget:
    """The budget of one process and what its requests hold of it."""

    # Memory that requests may hold, in bytes; None for no bound.
    limit_bytes: int | None = None
    # Memory in use, in bytes.
    used_bytes: int = 0
    # Memory in use by purpose, in bytes.
    used_by: Counter[MemoryUse] = attrs.field(factory=Counter)
    # State after the last change.
    state: MemoryState = MemoryState()

    def change(self, use: MemoryUse, delta_bytes: int) -> bool:
        """Count a change of the memory in use; return whether the state changed."""
        self.used_by[use] += delta_bytes
        self.used_bytes += delta_bytes
        return self.update_state()

    def update_state(self) -> bool:
        """Bring the state up to date; return whether it changed."""
        earlier, limit_bytes = self.state, self.limit_bytes
        if limit_bytes is None:
            self.state = MemoryState()
            return earlier != self.state
        fraction = _EASED_FRACTION if earlier.is_near else _NEAR_FRACTION
        is_full = self.used_bytes >= limit_bytes
        self.state = MemoryState(
            self.used_bytes >= fraction * limit_bytes,
            is_full,
            is_full and self.used_by[MemoryUse.UNSENT] == 0,
        )
        return earlier != self.state

    def admits(self, body_bytes: int) -> bool:
        """Whether a new request may be read whose body has a declared length."""
        if self.limit_bytes is None:
            return True
        is_for_all = body_bytes <= _SMALL_BODY_BYTES or not self.used_bytes
        fraction = 1.0 if is_for_all else _LARGE_BODY_FRACTION
        is_within = self.used_bytes + body_bytes <= fraction * self.limit_bytes
        return is_within and not self.state.is_full

    @property
    def job_limit_bytes(self) -> int | None:
        """Memory that jobs may hold together; None for no bound."""
        limit_bytes = self.limit_bytes
        return None if limit_bytes is None else int(limit_bytes * _JOB_FRACTION)

    def admits_job(self, size_bytes: int) -> bool:
        """Whether jobs may hold more memory."""
        if self.limit_bytes is None or self.job_limit_bytes is None:
            return True
        is_within = self.used_bytes + size_bytes <= self.limit_bytes
        job_bytes = self.used_by[MemoryUse.JOB] + size_bytes
        return is_within and job_bytes <= self.job_limit_bytes

    def may_read_answer(self, held_bytes: int, is_oldest: bool) -> bool:
        """Whether reading an instance's answer goes on.

        Near the budget the oldest answer is still read to its end, as otherwise answers
        that wait for each other would hold the budget for good. Once the budget is full
        it waits too, unless no client holds memory that will become free.
        """
        state = self.state
        if not state.is_near or held_bytes <= _SMALL_ANSWER_BYTES:
            return True
        return is_oldest and (not state.is_full or state.is_full_of_answers)

    @property
    def stream_part_bytes(self) -> int | None:
        """Unread bytes of a stream from which reading waits for the caller.

        None if only the transport's usual bound applies: near the budget, and without
        any bound.
        """
        if self.limit_bytes is None or self.state.is_near:
            return None
        return int(self.limit_bytes * _STREAM_FRACTION)
