"""Fair division of slots: shares, floods and trainers that were idle."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from .. import FairQueue


def _serve(
    queue: FairQueue[int], lengths: dict[str, int], slots: int, rounds: int
) -> Counter[str]:
    """Serve trainers that are always backlogged; return the tokens of each."""
    rng = random.Random(1)
    running: list[tuple[float, str, int]] = []
    tokens: Counter[str] = Counter()
    now = 0.0
    for _round in range(rounds):
        for trainer in lengths:
            while queue.waiting_count(trainer) < slots:
                queue.push(trainer, 0)
        while len(running) < slots:
            trainer = queue.backlogged()[0]
            queue.pop(trainer)
            length = rng.randint(1, 2 * lengths[trainer])
            running.append((now + length, trainer, length))
        running.sort()
        now, trainer, length = running.pop(0)
        queue.record_finished(trainer, length)
        tokens[trainer] += length
    return tokens


@pytest.mark.parametrize(
    ("shares", "lengths"),
    [
        ({"a": 50, "b": 50}, {"a": 100, "b": 100}),
        ({"a": 60, "b": 40}, {"a": 100, "b": 300}),
        ({"a": 10, "b": 30, "c": 60}, {"a": 500, "b": 100, "c": 50}),
    ],
)
def test_tokens_follow_the_shares(
    shares: dict[str, int], lengths: dict[str, int]
) -> None:
    tokens = _serve(FairQueue(shares), lengths, slots=16, rounds=20_000)
    total = sum(tokens.values())
    for trainer, share in shares.items():
        assert abs(100 * tokens[trainer] / total - share) < 2.0


def test_a_flood_does_not_starve_another_trainer() -> None:
    queue: FairQueue[int] = FairQueue({"flood": 50, "small": 50})
    for _item in range(1000):
        queue.push("flood", 0)
    for _turn in range(10):
        queue.pop("flood")
        queue.record_finished("flood", 100)
    queue.push("small", 0)
    queue.push("small", 0)
    first = [queue.backlogged()[0]]
    queue.pop(first[0])
    assert "small" in [*first, queue.backlogged()[0]]


def test_an_idle_trainer_earns_no_credit() -> None:
    queue: FairQueue[int] = FairQueue({"busy": 50, "idle": 50})
    for _item in range(200):
        queue.push("busy", 0)
        queue.pop("busy")
        queue.record_finished("busy", 100)
        queue.push("busy", 0)
        queue.pop("busy")
    queue.push("idle", 0)
    counters = queue.counters()
    assert counters["idle"] >= counters["busy"] - 100
