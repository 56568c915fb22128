"""Counts the memory that requests of one process hold, and notifies its readers."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final, Protocol

from ..decisions import MemoryBudget, MemoryUse
from ..errors import ErrorKind, refuse
from ..logs import logger
from ._messages import Response

#: File of the kernel that states the process's memory in pages; the second figure is
#: the resident memory.
_SIZE_FILE: Final = Path("/proc/self/statm")
#: Size of a process without requests if the kernel doesn't state it, in bytes: that of
#: an entry at its start, rounded up.
_ASSUMED_SIZE_BYTES: Final = 64 * 1024 * 1024
#: Time after which a refused request may be sent again, in seconds. Bodies are in use
#: for some tenths of a second, and another entry may have room at once.
_RETRY_AFTER_S: Final = 0.25
#: Shortest time between two log lines about the state, in seconds. At the edge of the
#: budget the state changes with every answer.
_STATE_LOG_INTERVAL_S: Final = 1.0


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    try:
        pages = int(_SIZE_FILE.read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return _ASSUMED_SIZE_BYTES
    return pages * os.sysconf("SC_PAGE_SIZE")


class AnswerReader(Protocol):
    """Reads an instance's answer and holds parts of it."""

    @property
    def held_bytes(self) -> int:
        """Bytes of the answer that are held."""

    def update_reading(self) -> None:
        """Pause or resume reading."""


class Charge:
    """What one holder has of the budget; after its release it stays at zero."""

    def __init__(self, memory: Memory, use: MemoryUse) -> None:
        self._memory = memory
        self._use = use
        self._is_released = False
        # Memory that the holder has, in bytes.
        self.size_bytes = 0

    def set(self, size_bytes: int) -> None:
        """Set the memory that the holder has."""
        if self._is_released or size_bytes == self.size_bytes:
            return
        delta_bytes = size_bytes - self.size_bytes
        self.size_bytes = size_bytes
        self._memory.change(self._use, delta_bytes)

    def add(self, delta_bytes: int) -> None:
        """Change the memory that the holder has."""
        self.set(self.size_bytes + delta_bytes)

    def release(self) -> None:
        """Return everything to the budget."""
        self.set(0)
        self._is_released = True


class Memory:
    """The memory budget of one process; without a limit it only counts."""

    def __init__(self, limit_bytes: int | None = None) -> None:
        self.budget = MemoryBudget(limit_bytes)
        # Number of requests refused because the budget was full.
        self.refused = 0
        # Called when reading from clients pauses or resumes.
        self.on_state: list[Callable[[], None]] = []
        # Called before a refusal, to count what clients have read meanwhile.
        self.on_recount: list[Callable[[], None]] = []
        # Called when there is no room, with a function that tells whether there is.
        self.on_shortage: list[Callable[[Callable[[], bool]], None]] = []
        # Readers that hold parts of answers, in the order of their first parts.
        self._readers: dict[AnswerReader, None] = {}
        # Monotonic time of the last log line about the state, in seconds.
        self._logged_s = float("-inf")
        self._log = logger(__name__)

    def set_limit(self, limit_bytes: int | None) -> None:
        """Change the budget; what is held stays held."""
        self.budget.limit_bytes = limit_bytes
        if self.budget.update_state():
            self._notify()

    def charge(self, use: MemoryUse) -> Charge:
        """Return a charge for a new holder."""
        return Charge(self, use)

    def change(self, use: MemoryUse, delta_bytes: int) -> None:
        """Count a change of the memory in use."""
        was_near = self.budget.state.is_near
        if not self.budget.change(use, delta_bytes):
            return
        if self.budget.state.is_near != was_near:
            self._log_state()
        self._notify()

    def _log_state(self) -> None:
        now_s = time.monotonic()
        if now_s - self._logged_s < _STATE_LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        budget = self.budget
        self._log.info(
            "memory-near" if budget.state.is_near else "memory-eased",
            used_bytes=budget.used_bytes,
            limit_bytes=budget.limit_bytes,
            answers=len(self._readers),
            **{f"{use.value}_bytes": size for use, size in budget.used_by.items()},
        )

    def _notify(self) -> None:
        for callback in self.on_state:
            callback()
        for reader in tuple(self._readers):
            reader.update_reading()

    # Readers of instances' answers.

    def enter(self, reader: AnswerReader) -> None:
        """Register a reader that begins to hold parts of an answer."""
        self._readers.setdefault(reader)

    def leave(self, reader: AnswerReader) -> None:
        """Remove a reader; the next one may be the oldest now."""
        if reader not in self._readers:
            return
        del self._readers[reader]
        oldest = next(iter(self._readers), None)
        if oldest is not None and self.budget.state.is_near:
            oldest.update_reading()

    def may_read(self, reader: AnswerReader) -> bool:
        """Whether a reader goes on reading its answer."""
        is_oldest = next(iter(self._readers), None) is reader
        return self.budget.may_read_answer(reader.held_bytes, is_oldest)

    # New requests.

    def refusal(self, body_bytes: int) -> Response | None:
        """Return the answer to a new request that is refused; None if it may be read.

        ``body_bytes`` is the declared length of its body.
        """
        has_room = self.find_room(lambda: self.budget.admits(body_bytes))
        return None if has_room else self.refuse()

    def find_room(self, is_enough: Callable[[], bool]) -> bool:
        """Whether there is room, if need be after stalled clients have been ended."""
        if is_enough():
            return True
        for recount in self.on_recount:
            recount()
        for end_stalled in self.on_shortage:
            end_stalled(is_enough)
        return is_enough()

    def refuse(self) -> Response:
        """Count a refused request and return its answer, which says not run."""
        self.refused += 1
        reason = "the memory for requests is in use"
        refusal = refuse(ErrorKind.OVERLOADED, reason, _RETRY_AFTER_S)
        fields = (
            ("Retry-After", f"{refusal.retry_after_s or 0.0:g}"),
            ("Content-Type", "text/plain; charset=utf-8"),
        )
        body = f"{refusal.kind.value}: {refusal.reason}\n".encode()
        return Response(refusal.status, fields, body)
