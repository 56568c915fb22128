"""The membership table, merged from records that arrive in any order.

The record with the highest incarnation, then sequence, then state wins. A node that
receives a suspicion of itself refutes it with a higher sequence (as in SWIM).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

from ..messages import MemberRecord, MemberState
from ._hashing import stable_hash

#: Number of hash buckets in which two nodes compare their members.
BUCKET_COUNT: Final = 32
#: Time for which a dead member stays as a tombstone, in seconds, so that an old record
#: can't revive the member.
TOMBSTONE_RETENTION_S: Final = 600.0

_RANK: Final = {state: rank for rank, state in enumerate(MemberState)}


def _precedence(record: MemberRecord) -> tuple[int, int, int]:
    return record.incarnation, record.sequence, _RANK[record.state]


def _bucket(node: str) -> int:
    return stable_hash(node) % BUCKET_COUNT


class Membership:
    """The membership table of one node."""

    def __init__(self, own: MemberRecord) -> None:
        self._own = own
        self._records: dict[str, MemberRecord] = {own.node: own}
        self._changed_at_s: dict[str, float] = {}

    @property
    def own(self) -> MemberRecord:
        """The node's record of itself."""
        return self._own

    def records(self) -> tuple[MemberRecord, ...]:
        """Return every record, dead members included."""
        return tuple(self._records.values())

    def get(self, node: str) -> MemberRecord | None:
        """Return the record of ``node``; None if the node is unknown."""
        return self._records.get(node)

    def merge(
        self, records: Iterable[MemberRecord], now_s: float
    ) -> tuple[MemberRecord, ...]:
        """Merge records and return those that changed the table, to be gossiped."""
        changes = [record for record in records if self._apply(record, now_s)]
        return tuple(self._records[record.node] for record in changes)

    def _apply(self, record: MemberRecord, now_s: float) -> bool:
        if record.node == self._own.node:
            return self._refute(record, now_s)
        known = self._records.get(record.node)
        if known is not None and _precedence(record) <= _precedence(known):
            return False
        self._store(record, now_s)
        return True

    def _refute(self, record: MemberRecord, now_s: float) -> bool:
        """Refute a newer record of this node that came from another node."""
        if _precedence(record) <= _precedence(self._own):
            return False
        self._own = attrs.evolve(
            self._own,
            incarnation=max(record.incarnation, self._own.incarnation),
            sequence=record.sequence + 1,
        )
        self._store(self._own, now_s)
        return True

    def _store(self, record: MemberRecord, now_s: float) -> None:
        self._records[record.node] = record
        self._changed_at_s[record.node] = now_s

    def declare_leaving(self, now_s: float) -> MemberRecord:
        """Record that this node is leaving and return its record."""
        self._own = attrs.evolve(
            self._own, sequence=self._own.sequence + 1, state=MemberState.LEAVING
        )
        self._store(self._own, now_s)
        return self._own

    def mark_suspect(self, node: str, now_s: float) -> MemberRecord | None:
        """Record that ``node`` does not answer; return None if nothing changes.

        A leaving node that does not answer is dead at once.
        """
        known = self._records.get(node)
        if known is None or known.state in (MemberState.SUSPECT, MemberState.DEAD):
            return None
        record = attrs.evolve(known, state=MemberState.SUSPECT)
        if known.state is MemberState.LEAVING:
            record = attrs.evolve(record, state=MemberState.DEAD)
        self._store(record, now_s)
        return record

    def expire_suspects(
        self, now_s: float, dead_after_s: float
    ) -> tuple[MemberRecord, ...]:
        """Declare old suspects dead, return them, and remove old tombstones."""
        suspects = [
            record
            for record in self._records.values()
            if record.state is MemberState.SUSPECT
            and now_s - self._changed_at_s[record.node] >= dead_after_s
        ]
        deaths = tuple(
            attrs.evolve(record, state=MemberState.DEAD) for record in suspects
        )
        for record in deaths:
            self._store(record, now_s)
        self._remove_tombstones(now_s)
        return deaths

    def _remove_tombstones(self, now_s: float) -> None:
        expired = [
            record.node
            for record in self._records.values()
            if record.state is MemberState.DEAD
            and now_s - self._changed_at_s[record.node] >= TOMBSTONE_RETENTION_S
        ]
        for node in expired:
            del self._records[node]
            del self._changed_at_s[node]

    def buckets(self) -> tuple[int, ...]:
        """Return one hash for each bucket, to compare with a peer."""
        hashes = [0] * BUCKET_COUNT
        for record in self._records.values():
            text = f"{record.incarnation}:{record.sequence}:{record.state.value}"
            hashes[_bucket(record.node)] ^= stable_hash(record.node, text) >> 32
        return tuple(hashes)

    def in_buckets(self, buckets: Iterable[int]) -> tuple[MemberRecord, ...]:
        """Return the records of the members in the given buckets."""
        wanted = set(buckets)
        return tuple(
            record
            for record in self._records.values()
            if _bucket(record.node) in wanted
        )
