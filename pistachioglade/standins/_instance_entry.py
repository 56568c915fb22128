"""The entry of an instance in the store, with the fields that all instances have."""

from __future__ import annotations

from typing import Any


def instance_entry(
    upstream: str, address: str = "127.0.0.1:9", **more: Any
) -> dict[str, Any]:
    """Return the entry of a healthy instance; ``more`` overrides or adds fields."""
    return {
        "service": upstream,
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        **more,
    }
