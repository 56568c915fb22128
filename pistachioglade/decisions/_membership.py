"""What is known of the members, merged from statements in any order.

A statement wins by incarnation, then by sequence, then by state. A node that
reads of its own suspicion answers with a higher sequence (as in SWIM).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

from ..messages import MemberRecord, MemberState
from ._hashing import stable_hash

#: Members are compared in this many groups.
BUCKET_COUNT: Final = 32
#: Time for which a dead member is remembered, so that old news can't revive it.
FORGET_AFTER_S: Final = 600.0

_RANK: Final = {state: rank for rank, state in enumerate(MemberState)}


def _order(record: MemberRecord) -> tuple[int, int, int]:
    return record.incarnation, record.sequence, _RANK[record.state]


def _bucket(node: str) -> int:
    return stable_hash(node) % BUCKET_COUNT


class Membership:
    """The table of one node."""

    def __init__(self, own: MemberRecord) -> None:
        self._own = own
        self._records: dict[str, MemberRecord] = {own.node: own}
        self._changed_at_s: dict[str, float] = {}

    @property
    def own(self) -> MemberRecord:
        """The node's statement about itself."""
        return self._own

    def records(self) -> tuple[MemberRecord, ...]:
        """Return every record, dead members included."""
        return tuple(self._records.values())

    def get(self, node: str) -> MemberRecord | None:
        """Return what is known of ``node``."""
        return self._records.get(node)

    def merge(
        self, records: Iterable[MemberRecord], now_s: float
    ) -> tuple[MemberRecord, ...]:
        """Take statements in and return those that were news, to be passed on."""
        news = [record for record in records if self._take(record, now_s)]
        return tuple(self._records[record.node] for record in news)

    def _take(self, record: MemberRecord, now_s: float) -> bool:
        if record.node == self._own.node:
            return self._answer(record, now_s)
        known = self._records.get(record.node)
        if known is not None and _order(record) <= _order(known):
            return False
        self._store(record, now_s)
        return True

    def _answer(self, record: MemberRecord, now_s: float) -> bool:
        """Contradict a statement about this very node that is not its own."""
        if _order(record) <= _order(self._own):
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
        """State that this node is leaving."""
        self._own = attrs.evolve(
            self._own, sequence=self._own.sequence + 1, state=MemberState.LEAVING
        )
        self._store(self._own, now_s)
        return self._own

    def suspect(self, node: str, now_s: float) -> MemberRecord | None:
        """State that ``node`` does not answer; None if that is no news."""
        known = self._records.get(node)
        if known is None or known.state in (MemberState.SUSPECT, MemberState.DEAD):
            return None
        record = attrs.evolve(known, state=MemberState.SUSPECT)
        if known.state is MemberState.LEAVING:
            record = attrs.evolve(record, state=MemberState.DEAD)
        self._store(record, now_s)
        return record

    def expire(self, now_s: float, dead_after_s: float) -> tuple[MemberRecord, ...]:
        """Turn old suspicions into deaths; forget those dead for long."""
        old = [
            record
            for record in self._records.values()
            if record.state is MemberState.SUSPECT
            and now_s - self._changed_at_s[record.node] >= dead_after_s
        ]
        deaths = tuple(attrs.evolve(record, state=MemberState.DEAD) for record in old)
        for record in deaths:
            self._store(record, now_s)
        self._forget(now_s)
        return deaths

    def _forget(self, now_s: float) -> None:
        gone = [
            record.node
            for record in self._records.values()
            if record.state is MemberState.DEAD
            and now_s - self._changed_at_s[record.node] >= FORGET_AFTER_S
        ]
        for node in gone:
            del self._records[node]
            del self._changed_at_s[node]

    def buckets(self) -> tuple[int, ...]:
        """Return one hash for each group of members, to compare with a peer."""
        hashes = [0] * BUCKET_COUNT
        for record in self._records.values():
            text = f"{record.incarnation}:{record.sequence}:{record.state.value}"
            hashes[_bucket(record.node)] ^= stable_hash(record.node, text) >> 32
        return tuple(hashes)

    def in_buckets(self, buckets: Iterable[int]) -> tuple[MemberRecord, ...]:
        """Return the records of the given groups."""
        wanted = set(buckets)
        return tuple(
            record
            for record in self._records.values()
            if _bucket(record.node) in wanted
        )
