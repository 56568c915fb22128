"""Maintains the member table: heartbeats on ring links and gossip of changes."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any, Final

from ..backing import InstanceList
from ..blackboard import Blackboard
from ..config import NodeSettings
from ..decisions import Membership, fingers
from ..errors import Refusal
from ..links import LinkPool
from ..messages import (
    BucketRecords,
    Digest,
    DigestReply,
    MemberChanges,
    MemberRecord,
    MemberState,
    RootOffer,
)
from ..telemetry import logger
from ._facts import MEMBERS
from ._root import RootController

_log = logger(__name__)

_HEARTBEAT_INTERVAL_S: Final = 1.5
_HEARTBEAT_TIMEOUT_S: Final = 1.0
_FLUSH_INTERVAL_S: Final = 0.05
_JOIN_PAUSE_S: Final = 0.5
#: Maximum number of listed addresses tried in one round.
_MAX_JOIN_TRIES: Final = 4
#: Maximum number of records in one message of changes.
_MAX_CHANGES: Final = 200


class MembershipController:
    """Maintains the member table; the only writer of :data:`MEMBERS`."""

    def __init__(
        self,
        settings: NodeSettings,
        own: MemberRecord,
        board: Blackboard,
        pool: LinkPool,
        root: RootController,
        instances: InstanceList,
    ) -> None:
        self._settings = settings
        self._board = board
        self._pool = pool
        self._root = root
        self._instances = instances
        self._table = Membership(own)
        self._rng = random.Random(f"{own.node}/{own.incarnation}")
        self._changes: dict[str, MemberRecord] = {}
        self._has_changes = asyncio.Event()
        self._last_heard_s: dict[str, float] = {}
        self._last_peer_s = time.monotonic()
        self._publish()

    @property
    def own(self) -> MemberRecord:
        """The record that this node publishes about itself."""
        return self._table.own

    def _publish(self) -> None:
        table = {record.node: record for record in self._table.records()}
        self._board.write(MEMBERS, MappingProxyType(table))

    def _queue_changes(self, records: Iterable[MemberRecord]) -> None:
        changes = {record.node: record for record in records}
        if changes:
            self._changes.update(changes)
            self._has_changes.set()
            self._publish()

    def merge_records(self, records: Iterable[MemberRecord]) -> None:
        """Merge records into the table and pass changes on to the peers."""
        self._queue_changes(self._table.merge(records, time.monotonic()))

    def declare_leaving(self) -> None:
        """Announce to all members that this node is leaving."""
        self._queue_changes([self._table.declare_leaving(time.monotonic())])

    def record_peer_contact(self, node: str) -> None:
        """Record that a message of a peer arrived."""
        self._last_peer_s = time.monotonic()
        self._last_heard_s[node] = self._last_peer_s

    def silence_s(self) -> float:
        """Return the time since the last message of any peer, in seconds."""
        return time.monotonic() - self._last_peer_s

    def address_of(self, node: str) -> str:
        """Return the link address of a member; empty if unknown."""
        record = self._table.get(node)
        return record.address if record else ""

    def _live_peers(self) -> list[MemberRecord]:
        return [
            record
            for record in self._table.records()
            if record.state is not MemberState.DEAD and record.node != self.own.node
        ]

    def finger_records(self) -> list[MemberRecord]:
        """Return the members to which this node keeps links."""
        peers = {record.node: record for record in self._live_peers()}
        return [peers[node] for node in fingers(peers, self.own.node)]

    async def run(self) -> None:
        """Join the other nodes and maintain the table until cancelled."""
        await asyncio.gather(
            self._keep_joined(),
            self._heartbeats(),
            self._digests(),
            self._send_changes(),
        )

    async def _keep_joined(self) -> None:
        """Find members that no known peer knows, or that were declared dead.

        Nodes that start together may form separate partitions, and partitions that
        lost contact declare each other dead. So listed addresses without a live
        member are tried at intervals, even if this node has peers.
        """
        while True:
            await self._join()
            has_peers = bool(self._live_peers())
            pause_s = self._settings.join_interval_s if has_peers else _JOIN_PAUSE_S
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _join(self) -> None:
        listed = await asyncio.to_thread(self._instances.read)
        if isinstance(listed, Refusal):
            return
        known = {record.address for record in self._live_peers()}
        addresses = {item.link_address for item in listed if item.link_address}
        unknown = sorted(addresses - known - {self.own.address})
        self._rng.shuffle(unknown)
        for address in unknown[:_MAX_JOIN_TRIES]:
            if await self._compare_with(address):
                return

    async def _compare_with(self, address: str) -> bool:
        message = Digest(self._root.generation, self._table.buckets())
        answer = await self._pool.call(address, message, _HEARTBEAT_TIMEOUT_S)
        if not isinstance(answer, DigestReply):
            return False
        own_records = self._table.in_buckets(answer.buckets)
        self.merge_records(answer.records)
        if own_records:
            records = BucketRecords(own_records)
            await self._pool.call(address, records, _HEARTBEAT_TIMEOUT_S)
        await self._root.fetch_from_peer(address, answer.generation)
        return True

    def answer_digest(self, message: Digest) -> DigestReply:
        """Return this table's buckets that differ from a peer's digest."""
        own = self._table.buckets()
        differing = tuple(
            index
            for index, pair in enumerate(zip(own, message.buckets, strict=False))
            if pair[0] != pair[1]
        )
        records = self._table.in_buckets(differing)
        return DigestReply(self._root.generation, differing, records)

    async def _heartbeats(self) -> None:
        while True:
            started_s = time.monotonic()
            await asyncio.gather(*map(self._heartbeat, self.finger_records()))
            self._expire()
            await self._drop_unused_links()
            spent_s = time.monotonic() - started_s
            await asyncio.sleep(max(0.0, _HEARTBEAT_INTERVAL_S - spent_s))

    async def _heartbeat(self, peer: MemberRecord) -> None:
        now_s = time.monotonic()
        self._last_heard_s.setdefault(peer.node, now_s)
        message = RootOffer(self._root.generation)
        answer = await self._pool.call(peer.address, message, _HEARTBEAT_TIMEOUT_S)
        if isinstance(answer, RootOffer):
            self.record_peer_contact(peer.node)
            await self._root.fetch_from_peer(peer.address, answer.generation)
            return
        silent_s = time.monotonic() - self._last_heard_s[peer.node]
        if silent_s >= self._settings.suspect_after_s:
            record = self._table.mark_suspect(peer.node, time.monotonic())
            if record is not None:
                _log.warning("member.suspected", member=peer.node)
                self._queue_changes([record])

    def _expire(self) -> None:
        expired = self._table.expire_suspects(
            time.monotonic(), self._settings.dead_after_s
        )
        for record in expired:
            _log.warning("member.dead", member=record.node)
            self._last_heard_s.pop(record.node, None)
        self._queue_changes(expired)

    async def _drop_unused_links(self) -> None:
        dead = {
            record.address
            for record in self._table.records()
            if record.state is MemberState.DEAD
        }
        used = {record.address for record in self._live_peers()}
        stale = [item for item in self._pool.addresses() if item in dead - used]
        await asyncio.gather(*map(self._pool.close_link, stale))

    async def _digests(self) -> None:
        turn = 0
        while True:
            await asyncio.sleep(self._settings.digest_interval_s)
            peers = self.finger_records()
            if peers:
                await self._compare_with(peers[turn % len(peers)].address)
                turn += 1

    async def _send_changes(self) -> None:
        """Send changes to the peers after a short delay, to batch several changes."""
        while True:
            await self._has_changes.wait()
            await asyncio.sleep(_FLUSH_INTERVAL_S)
            batch = list(self._changes.values())[:_MAX_CHANGES]
            for record in batch:
                self._changes.pop(record.node, None)
            if not self._changes:
                self._has_changes.clear()
            await self._send_to_peers(MemberChanges(tuple(batch)))

    async def announce_root(self, generation: int) -> None:
        """Offer a new root generation to every linked peer."""
        await self._send_to_peers(RootOffer(generation))

    async def _send_to_peers(self, message: MemberChanges | RootOffer) -> None:
        peers = self.finger_records()
        calls = [
            self._pool.call(peer.address, message, _HEARTBEAT_TIMEOUT_S)
            for peer in peers
        ]
        task = asyncio.gather(*calls, return_exceptions=True)
        task.add_done_callback(_consume)


def _consume(future: asyncio.Future[Any]) -> None:
    if not future.cancelled():
        future.result()
