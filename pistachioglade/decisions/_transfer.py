"""Chooses the source from which an agent gets new weights, and the time of the swap."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from ._hashing import rendezvous_order

#: Number of agents that read from the weight store.
STORE_READERS: Final = 2
#: Number of agents that copy from one agent.
FANOUT: Final = 3


def fetch_sources(
    model: str, version: int, own: str, agents: Iterable[str]
) -> tuple[str, ...]:
    """Return the peers to copy from, in order; empty means the weight store.

    The agents form a tree by their rendezvous order for the version. The first source
    is the parent. The others are for the case that the parent is gone: the agents
    before the parent (its ancestors and their siblings), then some agents after it.
    """
    order = rendezvous_order(f"{model}@{version}", {*agents, own})
    rank = order.index(own)
    if rank < STORE_READERS:
        return ()
    parent = (rank - STORE_READERS) // FANOUT
    before = [order[position] for position in range(parent, -1, -1)]
    after = [
        order[position] for position in range(parent + 1, min(rank, parent + FANOUT))
    ]
    return tuple(before + after)


def wave_delay_s(
    domain: str, domains: Sequence[str], swap_s: float, bound_s: float
) -> float:
    """Return how long an agent waits before it swaps its weights, in seconds.

    Failure domains swap one after the other, as far as ``bound_s`` allows, so that
    lookups always find engines that are not swapping.
    """
    ordered = sorted({*domains, domain})
    step_s = min(swap_s, bound_s / max(1, len(ordered)))
    return ordered.index(domain) * step_s
