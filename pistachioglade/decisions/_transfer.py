"""Where an agent gets new weights from, and when it puts them in."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from ._hashing import rendezvous_order

#: Agents that read from the weight store.
STORE_READERS: Final = 2
#: Agents that copy from one agent.
FANOUT: Final = 3


def fetch_sources(
    model: str, version: int, own: str, agents: Iterable[str]
) -> tuple[str, ...]:
    """Return the peers to copy from, in order; empty means the weight store.

    The agents form a tree by their rendezvous order for the version. The first
    source is the parent; the others are the rest of its ancestors and their
    siblings, should it be gone.
    """
    order = rendezvous_order(f"{model}@{version}", {*agents, own})
    rank = order.index(own)
    if rank < STORE_READERS:
        return ()
    parent = (rank - STORE_READERS) // FANOUT
    lower = [order[place] for place in range(parent, -1, -1)]
    later = [order[place] for place in range(parent + 1, min(rank, parent + FANOUT))]
    return tuple(lower + later)


def wave_delay_s(
    domain: str, domains: Sequence[str], swap_s: float, bound_s: float
) -> float:
    """Return how long an agent waits before it swaps, by its failure domain.

    Domains swap one after the other, as far as ``bound_s`` allows, so that
    lookups always find engines that are not swapping.
    """
    ordered = sorted({*domains, domain})
    step_s = min(swap_s, bound_s / max(1, len(ordered)))
    return ordered.index(domain) * step_s
