"""Estimates how much longer samples get, from the samples that ended.

Expected load: steps of hundreds of samples whose lengths have a long tail. Callers
estimate the length of each sample; an estimate is right in the median, and often far
off. The estimates of different models may be wrong in different ways, so the lengths
that were observed relative to the callers' estimates are kept by model.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import OrderedDict, deque
from itertools import accumulate
from math import exp
from statistics import NormalDist
from typing import Final

import attrs

#: Ended samples of a model that count. These are a few steps of one trainer, so that a
#: change of the lengths shows within some ten seconds.
_MAX_SAMPLES: Final = 300
#: Ended samples of a model from which on the high estimate is based on them. Before, a
#: sample may get as long as its limit allows: callers' estimates may be off by any
#: factor.
_MIN_SAMPLES: Final = 50
#: Models with known lengths; the model used least recently is forgotten first.
#: Submissions may name any model.
_MAX_MODELS: Final = 64
#: Spread of the logarithm of a sample's length around the caller's estimate, as long as
#: few samples have ended. Measured spreads were 0.84 to 0.9.
_START_SPREAD: Final = 0.9
#: Number of ended samples of a model from which on no ratios are assumed: the callers'
#: estimates of a model may all be wrong by the same factor.
_FEW_SAMPLES: Final = 100
#: Number of assumed ratios with that spread. They count like ended samples: the short
#: samples of a step end first, and alone would make all lengths look short.
_START_SAMPLES: Final = 32
#: Expected events of a sample without an estimate before any sample ended: a usual
#: text.
_START_EVENTS: Final = 20.0
#: Longest text that callers may estimate or limit, in events. Larger numbers count as
#: this one.
_MAX_EVENTS: Final = 1_000_000
#: Fraction of the samples that are no longer than the high estimate. A group is late if
#: one of its samples is late, and groups have up to 16 samples.
_HIGH_FRACTION: Final = 0.98
#: Expected remainder of a text that is longer than all known ones, as a fraction of its
#: present length: in a long tail the remainder grows with the length.
_TAIL_FRACTION: Final = 0.25


def _usable_hint(hint_events: float | None) -> float | None:
    """Return a caller's estimate; None if it says nothing."""
    if hint_events is None or hint_events <= 0:
        return None
    return float(min(hint_events, _MAX_EVENTS))


def _start_ratios() -> tuple[float, ...]:
    normal = NormalDist(0.0, _START_SPREAD)
    return tuple(
        exp(normal.inv_cdf((index + 0.5) / _START_SAMPLES))
        for index in range(_START_SAMPLES)
    )


_START_RATIOS: Final = _start_ratios()


@attrs.frozen
class RemainingLength:
    """The events that a sample is expected to emit from now on."""

    # Mean of the remaining events.
    expected_events: float
    # Number of events that 49 of 50 such samples don't exceed.
    high_events: float


@attrs.define
class _Observed:
    """Values of the latest samples, and what is computed from them."""

    # Assumed values, which count like observed ones.
    assumed: tuple[float, ...] = ()
    # Values of the latest samples, the newest last.
    latest: deque[float] = attrs.field(factory=lambda: deque(maxlen=_MAX_SAMPLES))
    # All values in ascending order; None after a change.
    _ordered: list[float] | None = None
    # Sum of the first n values in that order, for each n.
    _sums: list[float] = attrs.field(factory=list)

    def add(self, value: float) -> None:
        """Add the value of a sample that ended."""
        self.latest.append(value)
        self._ordered = None

    def above(self, minimum: float, limit: float) -> tuple[float, float] | None:
        """Return the mean and the high quantile of the values above a minimum.

        Values above ``limit`` count as ``limit``. None if no value is above the
        minimum.
        """
        ordered = self._ordered
        if ordered is None:
            assumed = self.assumed if len(self.latest) < _FEW_SAMPLES else ()
            ordered = self._ordered = sorted((*assumed, *self.latest))
            self._sums = list(accumulate(ordered, initial=0.0))
        first = bisect_right(ordered, minimum)
        count = len(ordered) - first
        if count == 0:
            return None
        beyond = max(first, bisect_left(ordered, limit))
        total = self._sums[beyond] - self._sums[first]
        total += (len(ordered) - beyond) * limit
        high = ordered[first + min(count - 1, int(_HIGH_FRACTION * count))]
        return total / count, min(limit, high)


@attrs.define
class _ModelLengths:
    """Lengths of the samples of one model that ended."""

    # Lengths in events.
    events: _Observed = attrs.field(factory=_Observed)
    # Lengths as multiples of the callers' estimates.
    ratios: _Observed = attrs.field(factory=lambda: _Observed(_START_RATIOS))


class LengthEstimates:
    """Lengths of the latest samples by model, and estimates from them."""

    def __init__(self) -> None:
        self._models: OrderedDict[str, _ModelLengths] = OrderedDict()

    def record(self, model: str, events: int, hint_events: float | None) -> None:
        """Record a complete text; ``hint_events`` is the caller's estimate."""
        if events <= 0:
            return
        lengths = self._models.setdefault(model, _ModelLengths())
        self._models.move_to_end(model)
        lengths.events.add(float(events))
        hint = _usable_hint(hint_events)
        if hint is not None:
            lengths.ratios.add(events / hint)
        while len(self._models) > _MAX_MODELS:
            self._models.popitem(last=False)

    def remaining(
        self,
        model: str,
        events: int,
        hint_events: float | None,
        most_events: float | None,
    ) -> RemainingLength:
        """Return the remaining length of a sample that has ``events`` events.

        ``hint_events`` is the caller's estimate of the whole length, and
        ``most_events`` the limit; None if the caller named none.
        """
        limit = float(
            min(_MAX_EVENTS, _MAX_EVENTS if most_events is None else most_events)
        )
        if events >= limit:
            return RemainingLength(0.0, 0.0)
        lengths = self._models.get(model) or _ModelLengths()
        hint = _usable_hint(hint_events)
        if hint is None and lengths.events.latest:
            observed, scale = lengths.events, 1.0
        else:
            observed, scale = lengths.ratios, hint or _START_EVENTS
        found = observed.above(events / scale, limit / scale)
        if found is None:
            tail = min(limit - events, max(1.0, _TAIL_FRACTION * events))
            return RemainingLength(tail, tail)
        mean, high = found
        if len(observed.latest) < _MIN_SAMPLES and most_events is not None:
            high = limit / scale
        return RemainingLength(mean * scale - events, high * scale - events)
