"""The lease on an engine's orders.

The lease is an object in the store, and its revision is the fencing token.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final

import attrs

from ..decisions import ORDER_WINDOW_S, first_order_wait_s, may_take_orders
from ..errors import ErrorKind, Refusal, refuse
from ..logs import logger
from ..platform import Entry
from ..store import StoreClient

#: Kind of the leases in the store. Each lease is named by its engine's address.
LEASE_KIND: Final = "pistachioglade-engine-orders"
#: Largest idle time that a released lease records, in seconds.
_MAX_IDLE_S: Final = 3600.0
#: Timeout for acquiring a lease, in seconds, including retries after lost answers.
_ACQUIRE_TIMEOUT_S: Final = 1.0


@attrs.frozen
class _Record:
    """A lease as read from the store."""

    # Node that holds the lease; empty if the object can't be read.
    holder: str
    # Random id of the holder's process.
    boot: str
    # Node that held the lease before; empty if there was none.
    previous_holder: str
    # Whether the holder is the process that runs beside the engine.
    is_beside: bool
    # Time from the holder's last order to the release of the lease, in seconds; None
    # unless the lease is released.
    released_idle_s: float | None


def _decode(value: Any) -> _Record:
    fields = value if isinstance(value, Mapping) else {}
    texts = (fields.get(name) for name in ("holder", "boot", "earlier"))
    holder, boot, previous_holder = (
        text if isinstance(text, str) else "" for text in texts
    )
    idle = fields.get("released_idle_s")
    idle_s = float(idle) if isinstance(idle, int | float) else None
    return _Record(
        holder, boot, previous_holder, fields.get("is_beside") is True, idle_s
    )


class OrderLease:
    """The lease by which one process is the only one that orders an engine.

    The process beside the engine acquires the lease once and makes no further calls to
    the store. Any other holder confirms the lease by a conditional write before each
    order.
    """

    def __init__(
        self,
        store: StoreClient,
        engine: str,
        node: str,
        boot: str,
        is_beside: bool,
        lease_s: float,
        checks_fences: bool,
        is_holder_active: Callable[[str], Awaitable[bool]] | None = None,
    ) -> None:
        # Asks another holder whether it still orders the engine.
        self._is_holder_active = is_holder_active
        self._store = store
        self._engine = engine
        self._node = node
        self._boot = boot
        self._is_beside = is_beside
        self._lease_s = lease_s
        self._checks_fences = checks_fences
        self._log = logger(__name__)
        self._previous_holder = ""
        # Revision of the lease while this process holds the lease, else None.
        self._revision: int | None = None
        # Number of confirmations. The number makes each written value differ, since
        # writing an equal value is no change.
        self._confirmations = 0
        # Monotonic time before which no order may be sent, in seconds.
        self._first_order_s = float("-inf")
        # Monotonic time of the last order that may have been sent, in seconds.
        self._last_order_s = float("-inf")

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _value(self) -> dict[str, Any]:
        return {
            "holder": self._node,
            "boot": self._boot,
            "earlier": self._previous_holder,
            "is_beside": self._is_beside,
            "confirmations": self._confirmations,
            "released_idle_s": None,
        }

    async def obtain_token(self) -> int | Refusal:
        """Return the fencing token for an order, which must be sent at once.

        A refusal of kind FENCED carries the time after which to retry. A refusal of
        kind CONFLICT says that another process orders the engine.
        """
        refusal = await self.acquire()
        if refusal is not None:
            return refusal
        wait_s = self._first_order_s - self._now_s()
        if wait_s > 0.0:
            return refuse(ErrorKind.FENCED, "the lease was taken just now", wait_s)
        if not self._is_beside:
            refusal = await self._confirm()
            if refusal is not None:
                return refusal
        assert self._revision is not None
        self._last_order_s = self._now_s()
        return self._revision

    async def release(self) -> None:
        """Release the lease, which shortens the wait of the next holder."""
        if self._revision is None:
            return
        idle_s = min(self._now_s() - self._last_order_s, _MAX_IDLE_S)
        value = self._value() | {"released_idle_s": idle_s}
        revision, self._revision = self._revision, None
        released = await self._store.replace(LEASE_KIND, self._engine, value, revision)
        outcome = released.reason if isinstance(released, Refusal) else "written"
        self._log.info("engine-lease-released", engine=self._engine, outcome=outcome)

    def mark_lost(self) -> None:
        """Record that the lease is lost: the engine has seen a higher fencing token."""
        self._revision = None

    async def acquire(self) -> Refusal | None:
        """Acquire the lease; return why it can't be acquired, else None.

        The wait until the first order begins with the acquisition.
        """
        return None if self._revision is not None else await self._acquire()

    async def _acquire(self) -> Refusal | None:
        found = await self._store.create(
            LEASE_KIND, self._engine, self._value(), _ACQUIRE_TIMEOUT_S
        )
        if isinstance(found, Refusal):
            return found
        record = _decode(found.value)
        if record.holder != self._node:
            return await self._take_over(record, found)
        is_new = record.boot != self._boot and record.released_idle_s is None
        if is_new and record.previous_holder:
            # The previous process of this node may have taken the lease over without
            # having waited until its first order.
            self._first_order_s = self._now_s() + first_order_wait_s(self._lease_s)
        self._previous_holder = record.previous_holder
        self._revision = found.revision
        return None

    async def _take_over(self, record: _Record, held: Entry) -> Refusal | None:
        if not may_take_orders(record.is_beside, self._is_beside, self._checks_fences):
            reason = f"{record.holder} beside the engine holds its lease"
            return refuse(ErrorKind.FENCED, reason, self._lease_s)
        is_live = record.released_idle_s is None and self._is_holder_active is not None
        if (
            is_live
            and self._is_holder_active
            and await self._is_holder_active(record.holder)
        ):
            return refuse(ErrorKind.CONFLICT, f"{record.holder} orders the engine")
        self._previous_holder = record.holder
        taken = await self._store.replace(
            LEASE_KIND, self._engine, self._value(), held.revision
        )
        # The wait also applies if the answer was lost, since the write may have taken
        # effect.
        wait_s = first_order_wait_s(self._lease_s, record.released_idle_s)
        self._first_order_s = self._now_s() + wait_s
        self._log.info(
            "engine-lease-taken",
            engine=self._engine,
            earlier=record.holder,
            first_order_in_s=round(wait_s, 3),
            outcome=taken.reason if isinstance(taken, Refusal) else "written",
        )
        if isinstance(taken, Refusal):
            return taken
        self._revision = taken.revision
        return None

    async def _confirm(self) -> Refusal | None:
        begun_s = self._now_s()
        self._confirmations += 1
        # The wait after the previous holder's last order is over. Without the previous
        # holder's name, a restarted process of this node doesn't repeat the wait.
        self._previous_holder = ""
        confirmed = await self._store.replace(
            LEASE_KIND, self._engine, self._value(), self._revision
        )
        if isinstance(confirmed, Refusal):
            # Another process holds the lease, or the answer was lost. The next order
            # reads the lease again.
            self._revision = None
            return confirmed
        self._revision = confirmed.revision
        if self._now_s() - begun_s > ORDER_WINDOW_S / 2:
            reason = "the lease was confirmed too late for an order"
            return refuse(ErrorKind.FENCED, reason, 0.0)
        return None
