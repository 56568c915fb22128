"""Engine counts under played loads, judged by the slots that callers find."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise

import pytest

from .. import DemandHistory, EngineLimits, engine_counts

_LIMITS = EngineLimits(1, 6, 6.0)
_SLOTS = 6
_DOMAINS = ("a", "b", "c", "d")


def _play(
    load: Callable[[float], float], duration_s: float, start: int = 2
) -> tuple[list[float], list[int]]:
    """Play a load; return the unserved demand and the ordered engines by second."""
    history = DemandHistory(_LIMITS)
    ordered = dict.fromkeys(_DOMAINS, start)
    serving = [(0.0, sum(ordered.values()))]
    unserved, totals = [], []
    for second in range(int(duration_s)):
        now_s = float(second)
        demand = load(now_s)
        history.record(demand, now_s)
        ordered = engine_counts(
            history.expected(), _SLOTS, ordered, _LIMITS, history.is_complete
        )
        serving.append((now_s, sum(ordered.values())))
        # An engine serves after its boot time; one that is given up ends at once.
        booted = [count for at_s, count in serving if at_s <= now_s - _LIMITS.boot_s]
        engines = min(sum(ordered.values()), booted[-1] if booted else serving[0][1])
        unserved.append(max(0.0, demand - engines * _SLOTS))
        totals.append(sum(ordered.values()))
    return unserved, totals


def test_a_steady_load_keeps_its_engines() -> None:
    unserved, totals = _play(lambda _now: 38.0, 120.0)
    assert not any(unserved)
    assert set(totals) == {8}


def test_a_rising_load_is_served_but_for_the_boot_time() -> None:
    unserved, totals = _play(lambda now: 30.0 + now, 80.0)
    assert max(unserved) <= 6.0 * 1.0 + _SLOTS
    assert totals[-1] >= 110.0 / _SLOTS
    assert sum(unserved) < 0.02 * sum(30.0 + now for now in range(80))


def test_steps_of_trainers_do_not_make_engines_come_and_go() -> None:
    def steps(now_s: float) -> float:
        return 40.0 if now_s % 8.0 < 4.0 else 4.0

    _, totals = _play(steps, 200.0)
    assert len(set(totals[10:])) == 1


def test_engines_are_given_up_one_by_one_when_the_load_has_fallen_for_long() -> None:
    unserved, totals = _play(lambda now: 100.0 if now < 40.0 else 10.0, 200.0, 6)
    assert not any(unserved)
    hold_s = 30
    assert totals[40 + hold_s - 2] == totals[40]
    assert totals[-1] == len(_DOMAINS) * _LIMITS.minimum
    assert all(before - after <= len(_DOMAINS) for before, after in pairwise(totals))


@pytest.mark.parametrize("expected", [0.0, 1e9])
def test_the_limits_hold_for_each_domain(expected: float) -> None:
    ordered = dict.fromkeys(_DOMAINS, 3)
    for _ in range(10):
        ordered = engine_counts(expected, _SLOTS, ordered, _LIMITS, True)
    wanted = _LIMITS.maximum if expected else _LIMITS.minimum
    assert set(ordered.values()) == {wanted}


def test_nothing_is_given_up_before_the_history_is_long_enough() -> None:
    history = DemandHistory(_LIMITS)
    history.record(0.0, 0.0)
    assert not history.is_complete
    ordered = {"a": 4, "b": 4}
    assert engine_counts(0.0, _SLOTS, ordered, _LIMITS, False) == ordered
