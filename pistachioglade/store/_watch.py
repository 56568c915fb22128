"""A local copy of all objects of one kind, kept current by a list and a watch."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

from ..decisions import (
    Mechanism,
    is_copy_current,
    watch_answer_time_s,
    watch_hold_s,
)
from ..errors import ErrorKind, Refusal, refuse
from ..logs import logger
from ..platform import Entry, EntryChange, EntryChanges
from ._change_log import ChangeLog
from ._client import StoreClient

#: Time for which the store holds one watch if a copy may be old. Each watch costs a
#: call.
WATCH_HOLD_S: Final = 10.0
#: Shortest pause after a failed watch or list.
_RETRY_PAUSE_S: Final = 0.2
#: Longest wait after that pause; any answered call of the process ends the wait.
_MAX_RECOVERY_WAIT_S: Final = 0.8

#: Pause after an unreadable answer: each answer costs a call, and an immediate retry
#: would get the same answer.
_UNREADABLE_PAUSE_S: Final = 1.0


def _retry_pause_s(refusal: Refusal) -> float:
    """Return the pause after a failed call, in seconds."""
    is_unreadable = refusal.kind is ErrorKind.UNREADABLE
    return _UNREADABLE_PAUSE_S if is_unreadable else _RETRY_PAUSE_S


#: Receives an object and whether it was removed; a removed object has its last value.
OnChange = Callable[[Entry, bool], None]


#: Returns the time for which an old copy may be used, in seconds; None if no bound
#: applies.
Bound = Callable[[], float | None]


def _unbounded() -> None:
    return None


#: Returns the changes of a kind after a revision from another node's copy, or None if
#: the store has to be asked.
FetchChangesFrom = Callable[[str, int], Awaitable[EntryChanges | Refusal | None]]


class Mirror:
    """Copies the objects of one kind; an object never returns to an older revision.

    Changes that follow each other within ``batch_window_s`` are fetched with one call.
    Lists are always current; while ``may_be_stale`` holds, changes may be some seconds
    stale, at a tenth of the price.

    While ``bound_s`` returns a time, a watch that the store doesn't answer is replaced
    early enough for the copy to show each change within that time.
    """

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        on_change: OnChange,
        hold_s: float = WATCH_HOLD_S,
        batch_window_s: Callable[[], float] = float,
        may_be_stale: Callable[[], bool] = bool,
        follow: FetchChangesFrom | None = None,
        bound_s: Bound = _unbounded,
    ) -> None:
        # Asks another node for changes; None if there is no such node.
        self._ask_relay = follow
        self._is_relayed = False
        # Whether the last watch may be stale or was sent to a relay.
        self._is_delayed = False
        # Latest changes, for nodes that follow this copy.
        self.log = ChangeLog()
        self._store = store
        self._kind = kind
        self._on_change = on_change
        self._hold_s = hold_s
        self._batch_window_s = batch_window_s
        self._may_be_stale = may_be_stale
        # Returns the time for which an old copy may be used.
        self._bound_s = bound_s
        # Whether the last watch was replaced since its answer was overdue.
        self._was_overdue = False
        # Whether the last answer was late, so that the next one gets a call's time.
        self._is_slow = False
        self._revision = 0
        self._is_urgent = asyncio.Event()
        self._log = logger(__name__)
        # The objects by name.
        self.entries: dict[str, Entry] = {}
        # Set once the first list has been read.
        self.is_synced = asyncio.Event()
        # Monotonic time of the last successful call; None before the first.
        self.last_success_s: float | None = None

    async def run(self) -> None:
        """Keep the copy current until cancelled."""
        while True:
            refusal = await self._list()
            if refusal is not None:
                await asyncio.sleep(_retry_pause_s(refusal))
                await self._store.wait_for_answer(_MAX_RECOVERY_WAIT_S)
                continue
            self.is_synced.set()
            await self._follow()

    async def _list(self) -> Refusal | None:
        """Read and apply the whole list; return the refusal if that fails."""
        found: dict[str, Entry] = {}
        after = ""
        revision: int | None = None
        while True:
            page = await self._store.page(self._kind, after)
            if isinstance(page, Refusal):
                return self._log_list_failure(page)
            found.update((entry.name, entry) for entry in page.entries)
            revision = page.revision if revision is None else revision
            if not page.has_more:
                break
            # Nameless objects at the end of a page come again with the next page.
            last = max((entry.name for entry in page.entries), default=after)
            if last <= after:
                return self._log_list_failure(
                    refuse(ErrorKind.UNREADABLE, "no next name")
                )
            after = last
        if revision < self._revision:
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "a list of before")
        self._apply_list(found, revision)
        return None

    def _log_list_failure(self, refusal: Refusal) -> Refusal:
        self._log.warning("list-failed", kind=self._kind, reason=refusal.reason)
        return refusal

    def _apply_list(self, found: dict[str, Entry], revision: int) -> None:
        self._revision = revision
        self.log.reset(revision)
        self._record_success()
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
        """Watch until the copy has to be listed again."""
        while True:
            answer = await self._watch_once()
            if answer is None:
                continue
            if isinstance(answer, Refusal):
                if answer.kind is ErrorKind.HISTORY_GONE:
                    self._log.info("watch-restarted", kind=self._kind)
                    return
                await asyncio.sleep(_retry_pause_s(answer))
                if answer.kind is ErrorKind.UNREADABLE:
                    return
                await self._store.wait_for_answer(_MAX_RECOVERY_WAIT_S)
                continue
            self._record_success()
            for change in answer.changes:
                known = self.entries.get(change.entry.name)
                is_newer = known is None or known.revision <= change.entry.revision
                if is_newer or change.is_removed:
                    self._apply(change.entry, change.is_removed)
            if answer.nameless:
                # Only a list shows what has changed.
                await asyncio.sleep(_RETRY_PAUSE_S)
                return
            self._revision = max(self._revision, answer.revision)
            self.log.add(answer.changes, self._revision)
            if answer.changes and not self._is_relayed:
                await self._wait_for_more(self._batch_window_s())

    async def _wait_for_more(self, batch_window_s: float) -> None:
        """Wait for more changes, unless changes are wanted at once."""
        if not self._store.policy.uses(Mechanism.GATHERED_CHANGES):
            return
        with suppress(TimeoutError):
            await asyncio.wait_for(self._is_urgent.wait(), batch_window_s)

    def fetch_now(self) -> None:
        """Fetch changes at once, because this node begins to need them sooner."""
        self._is_urgent.set()

    def require_current(self) -> None:
        """Replace a watch in progress that may be stale or relayed.

        ``may_be_stale`` and ``follow`` decide anew how the next watch is made.
        """
        if self._is_delayed:
            self.fetch_now()

    async def _watch_once(self) -> EntryChanges | Refusal | None:
        """Watch once; return None if the watch has to be resent.

        The watch has to be resent if the store recovered meanwhile, if there is another
        route to the store, if changes are wanted at once, or if the answer is overdue.
        """
        self._is_urgent.clear()
        is_cheap = self._store.policy.uses(Mechanism.CHEAP_WATCHES)
        renewal = self._store.watch_renewal()
        hurry = asyncio.get_running_loop().create_task(self._is_urgent.wait())
        watch = asyncio.get_running_loop().create_task(
            self._fetch_changes(is_cheap and self._may_be_stale())
        )
        try:
            await asyncio.wait(
                (watch, renewal, hurry), return_when=asyncio.FIRST_COMPLETED
            )
            return watch.result() if watch.done() else None
        finally:
            for waiter in (renewal, hurry, watch):
                waiter.cancel()

    async def _fetch_changes(self, may_be_stale: bool) -> EntryChanges | Refusal | None:
        """Return changes, from another node's copy if there is one.

        Return None if the store's answer is overdue.
        """
        self._is_delayed = may_be_stale or self._ask_relay is not None
        if self._ask_relay is not None:
            answer = await self._ask_relay(self._kind, self._revision)
            self._is_relayed = answer is not None
            if answer is not None:
                return answer
        self._is_delayed = may_be_stale
        bound_s = self._bound_s()
        if bound_s is None:
            return await self._store.changes(
                self._kind, self._revision, self._hold_s, may_be_stale
            )
        return await self._watch_within(bound_s, may_be_stale)

    async def _watch_within(
        self, bound_s: float, may_be_stale: bool
    ) -> EntryChanges | Refusal | None:
        """Watch the store; return None if the answer is overdue.

        An overdue watch says nothing of the route, so it doesn't count as a lost call.
        The next watch gets the time of any call, since the store may be slow.
        """
        loop = asyncio.get_running_loop()
        hold_s = min(self._hold_s, watch_hold_s(bound_s, self.age_s))
        due_s = loop.time() + hold_s + watch_answer_time_s(bound_s)
        limit_s = None if self._is_slow or self._was_overdue else due_s
        try:
            async with asyncio.timeout_at(limit_s):
                answer = await self._store.changes(
                    self._kind, self._revision, hold_s, may_be_stale
                )
        except TimeoutError:
            self._was_overdue = True
            return None
        was_overdue, self._was_overdue = self._was_overdue, False
        if not isinstance(answer, Refusal):
            self._is_slow = loop.time() > due_s
            if was_overdue and not self._is_slow:
                self._log.info(
                    "watch-lost", kind=self._kind, age_s=round(self.age_s, 3)
                )
                self._store.renew_watches()
        return answer

    @property
    def is_current(self) -> bool:
        """Whether the store has confirmed the copy recently enough for other nodes."""
        bound_s = self._bound_s()
        return bound_s is None or is_copy_current(bound_s, self.age_s)

    @property
    def age_s(self) -> float:
        """Seconds since the last successful call for this kind; infinite before."""
        if self.last_success_s is None:
            return float("inf")
        return asyncio.get_running_loop().time() - self.last_success_s

    def _record_success(self) -> None:
        self.last_success_s = asyncio.get_running_loop().time()

    def apply_newer(self, entry: Entry) -> None:
        """Apply an object that a call of this node has returned, if it is newer."""
        known = self.entries.get(entry.name)
        if known is None or known.revision < entry.revision:
            self._apply(entry, False)

    def add_relayed(self, entry: Entry) -> None:
        """Apply an object that another node has read, if it is newer; keep its change.

        Nodes that follow this copy get the change too.
        """
        self.apply_newer(entry)
        self._revision = max(self._revision, entry.revision)
        self.log.add((EntryChange(entry, False),), self._revision)

    @property
    def is_relayed(self) -> bool:
        """Whether another node answered the last request for changes."""
        return self._is_relayed

    def _apply(self, entry: Entry, is_removed: bool) -> None:
        if is_removed:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        try:
            self._on_change(entry, is_removed)
        except Exception:
            # A fault in one object must not end the copy of all others.
            self._log.exception("entry-not-taken", kind=self._kind, entry=entry.name)
