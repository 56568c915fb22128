"""Decides how many engines of an upstream each failure domain should have.

Expected load: steps of some sixty samples each that several trainers ask at once, every
few seconds, beside a slower rise and fall over the day. A new engine serves only after
its boot time, and every engine is paid for. The count follows the peaks of the demand:
up at once, down only when the peaks have been lower for long.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from math import ceil
from typing import Final

import attrs

#: Fraction of the slots that the peak demand may take.
_TARGET_USE: Final = 0.8
#: Boot times for which the peaks must have been lower before engines are given up.
_HOLD_BOOTS: Final = 5.0
#: Shortest such time, in seconds: several steps of a trainer.
_MIN_HOLD_S: Final = 20.0
#: Time over which the growth of the demand is measured, in seconds: longer than the
#: time between two steps of a trainer, whose peaks are no growth.
_GROWTH_SPAN_S: Final = 8.0


@attrs.frozen
class EngineLimits:
    """Limits of the operator for one upstream; counts are for each failure domain."""

    # Smallest number of engines.
    minimum: int
    # Largest number of engines.
    maximum: int
    # Time from an order until a new engine serves, in seconds.
    boot_s: float


class DemandHistory:
    """The demand of one upstream over time, in slots."""

    def __init__(self, limits: EngineLimits) -> None:
        self._boot_s = limits.boot_s
        self._hold_s = max(_MIN_HOLD_S, _HOLD_BOOTS * limits.boot_s)
        # Time and demand, oldest first.
        self._samples: deque[tuple[float, float]] = deque()
        self._began_s: float | None = None

    def record(self, demand: float, now_s: float) -> None:
        """Record the slots that requests take or wait for now."""
        if self._began_s is None:
            self._began_s = now_s
        self._samples.append((now_s, demand))
        while self._samples[0][0] < now_s - self._hold_s:
            self._samples.popleft()

    @property
    def is_complete(self) -> bool:
        """Whether the history is long enough to give engines up."""
        if self._began_s is None:
            return False
        return self._samples[-1][0] - self._began_s >= self._hold_s

    def expected(self) -> float:
        """Return the peak demand, with its growth until a new engine serves."""
        if not self._samples:
            return 0.0
        now_s = self._samples[-1][0]
        peak = max(demand for _, demand in self._samples)
        recent = self._peak_between(now_s - _GROWTH_SPAN_S, now_s)
        before = self._peak_between(now_s - 2 * _GROWTH_SPAN_S, now_s - _GROWTH_SPAN_S)
        growth_per_s = max(0.0, recent - before) / _GROWTH_SPAN_S if before else 0.0
        return max(peak, recent + growth_per_s * self._boot_s)

    def _peak_between(self, since_s: float, until_s: float) -> float:
        """Return the largest demand after one time and up to another."""
        return max(
            (demand for at_s, demand in self._samples if since_s < at_s <= until_s),
            default=0.0,
        )


def engine_counts(
    expected: float,
    slots: int,
    ordered: Mapping[str, int],
    limits: EngineLimits,
    may_shrink: bool,
) -> dict[str, int]:
    """Return the number of engines that each failure domain should have.

    ``ordered`` is the number that each domain was last ordered to have. A domain gives
    up one engine at a time, and none while the others have no room for its work.
    """
    needed = ceil(expected / (_TARGET_USE * max(1, slots)))
    wanted = _spread(needed, ordered, limits)
    return {
        domain: max(wanted[domain], count - (1 if may_shrink else 0), limits.minimum)
        if wanted[domain] < count
        else wanted[domain]
        for domain, count in ordered.items()
    }


def _spread(
    needed: int, domains: Iterable[str], limits: EngineLimits
) -> dict[str, int]:
    """Spread engines evenly over the domains, within the limits of each."""
    names = sorted(domains)
    base, extra = divmod(needed, max(1, len(names)))
    return {
        name: min(limits.maximum, max(limits.minimum, base + (index < extra)))
        for index, name in enumerate(names)
    }
