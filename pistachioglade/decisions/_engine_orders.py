"""Who gives an engine its orders, and when a new holder may begin.

The load it answers: engines with no process of ours beside them, or whose process is
dead or cut off, while trainers name a version every few seconds. Orders of two holders
to one engine must not alternate within a lease, whatever either of them believes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ._hashing import rendezvous_order

#: Longest time between the store's word that a lease is held and the arrival of the
#: order that rests on it: one call to the store and one to the engine.
ORDER_WINDOW_S: Final = 2.0


def first_order_wait_s(lease_s: float, released_idle_s: float | None = None) -> float:
    """Return the time from taking a lease to the first order under it.

    The holder before may have sent an order just before the lease was taken, unless it
    has released it; ``released_idle_s`` is the time since its last order by then.
    """
    if released_idle_s is None:
        return lease_s + ORDER_WINDOW_S
    return max(0.0, lease_s + ORDER_WINDOW_S / 2 - released_idle_s)


def may_take_orders(is_held_beside: bool, is_beside: bool, checks_fences: bool) -> bool:
    """Whether a process may take the lease of an engine from its holder.

    The process beside an engine doesn't renew its lease, so that only an engine that
    checks fencing tokens stops it once another process has taken over.
    """
    return is_beside or not is_held_beside or checks_fences


def attendant_of(engine: str, entries: Iterable[str]) -> str | None:
    """Return the entry that orders an engine's weights while none beside it does."""
    return next(iter(rendezvous_order(engine, entries)), None)
