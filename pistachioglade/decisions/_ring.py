"""Which peers a node keeps links to.

Members stand on a ring by the hash of their ids. Each keeps links to the
members 1, 2, 4, 8, ... places on: about log2(n) links out and as many in, so
that n nodes are reached in log2(n) hops, and each node is watched by log2(n)
others. (The offsets are those of Chord's finger table.)
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count, takewhile

from ._hashing import stable_hash


def fingers(nodes: Iterable[str], own: str) -> tuple[str, ...]:
    """Return the members that ``own`` keeps links to, nearest first."""
    ring = sorted({*nodes, own}, key=lambda node: (stable_hash(node), node))
    size = len(ring)
    place = ring.index(own)
    offsets = takewhile(lambda offset: offset < size, (1 << bit for bit in count()))
    return tuple(ring[(place + offset) % size] for offset in offsets)
