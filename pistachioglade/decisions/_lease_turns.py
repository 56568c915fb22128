"""Decides which process may make leased calls, and from when a new holder may.

Expected load: engines without a process of this service beside them, or whose process
is dead or cut off, while trainers name a version every few seconds; and duties towards
the platform whose holder is killed, frozen or cut off. Calls of two lease holders must
not alternate within a lease, even if both holders believe that the lease is theirs.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from typing import Final

from ._hashing import rendezvous_order

#: Longest time between the store's confirmation of a lease and the arrival of a call
#: that relies on the confirmation: one call to the store and the call itself.
CALL_WINDOW_S: Final = 2.0
#: Number of entries that take a duty over one after the other.
MAX_DUTY_RANKS: Final = 4


def first_call_wait_s(lease_s: float, released_idle_s: float | None = None) -> float:
    """Return the time from taking a lease to the first call under it.

    The earlier holder may have made a call just before the lease was taken, unless
    the earlier holder has released the lease. ``released_idle_s`` is the time from its
    last call to that release; None if the lease was not released.
    """
    if released_idle_s is None:
        return lease_s + CALL_WINDOW_S
    return max(0.0, lease_s + CALL_WINDOW_S / 2 - released_idle_s)


def takeover_wait_s(lease_s: float, since_own_call_s: float) -> float:
    """Return the wait before a first call where lower fencing tokens are refused.

    ``since_own_call_s`` is the time since this node itself may have called, also in an
    earlier process. A call of the holder in between is thus never enclosed by two calls
    of this node within a lease.
    """
    return max(0.0, lease_s - since_own_call_s)


def may_take_lease(is_held_beside: bool, is_beside: bool, checks_fences: bool) -> bool:
    """Whether a process may take a lease from its holder.

    A process beside the engine may always take the lease. Any other process may take
    the lease of a process beside the engine only if the engine checks fencing tokens:
    the process beside an engine doesn't renew its lease, so that nothing else stops its
    orders after another process has taken over.
    """
    return is_beside or not is_held_beside or checks_fences


def fallback_entry_of(engine: str, entries: Iterable[str]) -> str | None:
    """Return the entry that sends an engine's orders if no process beside it does."""
    return next(iter(rendezvous_order(engine, entries)), None)


def duty_order(
    duty: str,
    entries: Iterable[str],
    last_holder: str,
    resting: Collection[str] = (),
) -> Sequence[str]:
    """Return the entries that may perform a duty, in the order in which they take over.

    The last holder goes first, so that an entry that comes back doesn't take the duty
    from it. Entries that have just given up on the duty are left out.
    """
    able = [name for name in entries if name not in resting]
    order = rendezvous_order(duty, able)
    order.sort(key=lambda name: name != last_holder)
    return order[:MAX_DUTY_RANKS]
