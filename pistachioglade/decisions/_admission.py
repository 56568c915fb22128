"""Orders the waiting requests of one upstream at one entry, and refuses in time.

Expected load: bursts of lookups at sixty times the usual rate of 6 per second for five
seconds, beside reward calls, at four instances with six slots each that other entries
use as well; answers are worth a quarter once they are later than the latency target,
and nothing after the deadline, 0.8 s after the request. On a calm day nothing waits.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from enum import Enum
from itertools import count
from typing import Any, Final

import attrs

from ._account_shares import AccountShares
from ._start_rate import StartRate

#: Most requests that wait for one upstream. Within the 0.8 s until a deadline, an entry
#: of one core starts fewer, and each keeps its body in memory.
MAX_WAITING: Final = 256
#: Priority of a request without a usable one; routes have it by default.
DEFAULT_PRIORITY: Final = 5
#: Lowest priority that engines know; 0 is the highest.
_MAX_PRIORITY: Final = 9
#: Largest part of the time to the latency target that an answer is expected to take.
#: While answers take longer, requests that have just arrived still count as in time,
#: and start before those that are late in any case.
_MAX_TARGET_FRACTION: Final = 2.0 / 3.0
#: Longest time to a deadline that is used, in seconds; a day, like the longest timeouts
#: of routes. It replaces times that are no usable numbers.
_MAX_WHOLE_S: Final = 86_400.0


def usable_priority(*candidates: Any) -> int:
    """Return the first candidate that is an integer, limited to 0 to 9."""
    numbers = (
        item
        for item in candidates
        if isinstance(item, int) and not isinstance(item, bool)
    )
    return max(0, min(_MAX_PRIORITY, next(numbers, DEFAULT_PRIORITY)))


def usable_time_s(value: float, most_s: float = _MAX_WHOLE_S) -> float:
    """Return a time span from 0 to ``most_s``; ``most_s`` for a value of no use."""
    return value if math.isfinite(value) and 0.0 <= value <= most_s else most_s


class AdmissionRefusal(Enum):
    """Why a request that waits, or would have to wait, is refused."""

    # The request can't be answered by its deadline.
    TOO_LATE = "too-late"
    # More urgent requests take all the starts until the request's deadline.
    DISPLACED = "displaced"
    # No instance of the upstream has been listed for some time.
    NO_INSTANCES = "no-instances"
    # The configuration no longer has the request's route.
    ROUTE_REMOVED = "route-removed"
    # The entry stops.
    STOPPING = "stopping"


@attrs.define(eq=False)
class WaitingRequest:
    """A request that may have to wait for an instance."""

    # Attempt id that the caller has given to the request.
    request_id: str
    # Name of the request's route.
    route: str
    # Name of the account; empty without one.
    account: str
    # Priority from 0 (highest) to 9.
    priority: int
    # Monotonic time at which the request arrived, in seconds.
    arrived_s: float
    # Monotonic time until which an answer has its full value, in seconds.
    target_s: float
    # Monotonic time until which an answer is of use, in seconds.
    deadline_s: float
    # Whether the request was admitted before and its try has failed.
    is_retry: bool = False
    # Whether the caller returns after a refusal.
    is_returning: bool = False
    # Monotonic time since which the request waits, in seconds.
    queued_s: float = 0.0
    # Order of arrival in the queue.
    number: int = 0

    @classmethod
    def create(
        cls,
        request_id: str,
        route: str,
        account: str,
        priority: int,
        arrived_s: float,
        aim_s: float,
        deadline_s: float,
        is_retry: bool = False,
    ) -> WaitingRequest:
        """Return a request whose times are finite and in order, whatever is passed."""
        whole_s = usable_time_s(deadline_s - arrived_s)
        return cls(
            request_id,
            route,
            account,
            usable_priority(priority),
            arrived_s,
            arrived_s + usable_time_s(aim_s, whole_s),
            arrived_s + whole_s,
            is_retry,
        )

    @property
    def aim_s(self) -> float:
        """Time from the arrival to the latency target."""
        return self.target_s - self.arrived_s

    @property
    def whole_s(self) -> float:
        """Time from the arrival to the deadline."""
        return self.deadline_s - self.arrived_s


@attrs.frozen
class Estimate:
    """What a decision about one request was based on, for its log line."""

    # Number of more urgent waiting requests.
    position: int
    # Expected time until the request can start, in seconds.
    wait_s: float
    # Expected time of its answer, in seconds.
    answer_s: float


@attrs.frozen
class QueueRefusal:
    """A request that the queue refuses, and why."""

    # The request.
    request: WaitingRequest
    # Why it is refused.
    reason: AdmissionRefusal
    # What the decision was based on.
    estimate: Estimate


class AdmissionQueue:
    """The waiting requests of one upstream at one entry."""

    def __init__(self) -> None:
        self._waiting: list[WaitingRequest] = []
        self._numbers = count()
        # Starts and answers of the upstream's requests.
        self.rate = StartRate()
        # Recent use of the upstream by account.
        self.shares = AccountShares()

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(tuple(self._waiting))

    def answer_s(self, request: WaitingRequest) -> float:
        """Return the expected time of a request's answer."""
        known = self.rate.answer_time(request.route, request.aim_s)
        return known.expected_s(request.whole_s)

    def _rank(self, request: WaitingRequest, now_s: float) -> tuple[Any, ...]:
        """Return the sort key; the least key is the most urgent request."""
        known = self.rate.answer_time(request.route, request.aim_s)
        answer_s = min(known.high_s, _MAX_TARGET_FRACTION * request.aim_s)
        is_late = now_s + answer_s > request.target_s
        return (
            request.priority,
            not request.is_retry,
            self.shares.level(request.account),
            not request.is_returning,
            is_late,
            request.deadline_s if is_late else request.target_s,
            request.number,
        )

    def in_order(self, now_s: float) -> list[WaitingRequest]:
        """Return the waiting requests, the most urgent first."""
        return sorted(self._waiting, key=lambda item: self._rank(item, now_s))

    def estimate(self, request: WaitingRequest, now_s: float) -> Estimate:
        """Return when a request, waiting or not, is expected to start."""
        return self._estimate(request, self._ranks(now_s), now_s)

    def estimates(self, now_s: float) -> list[tuple[WaitingRequest, Estimate]]:
        """Return the waiting requests in order, each with when it should start."""
        return [
            (
                request,
                Estimate(
                    position,
                    self.rate.wait_s(position, request.aim_s, now_s),
                    self.answer_s(request),
                ),
            )
            for position, request in enumerate(self.in_order(now_s))
        ]

    def _ranks(self, now_s: float) -> dict[WaitingRequest, tuple[Any, ...]]:
        return {item: self._rank(item, now_s) for item in self._waiting}

    def _estimate(
        self,
        request: WaitingRequest,
        ranks: Mapping[WaitingRequest, tuple[Any, ...]],
        now_s: float,
    ) -> Estimate:
        own = ranks.get(request) or self._rank(request, now_s)
        position = sum(rank < own for rank in ranks.values())
        wait_s = self.rate.wait_s(position, request.aim_s, now_s)
        return Estimate(position, wait_s, self.answer_s(request))

    def add(
        self, request: WaitingRequest, now_s: float
    ) -> tuple[Estimate, QueueRefusal | None]:
        """Let a request wait, unless it can't be answered by its deadline.

        Call this only while no instance has room. Returns the estimate for the request,
        and the request that is refused: this one, or the least urgent other one if this
        one takes the last start before its deadline. A retry of a request that was
        admitted always waits.
        """
        request.number = next(self._numbers)
        request.queued_s = now_s
        ranks = self._ranks(now_s)
        estimate = self._estimate(request, ranks, now_s)
        start_s = now_s + estimate.wait_s
        is_too_late = start_s + estimate.answer_s > request.deadline_s
        if is_too_late and not request.is_retry:
            reason = AdmissionRefusal.TOO_LATE
            return estimate, QueueRefusal(request, reason, estimate)
        self._waiting.append(request)
        self.rate.record_waiting(True, now_s)
        ranks[request] = self._rank(request, now_s)
        displaced = self._displaced(ranks, now_s)
        if displaced is not None:
            self.remove(displaced.request, now_s)
        return estimate, displaced

    def _displaced(
        self, ranks: Mapping[WaitingRequest, tuple[Any, ...]], now_s: float
    ) -> QueueRefusal | None:
        """Return the least urgent request if the queue is full.

        The queue is full at ``MAX_WAITING``, and as soon as the starts until the
        deadline of the least urgent request are all taken.
        """
        candidates = [item for item in ranks if not item.is_retry]
        if len(ranks) < 2 or not candidates:
            return None
        last = max(candidates, key=ranks.__getitem__)
        estimate = self._estimate(last, ranks, now_s)
        answered_s = now_s + estimate.wait_s + estimate.answer_s
        if len(ranks) <= MAX_WAITING and answered_s <= last.deadline_s:
            return None
        return QueueRefusal(last, AdmissionRefusal.DISPLACED, estimate)

    def remove(self, request: WaitingRequest, now_s: float) -> bool:
        """Remove a request; return whether it was waiting."""
        if request not in self._waiting:
            return False
        self._waiting.remove(request)
        self.rate.record_waiting(bool(self._waiting), now_s)
        return True

    def start(self, request: WaitingRequest, now_s: float) -> float:
        """Start a request, waiting or not; return the time charged to its account."""
        self.rate.record_start(now_s)
        self.remove(request, now_s)
        charged_s = self.answer_s(request)
        self.shares.charge(request.account, charged_s, now_s)
        return charged_s

    def end(
        self,
        request: WaitingRequest,
        charged_s: float,
        took_s: float,
        is_answered: bool,
        now_s: float,
    ) -> None:
        """Record the end of a request that has started."""
        self.rate.record_end(request.route, took_s, is_answered)
        self.shares.charge(request.account, took_s - charged_s, now_s)

    def take_too_late(self, now_s: float) -> list[QueueRefusal]:
        """Remove and return the requests that can't be answered by their deadlines.

        Call this only after all requests that can start have started.
        """
        late = [
            QueueRefusal(
                item, AdmissionRefusal.TOO_LATE, Estimate(0, 0.0, self.answer_s(item))
            )
            for item in self._waiting
            if now_s + self.answer_s(item) > item.deadline_s
        ]
        for refused in late:
            self.remove(refused.request, now_s)
        return late
