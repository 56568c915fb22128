"""The latest changes of one kind, for nodes that follow this node's copy."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from itertools import chain
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..platform import EntryChange, EntryChanges

#: Number of watch answers that the log keeps.
_MAX_BATCHES: Final = 200


@attrs.frozen
class _Batch:
    """The changes of one watch answer, complete and in order."""

    # The changes.
    changes: tuple[EntryChange, ...]
    # Revision of the store after these changes.
    revision: int


class ChangeLog:
    """Holds the latest changes and returns those after a given revision."""

    def __init__(self) -> None:
        self._batches: deque[_Batch] = deque()
        # Revision after which the log holds all changes; None before the first list.
        self._oldest_revision: int | None = None
        self._revision = 0
        self._changed = asyncio.Event()

    def reset(self, revision: int) -> None:
        """Restart after a list at ``revision``; earlier changes are unknown."""
        self._batches.clear()
        self._oldest_revision = self._revision = revision
        self._wake_waiters()

    def add(self, changes: tuple[EntryChange, ...], revision: int) -> None:
        """Add the changes of a watch answer that ended at ``revision``."""
        if changes:
            self._batches.append(_Batch(changes, revision))
        if len(self._batches) > _MAX_BATCHES:
            self._oldest_revision = self._batches.popleft().revision
        self._revision = max(self._revision, revision)
        if changes:
            self._wake_waiters()

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def changes_after(
        self, revision: int, hold_s: float
    ) -> EntryChanges | Refusal:
        """Return the changes after ``revision``; wait ``hold_s`` for the first of them.

        The log returns complete batches, so the changes may include some that the
        follower already knows. Applied in order, they lead to the same state.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(hold_s):
                while not self._has_answer(revision):
                    await self._changed.wait()
        if self._oldest_revision is None:
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "not listed yet")
        if revision < self._oldest_revision:
            return refuse(ErrorKind.HISTORY_GONE, "changes that aren't kept")
        later = (item.changes for item in self._batches if item.revision > revision)
        changes = tuple(chain.from_iterable(later))
        return EntryChanges(changes, max(revision, self._revision))

    def _has_answer(self, revision: int) -> bool:
        if self._oldest_revision is not None and revision < self._oldest_revision:
            return True
        return any(item.revision > revision for item in self._batches)
