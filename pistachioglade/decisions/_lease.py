"""Judging a lease in the object API without comparing two clocks."""

from __future__ import annotations

import attrs


@attrs.define
class LeaseObserver:
    """Watches one lease object; it has lapsed when it stays the same for long."""

    # Object version that was seen last.
    version: int = -1
    # When that version was first seen, by the observer's clock.
    since_s: float = 0.0

    def observe(self, version: int, now_s: float) -> None:
        """Note the version that the object has."""
        if version != self.version:
            self.version = version
            self.since_s = now_s

    def lapsed(self, lease_s: float, now_s: float) -> bool:
        """Return whether the holder has not renewed for a whole lease."""
        return self.version >= 0 and now_s - self.since_s >= lease_s
