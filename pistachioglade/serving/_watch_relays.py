"""Relays changes of the store's objects: a few entries watch, the others follow."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final

from ..decisions import (
    FULL_POLICY,
    RELAY_AGE_FRACTION,
    RELAY_COOLDOWN_S,
    RELAY_HOLD_FRACTION,
    RELAY_TRANSFER_S,
    Mechanism,
    Policy,
    relay_for,
    relays_of,
)
from ..errors import ErrorKind, Refusal, refuse
from ..links import LinkPool
from ..logs import logger
from ..messages import ChangePage, ChangeRecord, FetchChanges
from ..platform import Entry, EntryChange, EntryChanges
from ..store import PROBE_INTERVAL_S, Mirror, StoreClient
from ._members import Members

#: Longest time for which a relay holds a follower's request without changes to return.
_LONGEST_HOLD_S: Final = 2.0


class WatchRelays:
    """Fetches changes from a relay, or answers followers if this entry is a relay."""

    def __init__(
        self,
        members: Members,
        links: LinkPool,
        store: StoreClient,
        drain_s: float,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._members = members
        self._links = links
        self._store = store
        self._hold_s = min(_LONGEST_HOLD_S, RELAY_HOLD_FRACTION * drain_s)
        self._age_limit_s = RELAY_AGE_FRACTION * drain_s
        self._is_enabled = policy.uses(Mechanism.WATCH_RELAYS)
        self._log = logger(__name__)
        # Copies of the store's objects that followers may ask for, by kind.
        self.mirrors: Mapping[str, Mirror] = {}
        # Monotonic time until which a relay is not asked, in seconds, by node.
        self._cooldown_until_s: dict[str, float] = {}

    @property
    def is_relay(self) -> bool:
        """Whether this entry watches the store for other entries."""
        return self._is_enabled and self._members.node in relays_of(self._members.names)

    @property
    def store_check_interval_s(self) -> float:
        """Time between two checks of the store.

        A relay checks more often: followers rely on its connection to the store.
        """
        return self._age_limit_s / 2 if self.is_relay else PROBE_INTERVAL_S

    def _choose_relay(self) -> str | None:
        """Return the relay to follow; None if this entry watches the store itself."""
        relays = relays_of(self._members.names)
        if not self._is_enabled or self._members.node in relays:
            return None
        now_s = asyncio.get_running_loop().time()
        available = (
            name for name in relays if now_s >= self._cooldown_until_s.get(name, now_s)
        )
        return relay_for(self._members.node, available)

    async def fetch_changes(
        self, kind: str, revision: int
    ) -> EntryChanges | Refusal | None:
        """Return changes from a relay; None if the store has to be asked instead."""
        relay = self._choose_relay()
        if relay is None:
            return None
        address = self._members.address_of_node(relay)
        request = FetchChanges(kind, revision, self._hold_s)
        answer = await self._links.call(
            address, request, self._hold_s + RELAY_TRANSFER_S
        )
        if isinstance(answer, ChangePage):
            return _decode_changes(answer)
        assert isinstance(answer, Refusal)
        if answer.kind is ErrorKind.HISTORY_GONE:
            return answer
        now_s = asyncio.get_running_loop().time()
        self._cooldown_until_s[relay] = now_s + RELAY_COOLDOWN_S
        self._log.info("relay-abandoned", relay=relay, kind=kind, reason=answer.reason)
        return None

    def _may_pass_on(self, mirror: Mirror) -> bool:
        """Whether the store has confirmed a copy recently enough for followers.

        Only answers on the entry's own route count: its watches may be stuck there
        while other entries relay its calls. An answer to another call doesn't show that
        the copy's own watch isn't lost.
        """
        if not mirror.is_current:
            return False
        age_s = self._store.direct_answer_age_s
        return age_s is not None and age_s <= self._age_limit_s

    async def answer(self, message: FetchChanges) -> ChangePage | Refusal:
        """Answer a follower with the changes after its revision."""
        mirror = self.mirrors.get(message.kind)
        if mirror is None or not self.is_relay or self._members.is_leaving:
            return refuse(ErrorKind.NOT_OWNER, f"no relay of {message.kind:.40}")
        hold_s = min(_LONGEST_HOLD_S, message.hold_s)
        if not self._may_pass_on(mirror):
            return _lacks_store()
        entry_changes = await mirror.log.changes_after(message.revision, hold_s)
        if not self._may_pass_on(mirror):
            return _lacks_store()
        return (
            entry_changes
            if isinstance(entry_changes, Refusal)
            else _encode_changes(entry_changes)
        )


def _lacks_store() -> Refusal:
    return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "this relay lacks the store")


def _encode_changes(entry_changes: EntryChanges) -> ChangePage:
    records = (
        ChangeRecord(
            change.entry.name,
            change.entry.revision,
            change.entry.value,
            change.entry.status,
            change.is_removed,
        )
        for change in entry_changes.changes
    )
    return ChangePage(tuple(records), entry_changes.revision)


def _decode_changes(page: ChangePage) -> EntryChanges:
    changes = (
        EntryChange(
            Entry(item.name, item.revision, item.value, item.status), item.is_removed
        )
        for item in page.changes
    )
    return EntryChanges(tuple(changes), page.revision)
