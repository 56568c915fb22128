"""The components that entries and agents share."""

from __future__ import annotations

import asyncio
import time
from functools import singledispatchmethod
from typing import Any, Final

from ..backing import InstanceList, ObjectApi, RootStore
from ..blackboard import Blackboard
from ..config import NodeSettings, read_secret
from ..errors import ErrorKind, Refusal, refuse
from ..links import Identity, LinkPool, LinkServer, Peer
from ..messages import (
    Acknowledged,
    BucketRecords,
    Digest,
    FetchRoot,
    MemberChanges,
    MemberRecord,
    MemberState,
    NodeRole,
    RootOffer,
)
from ..telemetry import Metrics, Tracing, logger
from ._facts import CONFIG, LEAVING
from ._membership import MembershipController
from ._root import RootController

_log = logger(__name__)

#: Time without a message of a peer after which a node reads the root from the object
#: API, in seconds.
_PEER_SILENCE_BOUND_S: Final = 5.0
_ROOT_POLL_INTERVAL_S: Final = 0.5


class Node:
    """The shared components of a process: links, membership and configuration."""

    def __init__(self, settings: NodeSettings, role: NodeRole, upstream: str) -> None:
        self.settings = settings
        self.board = Blackboard()
        self.identity = Identity(
            settings.node, read_secret(settings.cluster_secret_file)
        )
        self.incarnation = time.time_ns()
        self.pool = LinkPool(self.identity)
        self.api = ObjectApi(settings.object_api_url)
        self.instances = InstanceList(settings.instance_list_url)
        self.metrics = Metrics(settings.statsd_address, settings.node)
        self.tracing = Tracing(settings.node, settings.trace_file, settings.trace_ratio)
        self.store = RootStore(self.api, f"{settings.node}.{self.incarnation}")
        self.root = RootController(self.board, self.pool, self.api, self.store)
        own = MemberRecord(
            node=settings.node,
            incarnation=self.incarnation,
            sequence=1,
            state=MemberState.ALIVE,
            role=role,
            address=settings.link_address,
            domain=settings.domain,
            upstream=upstream,
        )
        self.membership = MembershipController(
            settings, own, self.board, self.pool, self.root, self.instances
        )
        self.root.on_change(self.membership.announce_root)
        self._tasks: list[asyncio.Task[None]] = []

    def admission(self) -> Refusal | None:
        """Return a refusal if this node takes no new work now; None otherwise."""
        if self.board.read(LEAVING):
            return refuse(ErrorKind.LEAVING, f"{self.settings.node} is leaving")
        if self.board.read(CONFIG) is None:
            return refuse(ErrorKind.NO_CONFIG, "no configuration is in force here")
        if self._silence_s() > self.settings.isolation_bound_s:
            reason = "cut off from peers and object API; configuration may be old"
            return refuse(ErrorKind.NO_CONFIG, reason)
        return None

    def _silence_s(self) -> float:
        """Return the time since the last contact with a peer or the object API."""
        return min(self.membership.silence_s(), self.root.silence_s())

    @singledispatchmethod
    async def handle(self, message: Any, peer: Peer) -> Any:
        """Answer a message that every node type supports."""
        name = type(message).__name__
        return refuse(ErrorKind.BAD_REQUEST, f"{name} is not for this node")

    @handle.register
    async def _(self, message: RootOffer, peer: Peer) -> Any:
        self.membership.record_peer_contact(peer.node)
        address = self.membership.address_of(peer.node)
        if message.generation > self.root.generation and address:
            self.spawn(self.root.fetch_from_peer(address, message.generation))
        return RootOffer(self.root.generation)

    @handle.register
    async def _(self, message: FetchRoot, peer: Peer) -> Any:
        return self.root.answer_fetch(message)

    @handle.register
    async def _(self, message: MemberChanges, peer: Peer) -> Any:
        self.membership.merge_records(message.records)
        return Acknowledged()

    @handle.register
    async def _(self, message: BucketRecords, peer: Peer) -> Any:
        self.membership.merge_records(message.records)
        return Acknowledged()

    @handle.register
    async def _(self, message: Digest, peer: Peer) -> Any:
        self.membership.record_peer_contact(peer.node)
        return self.membership.answer_digest(message)

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run ``work`` as a task until ``work`` ends or the node closes."""
        task: asyncio.Task[Any] = asyncio.create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._on_task_end)
        return task

    def _on_task_end(self, task: asyncio.Task[Any]) -> None:
        if task in self._tasks:
            self._tasks.remove(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task.failed", exc_info=task.exception())

    async def start(self, server: LinkServer) -> None:
        """Listen for peers, join the other nodes and fetch the root."""
        settings = self.settings
        await server.start(settings.listen_address or settings.link_address)
        self.spawn(self.membership.run())
        self.spawn(self._keep_root_known())

    async def _keep_root_known(self) -> None:
        """Poll the object API while no root is known or no peer sends messages."""
        while True:
            is_silent = self.membership.silence_s() > _PEER_SILENCE_BOUND_S
            if self.root.generation == 0 or is_silent:
                await self.root.fetch_from_store()
            await asyncio.sleep(_ROOT_POLL_INTERVAL_S)

    def leave(self) -> None:
        """Declare that this node is leaving; idempotent."""
        if not self.board.read(LEAVING):
            _log.info("node.leaving")
            self.board.write(LEAVING, True)
            self.membership.declare_leaving()

    async def close(self) -> None:
        """Cancel the tasks and close the links and traces of this node."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.pool.close()
        self.tracing.close()
