"""Who reports usage and when, where counters are copied, and whose clock is right."""

from __future__ import annotations

import pytest

from .. import (
    MAX_DUTY_RANKS,
    ReportTerms,
    clock_correction_s,
    copy_holder,
    duty_order,
)

_TERMS = ReportTerms(5.0, 10.0)
_ENTRIES = [f"entry-{number}" for number in range(25)]


def test_reports_leave_time_for_an_outage_of_five_seconds() -> None:
    window = _TERMS.window_at(1002.0)
    assert _TERMS.end_s(window) == 1005.0
    assert _TERMS.due_s(window) - _TERMS.report_s(window, 0) >= 5.0
    assert _TERMS.wait_until_s(window) < _TERMS.due_s(window)
    times = [_TERMS.report_s(window, rank) for rank in range(MAX_DUTY_RANKS)]
    assert times == sorted(times)
    assert times[0] > _TERMS.end_s(window)
    assert times[-1] < _TERMS.due_s(window)


def test_the_last_holder_goes_first_while_it_is_listed() -> None:
    first = duty_order("d", _ENTRIES, "")
    assert len(first) == MAX_DUTY_RANKS
    assert duty_order("d", reversed(_ENTRIES), "") == first
    holder = first[2]
    assert duty_order("d", _ENTRIES, holder)[0] == holder
    listed = [name for name in _ENTRIES if name != holder]
    assert duty_order("d", listed, holder)[0] == first[0]
    assert holder not in duty_order("d", _ENTRIES, holder, resting={holder})


def test_a_copy_goes_to_another_failure_domain() -> None:
    domains = {name: f"d{number % 4}" for number, name in enumerate(_ENTRIES)}
    for name in _ENTRIES:
        holder = copy_holder(name, domains)
        assert holder is not None and domains[holder] != domains[name]
    assert copy_holder("a", {"a": "d", "b": "d"}) == "b"
    assert copy_holder("a", {"a": "d"}) is None


@pytest.mark.parametrize(
    ("differences_s", "correction_s"),
    [
        ([], 0.0),
        ([0.001, -0.004, 0.002], 0.0),
        ([2.0, 0.0, 0.001, 0.0], 0.0),
        ([2.0, 2.0, 2.001, 0.0], 2.0),
        ([-1.5, -1.5, -1.5], -1.5),
    ],
)
def test_a_clock_follows_the_majority(
    differences_s: list[float], correction_s: float
) -> None:
    assert clock_correction_s(differences_s) == pytest.approx(correction_s, abs=0.01)
