"""Division of an agent's rollout slots between trainers.

Virtual token counters (VTC, "Fairness in Serving Large Language Models"):
each trainer has a counter of tokens made for it, divided by its share; a free
slot goes to the waiting trainer with the lowest counter. A rollout is charged its
expected tokens when it starts and settled when it ends, so that slots that come
free together don't all go to one trainer. A trainer that comes
back from idle is lifted to the lowest counter among those that wait, so that
idleness earns no credit and a flood earns no debt.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterator, Mapping
from itertools import chain
from typing import Final, Generic, TypeVar

#: Weight of the newest rollout in the running mean of a trainer's tokens.
_SMOOTHING: Final = 0.1

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Waiting rollouts, by trainer."""

    def __init__(self, shares: Mapping[str, int]) -> None:
        self._shares = dict(shares)
        self._waiting: dict[str, deque[T]] = defaultdict(deque)
        self._running: dict[str, int] = defaultdict(int)
        self._counters: dict[str, float] = defaultdict(float)
        self._mean_tokens: dict[str, float] = {}

    def set_shares(self, shares: Mapping[str, int]) -> None:
        """Replace the shares; counters go on."""
        self._shares = dict(shares)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._waiting.values())

    def waiting_of(self, trainer: str) -> int:
        """Return how many rollouts of a trainer wait."""
        return len(self._waiting[trainer])

    def counters(self) -> dict[str, float]:
        """Return a copy of the counters."""
        return dict(self._counters)

    def push(self, trainer: str, item: T) -> None:
        """Add a rollout at the end of its trainer's queue."""
        if not self._is_active(trainer):
            self._lift(trainer)
        self._waiting[trainer].append(item)

    def push_front(self, trainer: str, item: T) -> None:
        """Put a rollout that lost its slot before the others of its trainer."""
        self._waiting[trainer].appendleft(item)

    def _is_active(self, trainer: str) -> bool:
        return bool(self._waiting[trainer]) or self._running[trainer] > 0

    def _lift(self, trainer: str) -> None:
        active = [
            self._counters[name]
            for name in {*self._waiting, *self._running}
            if name != trainer and self._is_active(name)
        ]
        if active:
            self._counters[trainer] = max(self._counters[trainer], min(active))

    def backlogged(self) -> list[str]:
        """Return the trainers with waiting rollouts, the furthest behind first."""
        trainers = [name for name, queue in self._waiting.items() if queue]
        return sorted(trainers, key=lambda name: (self._counters[name], name))

    def peek(self, trainer: str) -> T:
        """Return the next rollout of a trainer that has one."""
        return self._waiting[trainer][0]

    def pop(self, trainer: str) -> T:
        """Start the next rollout of a trainer that has one."""
        item = self._waiting[trainer].popleft()
        self.started(trainer)
        return item

    def started(self, trainer: str) -> None:
        """Count a rollout that starts, with its expected tokens."""
        self._running[trainer] += 1
        self._charge(trainer, self._expected(trainer))

    def finished(self, trainer: str, tokens: int) -> None:
        """Count a rollout's end and settle its tokens."""
        expected = self._expected(trainer)
        self._running[trainer] -= 1
        self._charge(trainer, tokens - expected)
        known = self._mean_tokens.get(trainer, float(tokens))
        self._mean_tokens[trainer] = known + _SMOOTHING * (tokens - known)
        drift = self._expected(trainer) - expected
        self._charge(trainer, drift * self._running[trainer])

    def _expected(self, trainer: str) -> float:
        return self._mean_tokens.get(trainer, 0.0)

    def _charge(self, trainer: str, tokens: float) -> None:
        share = max(1, self._shares.get(trainer, 1))
        self._counters[trainer] += tokens / share

    def remove_if(self, wanted: Callable[[T], bool]) -> tuple[T, ...]:
        """Take out every waiting rollout that fits."""
        removed = tuple(item for item in self if wanted(item))
        for queue in self._waiting.values():
            kept = [item for item in queue if not wanted(item)]
            queue.clear()
            queue.extend(kept)
        return removed

    def __iter__(self) -> Iterator[T]:
        return chain.from_iterable(self._waiting.values())
