"""Sets the timeout of a call to the store, by its size and the speed of its route.

Expected load: an entry that runs all jobs of a model is cut off from the store for nine
seconds and writes batches of 100 to 400 kB through another entry. The batches cross
that entry's link of 30 Mbit/s four times, as each answer contains the object again.
With the same timeout for all calls, small calls succeeded and large calls never did:
each large call timed out just before its answer, was sent again, and kept the link full
for the other calls.
"""

from __future__ import annotations

from typing import Final

import attrs

#: Bytes of a body that pass per second through a small link that the body crosses four
#: times.
_ROUTE_BYTES_PER_S: Final = 900_000
#: Longest timeout of a call whose route is known to be slow.
_MAX_TIMEOUT_S: Final = 4.0


def transfer_time_s(body_bytes: int) -> float:
    """Return the transfer time of a call's body, in seconds."""
    return body_bytes / _ROUTE_BYTES_PER_S


@attrs.define
class AdaptiveTimeout:
    """Timeout of a call that is tried again until the call is answered."""

    # Factor of the usual timeout; grows while the route is slow.
    _factor: float = attrs.field(default=1.0, init=False)

    def timeout_s(self, usual_s: float) -> float:
        """Return the timeout of the next try; ``usual_s`` is that of the first try."""
        return max(usual_s, min(_MAX_TIMEOUT_S, usual_s * self._factor))

    def record_lost_try(self, is_route_slow: bool) -> None:
        """Record a try that was not answered.

        The next try gets more time only on a route that is known to be slow. A silent
        store never answers a call, even if the store has carried out the call, so that
        a longer try would only cost the caller time.
        """
        self._factor = 2 * self._factor if is_route_slow else 1.0
