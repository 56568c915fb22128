"""The latest changes of one kind, for nodes that follow this one's copy."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from itertools import chain
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..platform import EntryChange, EntryChanges

#: Answers of a watch that are kept.
_MOST_BATCHES: Final = 200


@attrs.frozen
class _Batch:
    """What one answer of a watch told, whole and in its order."""

    # The changes.
    changes: tuple[EntryChange, ...]
    # Revision of the store behind them.
    revision: int


class ChangeLog:
    """Changes behind a revision, as far back as they are kept."""

    def __init__(self) -> None:
        self._batches: deque[_Batch] = deque()
        # Revision behind which all changes are kept; None before the first list.
        self._since: int | None = None
        self._revision = 0
        self._grown = asyncio.Event()

    def reset(self, revision: int) -> None:
        """Begin anew behind a list: what came before it isn't known."""
        self._batches.clear()
        self._since = self._revision = revision
        self._wake()

    def add(self, changes: tuple[EntryChange, ...], revision: int) -> None:
        """Take an answer of the watch."""
        if changes:
            self._batches.append(_Batch(changes, revision))
        if len(self._batches) > _MOST_BATCHES:
            self._since = self._batches.popleft().revision
        self._revision = max(self._revision, revision)
        if changes:
            self._wake()

    def _wake(self) -> None:
        self._grown.set()
        self._grown = asyncio.Event()

    async def behind(self, revision: int, hold_s: float) -> EntryChanges | Refusal:
        """Return the changes behind a revision; wait for some if there are none yet.

        Batches are whole, so that a change may come that the follower knows; in their
        order they end in the same state.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(hold_s):
                while not self._is_told(revision):
                    await self._grown.wait()
        if self._since is None:
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "not listed yet")
        if revision < self._since:
            return refuse(ErrorKind.HISTORY_GONE, "changes that aren't kept")
        later = (item.changes for item in self._batches if item.revision > revision)
        changes = tuple(chain.from_iterable(later))
        return EntryChanges(changes, max(revision, self._revision))

    def _is_told(self, revision: int) -> bool:
        if self._since is not None and revision < self._since:
            return True
        return any(item.revision > revision for item in self._batches)
