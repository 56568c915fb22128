"""Division of an agent's rollout slots between trainers.

Virtual token counters (VTC, "Fairness in Serving Large Language Models"): each trainer
has a counter of the tokens generated for it, divided by its share; a free slot goes to
the waiting trainer with the lowest counter. A rollout is charged its expected tokens
when it starts and adjusted to its actual tokens when it ends, so that slots that become
free together don't all go to one trainer. The counter of a trainer that becomes active
again is raised to the lowest counter among the active trainers, so that an idle trainer
earns no credit and a flood of rollouts earns no debt.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterator, Mapping
from itertools import chain
from typing import Final, Generic, TypeVar

#: Weight of the newest rollout in the moving average of a trainer's tokens.
_SMOOTHING: Final = 0.1

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Queues waiting rollouts by trainer and chooses the next by fair shares."""

    def __init__(self, shares: Mapping[str, int]) -> None:
        self._shares = dict(shares)
        self._waiting: dict[str, deque[T]] = defaultdict(deque)
        self._running: dict[str, int] = defaultdict(int)
        self._counters: dict[str, float] = defaultdict(float)
        self._mean_tokens: dict[str, float] = {}

    def set_shares(self, shares: Mapping[str, int]) -> None:
        """Replace the shares and keep the counters."""
        self._shares = dict(shares)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._waiting.values())

    def waiting_count(self, trainer: str) -> int:
        """Return the number of waiting rollouts of a trainer."""
        return len(self._waiting[trainer])

    def counters(self) -> dict[str, float]:
        """Return a copy of the counters by trainer."""
        return dict(self._counters)

    def push(self, trainer: str, item: T) -> None:
        """Add a rollout at the end of its trainer's queue."""
        if not self._is_active(trainer):
            self._raise_counter(trainer)
        self._waiting[trainer].append(item)

    def push_front(self, trainer: str, item: T) -> None:
        """Add a preempted rollout at the front of its trainer's queue."""
        self._waiting[trainer].appendleft(item)

    def _is_active(self, trainer: str) -> bool:
        return bool(self._waiting[trainer]) or self._running[trainer] > 0

    def _raise_counter(self, trainer: str) -> None:
        active = [
            self._counters[name]
            for name in {*self._waiting, *self._running}
            if name != trainer and self._is_active(name)
        ]
        if active:
            self._counters[trainer] = max(self._counters[trainer], min(active))

    def backlogged(self) -> list[str]:
        """Return the trainers with waiting rollouts, sorted by counter."""
        trainers = [name for name, queue in self._waiting.items() if queue]
        return sorted(trainers, key=lambda name: (self._counters[name], name))

    def peek(self, trainer: str) -> T:
        """Return the next waiting rollout of a trainer."""
        return self._waiting[trainer][0]

    def pop(self, trainer: str) -> T:
        """Remove the next waiting rollout of a trainer and count it as started."""
        item = self._waiting[trainer].popleft()
        self.record_started(trainer)
        return item

    def record_started(self, trainer: str) -> None:
        """Count a started rollout and charge its expected tokens."""
        self._running[trainer] += 1
        self._charge(trainer, self._expected_tokens(trainer))

    def record_finished(self, trainer: str, tokens: int) -> None:
        """Count a finished rollout and adjust the charge to its actual tokens."""
        expected = self._expected_tokens(trainer)
        self._running[trainer] -= 1
        self._charge(trainer, tokens - expected)
        known = self._mean_tokens.get(trainer, float(tokens))
        self._mean_tokens[trainer] = known + _SMOOTHING * (tokens - known)
        drift = self._expected_tokens(trainer) - expected
        self._charge(trainer, drift * self._running[trainer])

    def _expected_tokens(self, trainer: str) -> float:
        return self._mean_tokens.get(trainer, 0.0)

    def _charge(self, trainer: str, tokens: float) -> None:
        share = max(1, self._shares.get(trainer, 1))
        self._counters[trainer] += tokens / share

    def remove_if(self, is_match: Callable[[T], bool]) -> tuple[T, ...]:
        """Remove and return every waiting rollout that matches."""
        removed = tuple(item for item in self if is_match(item))
        for queue in self._waiting.values():
            kept = [item for item in queue if not is_match(item)]
            queue.clear()
            queue.extend(kept)
        return removed

    def __iter__(self) -> Iterator[T]:
        return chain.from_iterable(self._waiting.values())
