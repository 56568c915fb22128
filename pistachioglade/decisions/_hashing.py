"""Hashes that are the same in every process."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of the strings."""
    digest = hashlib.blake2b("\x00".join(parts).encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Return ``nodes`` in descending order of preference for ``key``.

    The removal of a node moves only the keys that preferred the node.
    """
    return sorted(nodes, key=lambda node: stable_hash(key, node), reverse=True)
