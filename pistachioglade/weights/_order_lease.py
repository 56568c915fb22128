"""The lease on an engine's orders: an object of the store, its revision the fence."""

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

#: Kind of the leases; each has the address of its engine as its name.
LEASE_KIND: Final = "pistachioglade-engine-orders"
#: Longest time without an order that a release tells of.
_LONGEST_IDLE_S: Final = 3600.0
#: Time for taking a lease, tries after lost answers included.
_TAKE_WITHIN_S: Final = 1.0


@attrs.frozen
class _Record:
    """A lease as the store has it."""

    # Node that holds it; empty if the object can't be read.
    holder: str
    # Nonce of the holder's process.
    boot: str
    # Node that held it before; empty for none.
    earlier: str
    # Whether the holder runs beside the engine.
    is_beside: bool
    # Time from its last order to the release of the lease; None unless it is released.
    released_idle_s: float | None


def _decode(value: Any) -> _Record:
    fields = value if isinstance(value, Mapping) else {}
    texts = (fields.get(name) for name in ("holder", "boot", "earlier"))
    holder, boot, earlier = (text if isinstance(text, str) else "" for text in texts)
    idle = fields.get("released_idle_s")
    idle_s = float(idle) if isinstance(idle, int | float) else None
    return _Record(holder, boot, earlier, fields.get("is_beside") is True, idle_s)


class OrderLease:
    """One process's claim to be the only one that orders an engine.

    The process beside the engine takes the lease once and keeps it, so that it calls
    the store no more. Any other confirms it by a conditional write before each order.
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
        is_held: Callable[[str], Awaitable[bool]] | None = None,
    ) -> None:
        # Asks another holder whether it goes on ordering the engine.
        self._is_held = is_held
        self._store = store
        self._engine = engine
        self._node = node
        self._boot = boot
        self._is_beside = is_beside
        self._lease_s = lease_s
        self._checks_fences = checks_fences
        self._log = logger(__name__)
        self._earlier = ""
        # Revision of the object while this process holds it.
        self._revision: int | None = None
        # Grows with each confirmation, since equal writes are no change.
        self._confirmations = 0
        # When the first order may go.
        self._opens_s = float("-inf")
        # When the last one may have gone.
        self._ordered_s = float("-inf")

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _value(self) -> dict[str, Any]:
        return {
            "holder": self._node,
            "boot": self._boot,
            "earlier": self._earlier,
            "is_beside": self._is_beside,
            "confirmations": self._confirmations,
            "released_idle_s": None,
        }

    async def fence(self) -> int | Refusal:
        """Return the fencing token for an order that is sent at once.

        A refusal of kind FENCED says after which time to ask again; one of kind
        CONFLICT says that another process orders the engine.
        """
        refusal = await self.take()
        if refusal is not None:
            return refusal
        wait_s = self._opens_s - self._now_s()
        if wait_s > 0.0:
            return refuse(ErrorKind.FENCED, "the lease was taken just now", wait_s)
        if not self._is_beside:
            refusal = await self._confirm()
            if refusal is not None:
                return refusal
        assert self._revision is not None
        self._ordered_s = self._now_s()
        return self._revision

    async def release(self) -> None:
        """Let another process begin as soon as the turn of this one is over."""
        if self._revision is None:
            return
        idle_s = min(self._now_s() - self._ordered_s, _LONGEST_IDLE_S)
        value = self._value() | {"released_idle_s": idle_s}
        revision, self._revision = self._revision, None
        released = await self._store.replace(LEASE_KIND, self._engine, value, revision)
        outcome = released.reason if isinstance(released, Refusal) else "written"
        self._log.info("engine-lease-released", engine=self._engine, outcome=outcome)

    def lost(self) -> None:
        """Take that the engine has seen a higher fencing token."""
        self._revision = None

    async def take(self) -> Refusal | None:
        """Take the lease, so that its first order may go sooner."""
        return None if self._revision is not None else await self._create_or_take()

    async def _create_or_take(self) -> Refusal | None:
        made = await self._store.create(
            LEASE_KIND, self._engine, self._value(), _TAKE_WITHIN_S
        )
        if isinstance(made, Refusal):
            return made
        record = _decode(made.value)
        if record.holder != self._node:
            return await self._take_from(record, made)
        is_new = record.boot != self._boot and record.released_idle_s is None
        if is_new and record.earlier:
            # The process before this one may not have waited for its first order.
            self._opens_s = self._now_s() + first_order_wait_s(self._lease_s)
        self._earlier = record.earlier
        self._revision = made.revision
        return None

    async def _take_from(self, record: _Record, held: Entry) -> Refusal | None:
        if not may_take_orders(record.is_beside, self._is_beside, self._checks_fences):
            reason = f"{record.holder} beside the engine holds its lease"
            return refuse(ErrorKind.FENCED, reason, self._lease_s)
        is_live = record.released_idle_s is None and self._is_held is not None
        if is_live and self._is_held and await self._is_held(record.holder):
            return refuse(ErrorKind.CONFLICT, f"{record.holder} orders the engine")
        self._earlier = record.holder
        taken = await self._store.replace(
            LEASE_KIND, self._engine, self._value(), held.revision
        )
        # Also where the answer was lost: the write may have taken effect.
        wait_s = first_order_wait_s(self._lease_s, record.released_idle_s)
        self._opens_s = self._now_s() + wait_s
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
        # The turn of the holder before is over, also for a process that starts again.
        self._earlier = ""
        confirmed = await self._store.replace(
            LEASE_KIND, self._engine, self._value(), self._revision
        )
        if isinstance(confirmed, Refusal):
            # Another has it, or the answer was lost: the next order looks anew.
            self._revision = None
            return confirmed
        self._revision = confirmed.revision
        if self._now_s() - begun_s > ORDER_WINDOW_S / 2:
            reason = "the lease was confirmed too late for an order"
            return refuse(ErrorKind.FENCED, reason, 0.0)
        return None
