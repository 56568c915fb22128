"""Expiry of a lease in the object API without a comparison of two clocks."""

from __future__ import annotations

import attrs


@attrs.define
class LeaseObserver:
    """Observes one lease object, which expires when its version stops changing."""

    # Object version that was observed last; -1 before the first.
    version: int = -1
    # Time at which that version was first observed, in seconds of the observer's clock.
    first_observed_s: float = 0.0

    def observe(self, version: int, now_s: float) -> None:
        """Record the current version of the object."""
        if version != self.version:
            self.version = version
            self.first_observed_s = now_s

    def has_expired(self, lease_s: float, now_s: float) -> bool:
        """Return whether the holder has not renewed the lease for ``lease_s``."""
        return self.version >= 0 and now_s - self.first_observed_s >= lease_s
