"""Chooses the peers to which a node keeps links.

Members are ordered on a ring by the hash of their ids. Each member keeps links to the
members at the offsets 1, 2, 4, 8, ..., as in Chord's finger table: about log2(n)
outgoing and as many incoming links. Thus n nodes are reached in log2(n) hops, and each
node is watched by log2(n) others.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count, takewhile

from ._hashing import stable_hash


def fingers(nodes: Iterable[str], own: str) -> tuple[str, ...]:
    """Return the members to which ``own`` keeps links, nearest first."""
    ring = sorted({*nodes, own}, key=lambda node: (stable_hash(node), node))
    size = len(ring)
    position = ring.index(own)
    offsets = takewhile(lambda offset: offset < size, (1 << bit for bit in count()))
    return tuple(ring[(position + offset) % size] for offset in offsets)
