"""Follows another entry's copies of the store's kinds, and lets others follow these."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final

from ..decisions import (
    FULL_POLICY,
    RELAY_AGE_PART,
    RELAY_HOLD_PART,
    RELAY_REST_S,
    RELAY_SLACK_S,
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
from ..store import BEAT_S, Mirror, StoreClient
from ._members import Members

#: Longest time for which a question is held.
_LONGEST_HOLD_S: Final = 2.0


class WatchRelays:
    """Asks a relay for changes, or answers as one."""

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
        self._hold_s = min(_LONGEST_HOLD_S, RELAY_HOLD_PART * drain_s)
        self._age_limit_s = RELAY_AGE_PART * drain_s
        self._is_used = policy.uses(Mechanism.WATCH_RELAYS)
        self._log = logger(__name__)
        # Copies that others may follow, by kind.
        self.mirrors: Mapping[str, Mirror] = {}
        # Until when relays aren't asked.
        self._rests_until_s: dict[str, float] = {}

    @property
    def is_relay(self) -> bool:
        """Whether this entry watches for others."""
        return self._is_used and self._members.node in relays_of(self._members.names)

    @property
    def beat_s(self) -> float:
        """Time between two looks at the store: a relay must know that it is there."""
        return self._age_limit_s / 2 if self.is_relay else BEAT_S

    def _relay(self) -> str | None:
        """Return the entry to follow; None where this one watches by itself."""
        relays = relays_of(self._members.names)
        if not self._is_used or self._members.node in relays:
            return None
        now_s = asyncio.get_running_loop().time()
        awake = (
            name for name in relays if now_s >= self._rests_until_s.get(name, now_s)
        )
        return relay_for(self._members.node, awake)

    async def changes(self, kind: str, revision: int) -> EntryChanges | Refusal | None:
        """Return changes as a relay tells them; None if the store has to be asked."""
        relay = self._relay()
        if relay is None:
            return None
        address = self._members.address_of_node(relay)
        question = FetchChanges(kind, revision, self._hold_s)
        answer = await self._links.call(address, question, self._hold_s + RELAY_SLACK_S)
        if isinstance(answer, ChangePage):
            return _decode(answer)
        assert isinstance(answer, Refusal)
        if answer.kind is ErrorKind.HISTORY_GONE:
            return answer
        now_s = asyncio.get_running_loop().time()
        self._rests_until_s[relay] = now_s + RELAY_REST_S
        self._log.info("relay-left", relay=relay, kind=kind, reason=answer.reason)
        return None

    async def answer(self, message: FetchChanges) -> ChangePage | Refusal:
        """Answer an entry that follows this one."""
        mirror = self.mirrors.get(message.kind)
        if mirror is None or not self.is_relay or self._members.is_leaving:
            return refuse(ErrorKind.NOT_OWNER, f"no relay of {message.kind:.40}")
        hold_s = min(_LONGEST_HOLD_S, message.hold_s)
        told = await mirror.log.behind(message.revision, hold_s)
        age_s = self._store.age_s
        if age_s is None or age_s > self._age_limit_s:
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "this relay lacks the store")
        return told if isinstance(told, Refusal) else _encode(told)


def _encode(told: EntryChanges) -> ChangePage:
    records = (
        ChangeRecord(
            change.entry.name,
            change.entry.revision,
            change.entry.value,
            change.entry.status,
            change.is_removed,
        )
        for change in told.changes
    )
    return ChangePage(tuple(records), told.revision)


def _decode(page: ChangePage) -> EntryChanges:
    changes = (
        EntryChange(
            Entry(item.name, item.revision, item.value, item.status), item.is_removed
        )
        for item in page.changes
    )
    return EntryChanges(tuple(changes), page.revision)
