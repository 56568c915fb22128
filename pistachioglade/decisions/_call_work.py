"""Makes the response times of different kinds of requests comparable.

Expected load: lookups with 21 ms of work beside bursts of reward calls with 80 ms, to
the same plain instances. Without a common unit, each burst would look like instances
that turn slow.
"""

from __future__ import annotations

from math import exp, log
from typing import Final

import attrs

#: Smallest weight of a response in the mean of its kind.
_MIN_WEIGHT: Final = 1.0 / 256.0
#: Shortest response time that counts, in seconds.
_MIN_RESPONSE_S: Final = 0.0001


@attrs.define
class CallWork:
    """Mean response times at one upstream by kind of request.

    The unit is a request of the kind that was observed first.
    """

    # Mean of the logarithm of the response time, and the number of responses, by kind;
    # the first kind is the unit.
    kinds: dict[str, tuple[float, int]] = attrs.field(factory=dict)

    def unit_s(self, kind: str, took_s: float) -> float:
        """Record a response time; return the time that a unit would have taken."""
        took_log = log(max(_MIN_RESPONSE_S, took_s))
        mean_log, count = self.kinds.get(kind, (took_log, 0))
        weight = max(_MIN_WEIGHT, 1.0 / (count + 1))
        mean_log += weight * (took_log - mean_log)
        self.kinds[kind] = mean_log, count + 1
        unit_log, _ = next(iter(self.kinds.values()))
        return exp(took_log - mean_log + unit_log)
