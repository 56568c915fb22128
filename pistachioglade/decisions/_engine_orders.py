"""Decides which process sends an engine its orders, and from when a new holder may.

Expected load: engines without a process of this service beside them, or whose process
is dead or cut off, while trainers name a version every few seconds. Orders of two lease
holders to one engine must not alternate within a lease, even if both holders believe
that the lease is theirs.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ._hashing import rendezvous_order

#: Longest time between the store's confirmation of a lease and the arrival of an order
#: that relies on the confirmation: one call to the store and one call to the engine.
ORDER_WINDOW_S: Final = 2.0


def first_order_wait_s(lease_s: float, released_idle_s: float | None = None) -> float:
    """Return the time from taking a lease to the first order under it.

    The earlier holder may have sent an order just before the lease was taken, unless
    the earlier holder has released the lease. ``released_idle_s`` is the time from its
    last order to that release; None if the lease was not released.
    """
    if released_idle_s is None:
        return lease_s + ORDER_WINDOW_S
    return max(0.0, lease_s + ORDER_WINDOW_S / 2 - released_idle_s)


def may_take_orders(is_held_beside: bool, is_beside: bool, checks_fences: bool) -> bool:
    """Whether a process may take the lease of an engine from its holder.

    A process beside the engine may always take the lease. Any other process may take
    the lease of a process beside the engine only if the engine checks fencing tokens:
    the process beside an engine doesn't renew its lease, so that nothing else stops its
    orders after another process has taken over.
    """
    return is_beside or not is_held_beside or checks_fences


def fallback_entry_of(engine: str, entries: Iterable[str]) -> str | None:
    """Return the entry that sends an engine's orders if no process beside it does."""
    return next(iter(rendezvous_order(engine, entries)), None)
