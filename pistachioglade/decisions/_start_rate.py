"""Estimates when a waiting request can start, from how requests started and ended.

Expected load: bursts of lookups at sixty times the usual rate, for some seconds, at
instances that other entries use as well. How much of them this entry gets shows only in
the rate at which its own requests start.
"""

from __future__ import annotations

import math
from collections import deque
from itertools import takewhile
from typing import Final

import attrs

#: Least time over which starts are counted: some times the work of a lookup, and a
#: fraction of its deadline.
_MIN_WINDOW_S: Final = 0.4
#: The same time as a multiple of the mean time of an answer. Requests that run for
#: seconds start seconds apart; within a shorter window there might be no start at all,
#: and all new requests would be refused.
_WINDOW_ANSWERS: Final = 2.0
#: Number of starts that are kept; more than an entry makes within the window.
_MAX_STARTS: Final = 1024
#: Weight of the newest answer in the mean time of an answer.
_ANSWER_WEIGHT: Final = 0.1
#: Mean time of an answer before any was measured, as a fraction of the latency target.
#: The mean work of a plain service takes about a fifth of it.
_FIRST_ANSWER_FRACTION: Final = 0.2
#: Largest part of a request's whole time that its answer is expected to take. Without
#: this limit, streams that are usually long would make a short one look unservable.
_MAX_ANSWER_FRACTION: Final = 0.5
#: Number of mean deviations above the mean time below which about nine in ten answers
#: come. Requests that start when only the mean time is left are late in half the cases.
_HIGH_DEVIATIONS: Final = 2.0
#: Shortest time of an answer that is expected, so that no rate is infinite.
_MIN_ANSWER_S: Final = 1e-3


@attrs.frozen
class AnswerTime:
    """How long answers take."""

    # Mean, in seconds.
    mean_s: float
    # Mean absolute deviation from the mean, in seconds.
    deviation_s: float

    @classmethod
    def mixed(cls, known: AnswerTime | None, took_s: float) -> AnswerTime:
        """Return the time with another answer taken into account."""
        if known is None:
            return cls(took_s, took_s / 2.0)
        off_s = abs(took_s - known.mean_s)
        return cls(
            known.mean_s + _ANSWER_WEIGHT * (took_s - known.mean_s),
            known.deviation_s + _ANSWER_WEIGHT * (off_s - known.deviation_s),
        )

    def expected_s(self, whole_s: float) -> float:
        """Return the mean; ``whole_s`` is the request's time until its deadline."""
        return min(self.mean_s, _MAX_ANSWER_FRACTION * whole_s)

    @property
    def high_s(self) -> float:
        """Time within which most answers come."""
        return self.mean_s + _HIGH_DEVIATIONS * self.deviation_s


class StartRate:
    """Measures starts and answers of the requests of one upstream at one entry."""

    def __init__(self) -> None:
        # Requests of this entry at the upstream's instances.
        self.in_flight = 0
        # Monotonic time since which requests wait, in seconds; None if none waits.
        self.waiting_since_s: float | None = None
        # Monotonic times of starts while requests waited, in seconds.
        self._starts_s: deque[float] = deque(maxlen=_MAX_STARTS)
        # Time of an answer, of all routes; None before any.
        self._answers: AnswerTime | None = None
        # Time of an answer, by route.
        self._answers_of: dict[str, AnswerTime] = {}

    def record_start(self, now_s: float) -> None:
        """Record that a request is sent to an instance."""
        self.in_flight += 1
        if self.waiting_since_s is not None:
            self._starts_s.append(now_s)

    def record_end(self, route: str, took_s: float, is_answered: bool) -> None:
        """Record that a request has ended at its instance."""
        self.in_flight = max(0, self.in_flight - 1)
        if is_answered and 0.0 <= took_s < math.inf:
            self._answers = AnswerTime.mixed(self._answers, took_s)
            known = self._answers_of.get(route)
            self._answers_of[route] = AnswerTime.mixed(known, took_s)

    def record_waiting(self, is_any_waiting: bool, now_s: float) -> None:
        """Record whether requests wait."""
        if not is_any_waiting:
            self.waiting_since_s = None
            self._starts_s.clear()
        elif self.waiting_since_s is None:
            self.waiting_since_s = now_s

    def keep_routes(self, names: frozenset[str]) -> None:
        """Forget the routes that the configuration no longer has."""
        self._answers_of = {
            name: known for name, known in self._answers_of.items() if name in names
        }

    def answer_time(self, route: str, aim_s: float) -> AnswerTime:
        """Return the time of an answer of a route."""
        known = self._answers_of.get(route, self._answers)
        return known or AnswerTime(_FIRST_ANSWER_FRACTION * aim_s, 0.0)

    def starts_per_s(self, aim_s: float, now_s: float) -> float:
        """Return the rate at which waiting requests are expected to start.

        As far as requests haven't waited for the whole window yet, the rate at which
        the requests in flight should end takes the place of the measured one.
        """
        known = self._answers or AnswerTime(_FIRST_ANSWER_FRACTION * aim_s, 0.0)
        ending_per_s = max(1, self.in_flight) / max(_MIN_ANSWER_S, known.mean_s)
        window_s = max(_MIN_WINDOW_S, _WINDOW_ANSWERS * known.mean_s)
        since_s = now_s if self.waiting_since_s is None else self.waiting_since_s
        observed_s = min(window_s, max(0.0, now_s - since_s))
        recent = takewhile(
            lambda start_s: start_s > now_s - window_s, reversed(self._starts_s)
        )
        starts = sum(1 for _ in recent)
        return (starts + ending_per_s * (window_s - observed_s)) / window_s

    def wait_s(self, position: int, aim_s: float, now_s: float) -> float:
        """Return when the request behind ``position`` others can start, from now."""
        rate = self.starts_per_s(aim_s, now_s)
        return (position + 1) / rate if rate > 0.0 else float("inf")
