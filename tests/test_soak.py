"""Short soaks, and every seed that has failed; longer soaks are run by hand."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from soak._bursts import Bursts
from soak._crash_bounds import CrashRun, Interruption, OutageJudge
from soak._run import Sizes, soak
from soak._trainers import Step
from soak.seeds import FAILED_SEEDS

_SHORT = [(101, 8.0), (102, 8.0)]


@pytest.mark.parametrize(("seed", "duration_s"), [*_SHORT, *FAILED_SEEDS])
def test_no_promise_is_broken(seed: int, duration_s: float, tmp_path: Path) -> None:
    outcome = asyncio.run(soak(seed, duration_s, tmp_path, Sizes()))
    assert outcome.faults
    assert outcome.counts["sample"]
    assert outcome.violations == ()


_SENT = {
    # name: (times sent, answers that promise no run, expected is_refused)
    "never sent": (0, 0, False),
    "refused once": (1, 1, True),
    "refused each time": (3, 3, True),
    "one time without an answer": (3, 2, False),
    "left by its trainer before the first answer": (1, 0, False),
}


@pytest.mark.parametrize("name", _SENT)
def test_a_submission_is_refused_only_by_answers(name: str) -> None:
    """Under load, a trainer stopped in its call left a job that ran (seed 102)."""
    sent, refusals, is_refused = _SENT[name]
    step = Step("job", 1, sent=sent, refusals=refusals)
    assert step.is_refused is is_refused


@pytest.mark.parametrize(
    ("answers", "violations"),
    [
        ({"soaked": 9, "urgent": 9, "patient": 1}, 0),
        ({"soaked": 9, "urgent": 99}, 1),
        ({}, 1),
    ],
)
def test_an_account_without_answers_in_a_burst_is_starved(
    answers: dict[str, int], violations: int
) -> None:
    found: list[str] = []
    world: Any = SimpleNamespace(counts=Counter(), record_violation=found.append)
    Bursts(world)._check(Counter(answers))
    assert len(found) == violations


def _crash(entry: str, begun_s: float, instance: str = "i") -> CrashRun:
    return CrashRun(entry, instance, begun_s - 0.01, begun_s, begun_s + 0.02)


#: Three crashes at two entries, and their time in an outage that lasts from 9 to 20 s.
_CRASHES = [_crash("a", 10.0), _crash("b", 10.2), _crash("a", 10.4)]
_OUTAGE = (9.0, 20.0)

_RUNS: dict[str, tuple[list[CrashRun], list[Interruption], tuple[float, float], int]]
_RUNS = {
    # name: (runs, interruptions, outage, expected number of counted runs)
    "none after the third crash": (_CRASHES, [], _OUTAGE, 0),
    "one after the third crash": ([*_CRASHES, _crash("c", 10.6)], [], _OUTAGE, 1),
    "before the outage": ([*_CRASHES, _crash("c", 10.6)], [], (11.0, 20.0), 0),
    "after the outage": ([*_CRASHES, _crash("c", 20.1)], [], _OUTAGE, 0),
    "entry frozen before": (
        [*_CRASHES, _crash("c", 11.5)],
        [Interruption("c", 8.0, 11.0)],
        _OUTAGE,
        0,
    ),
    "entry killed before and not ready yet": (
        [*_CRASHES, _crash("c", 11.5)],
        [Interruption("c", 10.5)],
        _OUTAGE,
        0,
    ),
    "entry started within the grace period before the request": (
        [*_CRASHES, _crash("c", 11.5)],
        [Interruption("c", 6.0, 7.5)],
        _OUTAGE,
        0,
    ),
    "entry started earlier than that": (
        [*_CRASHES, _crash("c", 11.5)],
        [Interruption("c", 5.0, 6.5)],
        _OUTAGE,
        1,
    ),
    "entry interrupted only afterwards": (
        [*_CRASHES, _crash("c", 11.5)],
        [Interruption("c", 11.6, 14.0), Interruption("a", 11.6, 14.0)],
        _OUTAGE,
        1,
    ),
    "another entry interrupted": (
        [*_CRASHES, _crash("c", 11.5)],
        [Interruption("d", 9.5, 14.0)],
        _OUTAGE,
        1,
    ),
    "reporting entry killed before the run": (
        [*_CRASHES, _crash("c", 11.5)],
        [Interruption("b", 10.3, 14.0)],
        _OUTAGE,
        0,
    ),
    "crash held up at a disturbed relay": (
        [*_CRASHES[:2], _crash("a", 10.4, "held"), _crash("c", 11.5)],
        [Interruption("held", 10.0, 10.395)],
        _OUTAGE,
        0,
    ),
    "run held up at a disturbed relay": (
        [*_CRASHES, _crash("c", 11.5, "held")],
        [Interruption("held", 11.0, 11.495)],
        _OUTAGE,
        0,
    ),
}


def _outage_judge(
    runs: list[CrashRun],
    interruptions: list[Interruption] | None = None,
    outage: tuple[float, float] = _OUTAGE,
) -> OutageJudge:
    return OutageJudge(runs, 10.0, [outage], interruptions or [])


@pytest.mark.parametrize("name", _RUNS)
def test_runs_in_an_outage_count_at_connected_entries(name: str) -> None:
    """No run in an outage was judged, though only the store was disturbed."""
    runs, interruptions, outage, expected = _RUNS[name]
    judge = _outage_judge(runs, interruptions, outage)
    assert len(judge.extra_runs()) == expected


@pytest.mark.parametrize(
    ("entries_of_runs", "at_s", "entries", "violations"),
    [
        # One run at each further entry may have been in progress.
        ("", 10.6, 3, 0),
        ("c", 10.6, 3, 0),
        ("bc", 10.6, 3, 0),
        # An entry that ran the request again has missed three crashes and its own.
        ("cc", 10.6, 3, 1),
        # The entry of the third crash counts as no further one.
        ("abc", 10.6, 3, 1),
        ("b", 10.6, 1, 1),
        # Later than the grace period, no more than three attempts may run at all.
        ("bcd", 14.0, 6, 0),
        ("bcde", 10.6, 6, 0),
        ("bcde", 14.0, 6, 1),
    ],
)
def test_few_runs_may_follow_the_third_known_crash(
    entries_of_runs: str, at_s: float, entries: int, violations: int
) -> None:
    """Entries that don't share crashes lose up to three instances each."""
    later = [_crash(entry, at_s) for entry in entries_of_runs]
    found = list(_outage_judge([*_CRASHES, *later]).find_violations(entries))
    assert len(found) == violations
