"""A local copy of all objects of one kind, kept by a list and a watch."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

from ..decisions import Mechanism
from ..errors import ErrorKind, Refusal, refuse
from ..logs import logger
from ..platform import Entry, EntryChanges
from ._change_log import ChangeLog
from ._client import StoreClient

#: Time that one watch waits. Each is paid for; a connection that has fallen silent is
#: found by its keep-alive probes, not by the end of the wait.
WATCH_HOLD_S: Final = 10.0
#: Least pause after a watch or list that failed.
_PAUSE_S: Final = 0.2
#: Longest pause; any call of the process that works ends it.
_LONGEST_PAUSE_S: Final = 0.8

#: Pause after an answer that can't be read: it is paid for, and soon read again it says
#: the same.
_UNREADABLE_PAUSE_S: Final = 1.0


def _pause_s(refusal: Refusal) -> float:
    """Return how long to leave the store alone behind a failed call."""
    is_unreadable = refusal.kind is ErrorKind.UNREADABLE
    return _UNREADABLE_PAUSE_S if is_unreadable else _PAUSE_S


#: Takes an object as it is now, or as it was when it was removed.
OnChange = Callable[[Entry, bool], None]


#: Returns the changes of a kind behind a revision as another node knows them, or None
#: if the store has to be asked.
Follow = Callable[[str, int], Awaitable[EntryChanges | Refusal | None]]


class Mirror:
    """Follows one kind; never goes back behind a revision that it has shown.

    Changes that follow each other within ``gather_s`` come with one call. Lists are
    always of now; while ``may_be_late``, changes may come some seconds late, at a tenth
    of the price.
    """

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        on_change: OnChange,
        hold_s: float = WATCH_HOLD_S,
        gather_s: Callable[[], float] = float,
        may_be_late: Callable[[], bool] = bool,
        follow: Follow | None = None,
    ) -> None:
        # Asks another node for changes; None if there is none to follow.
        self._ask_relay = follow
        self._is_relayed = False
        # Latest changes, for nodes that follow this copy.
        self.log = ChangeLog()
        self._store = store
        self._kind = kind
        self._on_change = on_change
        self._hold_s = hold_s
        self._gather_s = gather_s
        self._may_be_late = may_be_late
        self._revision = 0
        self._is_hurried = asyncio.Event()
        self._log = logger(__name__)
        # The objects by name.
        self.entries: dict[str, Entry] = {}
        # Set once the first list has been read.
        self.is_synced = asyncio.Event()
        # When a call last succeeded; None before the first.
        self.seen_s: float | None = None

    async def run(self) -> None:
        """Follow the kind for good."""
        while True:
            refusal = await self._list()
            if refusal is not None:
                await asyncio.sleep(_pause_s(refusal))
                await self._store.wait_after_failure(_LONGEST_PAUSE_S)
                continue
            self.is_synced.set()
            await self._follow()

    async def _list(self) -> Refusal | None:
        """Read the whole list; return why it could not be taken."""
        found: dict[str, Entry] = {}
        after = ""
        revision: int | None = None
        while True:
            page = await self._store.page(self._kind, after)
            if isinstance(page, Refusal):
                return self._list_failed(page)
            found.update((entry.name, entry) for entry in page.entries)
            revision = page.revision if revision is None else revision
            if not page.has_more:
                break
            # Objects that can't be named at a page's end come again with the next.
            last = max((entry.name for entry in page.entries), default=after)
            if last <= after:
                return self._list_failed(refuse(ErrorKind.UNREADABLE, "no next name"))
            after = last
        if revision < self._revision:
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "a list of before")
        self._take_list(found, revision)
        return None

    def _list_failed(self, refusal: Refusal) -> Refusal:
        self._log.warning("list-failed", kind=self._kind, reason=refusal.reason)
        return refusal

    def _take_list(self, found: dict[str, Entry], revision: int) -> None:
        self._revision = revision
        self.log.reset(revision)
        self._touch()
        gone = [
            entry
            for name, entry in self.entries.items()
            if name not in found and entry.revision <= revision
        ]
        for entry in gone:
            self._apply(entry, True)
        for entry in found.values():
            known = self.entries.get(entry.name)
            if known is None or known.revision < entry.revision:
                self._apply(entry, False)

    async def _follow(self) -> None:
        """Watch until the history that is needed is gone."""
        while True:
            told = await self._changes()
            if told is None:
                continue
            if isinstance(told, Refusal):
                if told.kind is ErrorKind.HISTORY_GONE:
                    self._log.info("watch-restarted", kind=self._kind)
                    return
                await asyncio.sleep(_pause_s(told))
                if told.kind is ErrorKind.UNREADABLE:
                    return
                await self._store.wait_after_failure(_LONGEST_PAUSE_S)
                continue
            self._touch()
            for change in told.changes:
                known = self.entries.get(change.entry.name)
                is_newer = known is None or known.revision <= change.entry.revision
                if is_newer or change.is_removed:
                    self._apply(change.entry, change.is_removed)
            if told.nameless:
                # What changed is not known, but by a list.
                await asyncio.sleep(_PAUSE_S)
                return
            self._revision = max(self._revision, told.revision)
            self.log.add(told.changes, self._revision)
            if told.changes and not self._is_relayed:
                await self._pause(self._gather_s())

    async def _pause(self, gather_s: float) -> None:
        """Let changes gather, unless somebody wants them at once."""
        if not self._store.policy.uses(Mechanism.GATHERED_CHANGES):
            return
        with suppress(TimeoutError):
            await asyncio.wait_for(self._is_hurried.wait(), gather_s)

    def hurry(self) -> None:
        """Ask for changes at once, as when this node begins to need them sooner."""
        self._is_hurried.set()

    async def _changes(self) -> EntryChanges | Refusal | None:
        """Watch once; None if it has to start anew.

        It has where the store came back meanwhile or another way to it was found, and
        where somebody is in a hurry.
        """
        self._is_hurried.clear()
        is_cheap = self._store.policy.uses(Mechanism.CHEAP_WATCHES)
        renewal = self._store.renewal()
        hurry = asyncio.get_running_loop().create_task(self._is_hurried.wait())
        watch = asyncio.get_running_loop().create_task(
            self._told(is_cheap and self._may_be_late())
        )
        try:
            await asyncio.wait(
                (watch, renewal, hurry), return_when=asyncio.FIRST_COMPLETED
            )
            return watch.result() if watch.done() else None
        finally:
            for waiter in (renewal, hurry, watch):
                waiter.cancel()

    async def _told(self, may_be_old: bool) -> EntryChanges | Refusal:
        """Return changes, by way of another node's copy where there is one."""
        if self._ask_relay is not None:
            told = await self._ask_relay(self._kind, self._revision)
            self._is_relayed = told is not None
            if told is not None:
                return told
        return await self._store.changes(
            self._kind, self._revision, self._hold_s, may_be_old
        )

    @property
    def age_s(self) -> float:
        """Seconds since a call for this kind last succeeded; infinite before that."""
        if self.seen_s is None:
            return float("inf")
        return asyncio.get_running_loop().time() - self.seen_s

    def _touch(self) -> None:
        self.seen_s = asyncio.get_running_loop().time()

    def put(self, entry: Entry) -> None:
        """Take an object that a call of this node has returned."""
        known = self.entries.get(entry.name)
        if known is None or known.revision < entry.revision:
            self._apply(entry, False)

    def _apply(self, entry: Entry, is_removed: bool) -> None:
        if is_removed:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        try:
            self._on_change(entry, is_removed)
        except Exception:
            # One object must not end the copy of all others.
            self._log.exception("entry-not-taken", kind=self._kind, entry=entry.name)
