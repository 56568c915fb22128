"""The lease on a trainer's steps, kept in the object API.

The lease only avoids duplicate work; the trainer's receipts are what prevents a
sample from being delivered twice. So a holder continues while the object API is
unavailable, and if no lease can be acquired in an outage, a node owns the steps
provisionally, with a fencing token above every token that the node has seen.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

import attrs

from ..backing import StoredObject
from ..controllers import MEMBERS, Node
from ..decisions import LeaseObserver
from ..errors import ErrorKind, Refusal
from ..messages import MemberState, OwnerIs, structure, unstructure
from ..telemetry import logger

_log = logger(__name__)


class LeaseState(Enum):
    """The state of this node's own lease."""

    HELD = "held"
    PROVISIONAL = "provisional"
    LOST = "lost"


@attrs.frozen
class LeaseValue:
    """The value of a lease in the object API."""

    # Node id of the holder; empty after a release.
    owner: str
    # Incarnation of the holder; differs at each start of the process.
    incarnation: int
    # Fencing token; grows with each holder.
    fence: int
    # Number of renewals; changes the value, so that the object's version grows.
    renewals: int = 0


class OwnerLease:
    """The lease on one trainer's steps, as this node sees it."""

    def __init__(
        self,
        node: Node,
        trainer: str,
        lease_s: float,
        seen_fence: Callable[[], int],
    ) -> None:
        self._node = node
        self._path = f"owners/{trainer}"
        self._lease_s = lease_s
        self._seen_fence = seen_fence
        self._observer = LeaseObserver()
        self._version = 0
        self._value: LeaseValue | None = None
        self._lock = asyncio.Lock()
        self._unreachable_owner = ""
        self.state = LeaseState.LOST
        self.fence = 0

    @property
    def is_held(self) -> bool:
        """Whether this node may act as the owner."""
        return self.state is not LeaseState.LOST

    async def acquire(self, unreachable_owner: str = "") -> OwnerIs | None:
        """Acquire the lease; return the owner if another node holds the lease.

        A holder that callers can't reach may go on renewing, since its connection to
        the object API works; so the lease is taken over from ``unreachable_owner``.
        """
        async with self._lock:
            if self.is_held:
                return None
            self._unreachable_owner = unreachable_owner
            stored = await asyncio.to_thread(self._node.api.get, self._path)
            if isinstance(stored, StoredObject):
                return await self._contend(stored)
            if stored.kind is ErrorKind.NOT_FOUND:
                return await self._write(0, fence=self._seen_fence() + 1)
            return self._provisional()

    async def _contend(self, stored: StoredObject) -> OwnerIs | None:
        value = structure(stored.value, LeaseValue)
        self._value = value
        now_s = time.monotonic()
        self._observer.observe(stored.version, now_s)
        if not self._is_free(value, now_s):
            return OwnerIs(value.owner)
        fence = max(value.fence, self._seen_fence()) + 1
        return await self._write(stored.version, fence)

    def _is_free(self, value: LeaseValue, now_s: float) -> bool:
        own = self._node.settings.node
        if value.owner in (
            "",
            own,
            self._unreachable_owner,
        ) or self._observer.has_expired(self._lease_s, now_s):
            return True
        member = self._node.board.read(MEMBERS).get(value.owner)
        if member is None:
            return False
        replaced = member.incarnation > value.incarnation
        return replaced or member.state is MemberState.DEAD

    async def _write(self, version: int, fence: int) -> OwnerIs | None:
        value = LeaseValue(self._node.settings.node, self._node.incarnation, fence)
        result = await self._put(value, version)
        if isinstance(result, int):
            self._mark_held(value, result)
            return None
        stored = await asyncio.to_thread(self._node.api.get, self._path)
        if not isinstance(stored, StoredObject):
            return self._provisional()
        found = structure(stored.value, LeaseValue)
        if found == value:
            self._mark_held(value, stored.version)
            return None
        return OwnerIs(found.owner)

    def _mark_held(self, value: LeaseValue, version: int) -> None:
        _log.info("lease.held", path=self._path, fence=value.fence)
        self._value = value
        self._version = version
        self.fence = value.fence
        self.state = LeaseState.HELD

    def _provisional(self) -> OwnerIs | None:
        """Own the steps without the object API, unless a live holder is known."""
        known = self._value
        if known is not None and not self._is_free(known, time.monotonic()):
            return OwnerIs(known.owner)
        self.fence = max(self._seen_fence(), known.fence if known else 0) + 1
        self.state = LeaseState.PROVISIONAL
        _log.warning("lease.provisional", path=self._path, fence=self.fence)
        return None

    async def _put(self, value: LeaseValue, version: int) -> int | Refusal:
        data: Any = unstructure(value)
        return await asyncio.to_thread(self._node.api.put, self._path, data, version)

    async def renew(self) -> None:
        """Renew the lease once and update the state."""
        async with self._lock:
            if self.state is LeaseState.PROVISIONAL:
                await self._settle_provisional()
            elif self.state is LeaseState.HELD and self._value is not None:
                await self._renew_held(self._value)

    async def _renew_held(self, held: LeaseValue) -> None:
        value = attrs.evolve(held, renewals=held.renewals + 1)
        result = await self._put(value, self._version)
        if isinstance(result, int):
            self._store_renewal(value, result)
            return
        stored = await asyncio.to_thread(self._node.api.get, self._path)
        if isinstance(stored, StoredObject):
            self._compare(stored)

    def _store_renewal(self, value: LeaseValue, version: int) -> None:
        self._value = value
        self._version = version

    def _compare(self, stored: StoredObject) -> None:
        """Determine whether only the answer was lost, or the lease itself."""
        found = structure(stored.value, LeaseValue)
        if (found.owner, found.incarnation, found.fence) == (
            self._node.settings.node,
            self._node.incarnation,
            self.fence,
        ):
            self._store_renewal(found, stored.version)
            return
        _log.warning("lease.lost", path=self._path, owner=found.owner)
        self.state = LeaseState.LOST

    async def _settle_provisional(self) -> None:
        """Turn provisional ownership into a lease, or end the ownership."""
        stored = await asyncio.to_thread(self._node.api.get, self._path)
        if isinstance(stored, StoredObject):
            found = structure(stored.value, LeaseValue)
            self._observer.observe(stored.version, time.monotonic())
            if not self._is_free(found, time.monotonic()):
                self.state = LeaseState.LOST
                return
            await self._write_provisional(stored.version, found.fence)
        elif stored.kind is ErrorKind.NOT_FOUND:
            await self._write_provisional(0, 0)

    async def _write_provisional(self, version: int, known_fence: int) -> None:
        fence = max(self.fence, known_fence + 1)
        value = LeaseValue(self._node.settings.node, self._node.incarnation, fence)
        result = await self._put(value, version)
        if isinstance(result, int):
            self._mark_held(value, result)

    async def release(self) -> None:
        """Release the lease, so that a successor need not wait for its expiry."""
        async with self._lock:
            held = self._value
            if self.state is LeaseState.HELD and held is not None:
                await self._put(attrs.evolve(held, owner=""), self._version)
            self.state = LeaseState.LOST
