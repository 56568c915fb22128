"""A lease on calls that one process at a time may make.

The lease is an object in the store, and its revision is the fencing token.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final

import attrs

from ..decisions import (
    CALL_WINDOW_S,
    first_call_wait_s,
    may_take_lease,
    takeover_wait_s,
)
from ..errors import ErrorKind, Refusal, refuse
from ..logs import logger
from ..platform import Entry
from ..store import StoreClient

#: Kind of the leases on engines' orders. Each is named by its engine's address.
ENGINE_LEASE_KIND: Final = "pistachioglade-engine-orders"
#: Kind of the leases on duties towards the platform.
DUTY_LEASE_KIND: Final = "pistachioglade-duties"
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
    # Data that the holders keep with the lease; None without any.
    payload: Any
    # Time from the holder's last call to the release of the lease, in seconds; None
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
        holder,
        boot,
        previous_holder,
        fields.get("is_beside") is True,
        fields.get("payload"),
        idle_s,
    )


@attrs.frozen
class HolderStatus:
    """What the holder of a lease says of itself."""

    # Whether it goes on using the lease.
    is_active: bool
    # Seconds since its last call, if it makes no more calls; None if unknown.
    idle_s: float | None = None


@attrs.frozen
class LeaseTerms:
    """What is leased, and the rules for a change of its holder."""

    # Kind of the lease's object.
    kind: str
    # Name of the lease's object.
    name: str
    # Least time between calls of two holders that take turns, in seconds.
    lease_s: float
    # Whether the called side refuses a fencing token that is lower than an earlier one.
    checks_fences: bool
    # Whether this process runs beside the engine that is called.
    is_beside: bool = False
    # Whether only a holder that takes the lease back waits for its first call. That is
    # enough where the called side checks fences: calls of the holder before are refused
    # once the new holder has called.
    may_call_at_once: bool = False


class Lease:
    """The lease by which one process is the only one that makes certain calls.

    The process beside an engine acquires the lease once and makes no further calls to
    the store. Any other holder confirms the lease by a conditional write before each
    call. The write also stores the holder's payload, so that the next holder knows what
    this one has called or is about to call.
    """

    def __init__(
        self,
        store: StoreClient,
        terms: LeaseTerms,
        node: str,
        boot: str,
        ask_holder: Callable[[str], Awaitable[HolderStatus]] | None = None,
    ) -> None:
        # Asks another holder whether it still uses the lease.
        self.ask_holder = ask_holder
        self._store = store
        self._terms = terms
        self._node = node
        self._boot = boot
        self._log = logger(__name__)
        self._previous_holder = ""
        # Revision of the lease while this process holds the lease, else None.
        self._revision: int | None = None
        # Data that the holders keep with the lease; None without any.
        self.payload: Any = None
        # Number of confirmations. The number makes each written value differ, since
        # writing an equal value is no change.
        self._confirmations = 0
        # Monotonic time before which no call may be made, in seconds.
        self._first_call_s = float("-inf")
        # Monotonic time of the last call that may have been made, in seconds.
        self._last_call_s = float("-inf")
        # Monotonic time at which the lease was taken from another holder, in seconds.
        self._taken_s = float("-inf")
        # Monotonic time before which an earlier process of this node may have called.
        self._started_s = self._now_s()

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _value(self) -> dict[str, Any]:
        return {
            "holder": self._node,
            "boot": self._boot,
            "earlier": self._previous_holder,
            "is_beside": self._terms.is_beside,
            "confirmations": self._confirmations,
            "released_idle_s": None,
            **({} if self.payload is None else {"payload": self.payload}),
        }

    async def obtain_token(self) -> int | Refusal:
        """Return the fencing token for a call, which must be made at once.

        A refusal of kind FENCED carries the time after which to retry. A refusal of
        kind CONFLICT says that another process uses the lease.
        """
        refusal = await self.acquire()
        return refusal or await self.confirm()

    async def confirm(self) -> int | Refusal:
        """Return the fencing token as :meth:`obtain_token`, for a lease that is held.

        The payload is then in the store. Acquiring the lease anew would replace the
        payload, so that a caller that relies on its payload confirms alone.
        """
        if self._revision is None:
            return refuse(ErrorKind.CONFLICT, "the lease was released or lost")
        wait_s = self._first_call_s - self._now_s()
        if wait_s > 0.0:
            return refuse(ErrorKind.FENCED, "the lease was taken just now", wait_s)
        if not self._terms.is_beside:
            refusal = await self._write_confirmation()
            if refusal is not None:
                return refusal
        self._last_call_s = self._now_s()
        return self._revision

    async def release(self) -> None:
        """Release the lease, which shortens the wait of the next holder."""
        if self._revision is None:
            return
        # The holder before may have called just before the lease was taken from it.
        last_call_s = max(self._last_call_s, self._taken_s)
        idle_s = min(self._now_s() - last_call_s, _MAX_IDLE_S)
        value = self._value() | {"released_idle_s": idle_s}
        revision, self._revision = self._revision, None
        released = await self._store.replace(
            self._terms.kind, self._terms.name, value, revision
        )
        outcome = released.reason if isinstance(released, Refusal) else "written"
        self._log.info("lease-released", lease=self._terms.name, outcome=outcome)

    def mark_lost(self) -> None:
        """Record that the lease is lost: a higher fencing token was seen."""
        self._revision = None

    async def acquire(self) -> Refusal | None:
        """Acquire the lease; return why it can't be acquired, else None.

        The wait until the first call begins with the acquisition.
        """
        return None if self._revision is not None else await self._acquire()

    async def _acquire(self) -> Refusal | None:
        found = await self._store.create(
            self._terms.kind, self._terms.name, self._value(), _ACQUIRE_TIMEOUT_S
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
            self._first_call_s = self._now_s() + self._takeover_wait_s(record)
        self._previous_holder = record.previous_holder
        self.payload = record.payload
        self._revision = found.revision
        return None

    async def _take_over(self, record: _Record, held: Entry) -> Refusal | None:
        if not may_take_lease(
            record.is_beside, self._terms.is_beside, self._terms.checks_fences
        ):
            reason = f"{record.holder} beside the engine holds its lease"
            return refuse(ErrorKind.FENCED, reason, self._terms.lease_s)
        if record.released_idle_s is None and self.ask_holder is not None:
            status = await self.ask_holder(record.holder)
            if status.is_active:
                return refuse(ErrorKind.CONFLICT, f"{record.holder} uses the lease")
            record = attrs.evolve(record, released_idle_s=status.idle_s)
        self._previous_holder = record.holder
        self._taken_s = self._now_s()
        self.payload = record.payload
        taken = await self._store.replace(
            self._terms.kind, self._terms.name, self._value(), held.revision
        )
        # The wait also applies if the answer was lost, since the write may have taken
        # effect.
        wait_s = self._takeover_wait_s(record)
        self._first_call_s = self._now_s() + wait_s
        self._log.info(
            "lease-taken",
            lease=self._terms.name,
            earlier=record.holder,
            first_call_in_s=round(wait_s, 3),
            outcome=taken.reason if isinstance(taken, Refusal) else "written",
        )
        if isinstance(taken, Refusal):
            return taken
        self._revision = taken.revision
        return None

    def _takeover_wait_s(self, record: _Record) -> float:
        if not (self._terms.may_call_at_once and self._terms.checks_fences):
            return first_call_wait_s(self._terms.lease_s, record.released_idle_s)
        now_s = self._now_s()
        last_call_s = max(self._last_call_s, self._started_s)
        return takeover_wait_s(self._terms.lease_s, now_s - last_call_s)

    async def _write_confirmation(self) -> Refusal | None:
        begun_s = self._now_s()
        self._confirmations += 1
        # The wait after the previous holder's last call is over. Without the previous
        # holder's name, a restarted process of this node doesn't repeat the wait.
        self._previous_holder = ""
        confirmed = await self._store.replace(
            self._terms.kind, self._terms.name, self._value(), self._revision
        )
        if isinstance(confirmed, Refusal):
            # Another process holds the lease, or the answer was lost. The next call
            # reads the lease again.
            self._revision = None
            return confirmed
        self._revision = confirmed.revision
        if self._now_s() - begun_s > CALL_WINDOW_S / 2:
            reason = "the lease was confirmed too late for a call"
            return refuse(ErrorKind.FENCED, reason, 0.0)
        return None
