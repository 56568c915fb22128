"""Tests of the quarantine policy."""

from __future__ import annotations

import pytest

from .. import (
    Admission,
    CrashHistory,
    decide_admission,
    decide_owed_admission,
    history_retention_s,
    sample_pause_s,
)
from .._crash_quarantine import _QUARANTINE_RETENTION_S, _TRIAL_PAUSES_S

_SEND, _TRIAL, _REFUSE = Admission.SEND, Admission.TRIAL, Admission.REFUSE

_CASES = {
    # name: (crashes, trials, unchanged_s, is_running, open instances, admission)
    "never crashed": (0, 0, 0.0, True, 1, _SEND),
    "one crash, at the last instance": (1, 0, 0.0, True, 1, _SEND),
    "two crashes, a spare instance": (2, 0, 0.0, False, 2, _SEND),
    "two crashes, the last instance": (2, 0, 9.9, False, 1, _REFUSE),
    "two crashes, an upstream of one": (2, 0, 10.1, False, 1, _SEND),
    "two crashes, running here": (2, 0, 99.0, True, 2, _REFUSE),
    "quarantined": (3, 0, 29.9, False, 9, _REFUSE),
    "first trial": (3, 0, 30.1, False, 9, _TRIAL),
    "first trial, the last instance": (3, 0, 39.9, False, 1, _REFUSE),
    "first trial, an upstream of one": (3, 0, 40.1, False, 1, _TRIAL),
    "first trial in progress here": (3, 0, 30.1, True, 9, _REFUSE),
    "after the first trial": (4, 1, 119.9, False, 9, _REFUSE),
    "second trial": (4, 1, 120.1, False, 9, _TRIAL),
    "third trial": (5, 2, 600.1, False, 9, _TRIAL),
    "no trial left": (6, 3, 3599.0, False, 9, _REFUSE),
}


@pytest.mark.parametrize("name", _CASES)
def test_admission(name: str) -> None:
    crashes, trials, unchanged_s, is_running, open_instances, expected = _CASES[name]
    history = CrashHistory(crashes, trials, unchanged_s, is_running)
    verdict = decide_admission(history, open_instances)
    assert verdict.admission is expected
    assert (verdict.wait_s > 0.0) == (expected is _REFUSE)
    assert bool(verdict.reason) == (expected is _REFUSE)


_OWED_CASES = {
    # name: (crashes, trials, unchanged_s, is_running, open instances, admission)
    "never crashed": (0, 0, 0.0, True, 1, _SEND),
    "one crash, at the last instance": (1, 0, 0.0, True, 1, _SEND),
    "two crashes, a spare instance": (2, 0, 0.0, False, 2, _SEND),
    "two crashes, the last instance": (2, 0, 4.4, False, 1, _REFUSE),
    "two crashes, an upstream of one": (2, 0, 4.6, False, 1, _SEND),
    "two crashes, running here": (2, 0, 99.0, True, 2, _REFUSE),
    "three crashes": (3, 0, 4.4, False, 9, _REFUSE),
    "three crashes, later": (3, 0, 4.6, False, 9, _SEND),
    "three crashes, later, the last instance": (3, 0, 4.6, False, 1, _SEND),
    "many crashes, no trial left": (50, 3, 4.6, False, 9, _SEND),
    "many crashes, running here": (50, 3, 4.6, True, 9, _REFUSE),
}


@pytest.mark.parametrize("name", _OWED_CASES)
def test_admission_of_an_items_call(name: str) -> None:
    case = _OWED_CASES[name]
    crashes, trials, unchanged_s, is_running, open_instances, expected = case
    history = CrashHistory(crashes, trials, unchanged_s, is_running)
    verdict = decide_owed_admission(history, open_instances)
    assert verdict.admission is expected
    assert (verdict.wait_s > 0.0) == (expected is _REFUSE)


def test_a_refusal_carries_the_time_until_the_trial() -> None:
    verdict = decide_admission(CrashHistory(3, 0, 12.5, False), 9)
    assert verdict.wait_s == 17.5


def test_trials_end_before_a_history_expires() -> None:
    assert len(_TRIAL_PAUSES_S) <= 3
    assert max(_TRIAL_PAUSES_S) < _QUARANTINE_RETENTION_S == history_retention_s(3)
    assert history_retention_s(2) < history_retention_s(3)


def test_a_sample_is_delayed_for_less_than_five_seconds() -> None:
    pauses_s = [sample_pause_s(crashes) for crashes in range(12)]
    assert pauses_s[:3] == [0.0, 0.0, 0.0]
    assert pauses_s == sorted(pauses_s)
    assert 1.0 <= pauses_s[3] < pauses_s[-1] < 5.0
