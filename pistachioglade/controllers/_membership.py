"""Keeps the table of members: heartbeats on ring links, news passed on."""

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
#: Listed addresses that are tried in one round.
_JOIN_TRIES: Final = 4
#: Records in one message of news.
_NEWS_BATCH: Final = 200


class MembershipController:
    """The one writer of :data:`MEMBERS`."""

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
        self._news: dict[str, MemberRecord] = {}
        self._has_news = asyncio.Event()
        self._heard_s: dict[str, float] = {}
        self._last_peer_s = time.monotonic()
        self._publish()

    @property
    def own(self) -> MemberRecord:
        """The statement of this node about itself."""
        return self._table.own

    def _publish(self) -> None:
        table = {record.node: record for record in self._table.records()}
        self._board.write(MEMBERS, MappingProxyType(table))

    def _spread(self, records: Iterable[MemberRecord]) -> None:
        news = {record.node: record for record in records}
        if news:
            self._news.update(news)
            self._has_news.set()
            self._publish()

    def take(self, records: Iterable[MemberRecord]) -> None:
        """Take statements in; news goes on to the peers."""
        self._spread(self._table.merge(records, time.monotonic()))

    def declare_leaving(self) -> None:
        """Tell everybody that this node is leaving."""
        self._spread([self._table.declare_leaving(time.monotonic())])

    def peer_is_heard(self, node: str) -> None:
        """Note that a peer spoke to this node."""
        self._last_peer_s = time.monotonic()
        self._heard_s[node] = self._last_peer_s

    def silence_s(self) -> float:
        """Return the time since any peer was heard."""
        return time.monotonic() - self._last_peer_s

    def address_of(self, node: str) -> str:
        """Return the link address of a member; empty if it has none."""
        record = self._table.get(node)
        return record.address if record else ""

    def _live_peers(self) -> list[MemberRecord]:
        return [
            record
            for record in self._table.records()
            if record.state is not MemberState.DEAD and record.node != self.own.node
        ]

    def finger_records(self) -> list[MemberRecord]:
        """Return the members that this node keeps links to."""
        peers = {record.node: record for record in self._live_peers()}
        return [peers[node] for node in fingers(peers, self.own.node)]

    async def run(self) -> None:
        """Join, then keep the table for as long as the process runs."""
        await asyncio.gather(
            self._keep_joined(), self._heartbeats(), self._digests(), self._flushes()
        )

    async def _keep_joined(self) -> None:
        """Find members that nobody here knows of, or that were given up.

        Nodes that start together may form islands, and regions that lost each
        other count each other as dead. So listed addresses without a live member
        are tried from time to time, even when there are peers.
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
        strangers = sorted(addresses - known - {self.own.address})
        self._rng.shuffle(strangers)
        for address in strangers[:_JOIN_TRIES]:
            if await self._compare_with(address):
                return

    async def _compare_with(self, address: str) -> bool:
        message = Digest(self._root.generation, self._table.buckets())
        answer = await self._pool.call(address, message, _HEARTBEAT_TIMEOUT_S)
        if not isinstance(answer, DigestReply):
            return False
        own_side = self._table.in_buckets(answer.buckets)
        self.take(answer.records)
        if own_side:
            records = BucketRecords(own_side)
            await self._pool.call(address, records, _HEARTBEAT_TIMEOUT_S)
        await self._root.fetch_from_peer(address, answer.generation)
        return True

    def answer_digest(self, message: Digest) -> DigestReply:
        """Answer a peer that compares its table with this one."""
        own = self._table.buckets()
        differing = tuple(
            place
            for place, pair in enumerate(zip(own, message.buckets, strict=False))
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
        self._heard_s.setdefault(peer.node, now_s)
        message = RootOffer(self._root.generation)
        answer = await self._pool.call(peer.address, message, _HEARTBEAT_TIMEOUT_S)
        if isinstance(answer, RootOffer):
            self.peer_is_heard(peer.node)
            await self._root.fetch_from_peer(peer.address, answer.generation)
            return
        silent_s = time.monotonic() - self._heard_s[peer.node]
        if silent_s >= self._settings.suspect_after_s:
            record = self._table.suspect(peer.node, time.monotonic())
            if record is not None:
                _log.warning("member.suspected", member=peer.node)
                self._spread([record])

    def _expire(self) -> None:
        deaths = self._table.expire(time.monotonic(), self._settings.dead_after_s)
        for record in deaths:
            _log.warning("member.dead", member=record.node)
            self._heard_s.pop(record.node, None)
        self._spread(deaths)

    async def _drop_unused_links(self) -> None:
        dead = {
            record.address
            for record in self._table.records()
            if record.state is MemberState.DEAD
        }
        used = {record.address for record in self._live_peers()}
        stale = [item for item in self._pool.addresses() if item in dead - used]
        await asyncio.gather(*map(self._pool.forget, stale))

    async def _digests(self) -> None:
        turn = 0
        while True:
            await asyncio.sleep(self._settings.digest_interval_s)
            peers = self.finger_records()
            if peers:
                await self._compare_with(peers[turn % len(peers)].address)
                turn += 1

    async def _flushes(self) -> None:
        """Pass news on, a little later, so that more of it travels together."""
        while True:
            await self._has_news.wait()
            await asyncio.sleep(_FLUSH_INTERVAL_S)
            batch = list(self._news.values())[:_NEWS_BATCH]
            for record in batch:
                self._news.pop(record.node, None)
            if not self._news:
                self._has_news.clear()
            await self._tell_peers(MemberChanges(tuple(batch)))

    async def announce_root(self, generation: int) -> None:
        """Offer a new generation to every peer on the ring."""
        await self._tell_peers(RootOffer(generation))

    async def _tell_peers(self, message: MemberChanges | RootOffer) -> None:
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
