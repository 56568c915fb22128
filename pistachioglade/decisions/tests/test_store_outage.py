"""Tests of the detection of an outage of the store, call by call."""

from __future__ import annotations

import pytest

from .. import StoreOutage, may_have_lapsed

#: Calls as (begun, ended, whether any route answered), the time of the check, and the
#: expected time since the outage.
_CASES = {
    "every call is answered": ([(0.0, 0.1, True), (1.0, 1.1, True)], 2.0, None),
    "one call is refused": ([(0.0, 0.1, True), (1.0, 1.0, False)], 1.4, None),
    "one is lost while others are answered": (
        [(0.8, 0.9, True), (0.0, 1.0, False)],
        1.4,
        None,
    ),
    "one is lost while none is answered": (
        [(0.0, 0.1, True), (0.2, 1.2, False)],
        1.4,
        0.0,
    ),
    "two are refused in half a second": (
        [(0.0, 0.1, True), (1.0, 1.0, False), (1.5, 1.5, False)],
        9.0,
        0.0,
    ),
    "refused and answered by turns": (
        [(0.0, 0.1, True), (1.0, 1.0, False), (1.3, 1.3, True), (1.6, 1.6, False)],
        1.7,
        None,
    ),
    "it is back": (
        [(0.0, 1.0, False), (1.3, 1.4, True), (2.0, 2.1, True)],
        2.4,
        1.0,
    ),
    "the second refusal's call goes by another way": (
        [(0.0, 0.1, True), (1.0, 1.0, False), (2.0, 2.0, False), (2.0, 2.1, True)],
        2.2,
        None,
    ),
    "a call that waits is answered with the return": (
        [(0.0, 0.1, True), (1.0, 2.0, False), (1.9, 2.9, True)],
        3.0,
        0.1,
    ),
    "it was away before the first answer": ([(0.0, 1.0, False)], 1.0, 0.0),
}


@pytest.mark.parametrize("name", _CASES)
def test_an_outage_is_detected_only_if_no_route_answers(name: str) -> None:
    calls, at_s, expected_s = _CASES[name]
    outage = StoreOutage()
    for begun_s, ended_s, is_answered in calls:
        if is_answered:
            outage.record_answer(begun_s, ended_s)
        else:
            outage.record_unanswered(begun_s, ended_s)
    assert outage.age_s(at_s) == (
        None if expected_s is None else pytest.approx(expected_s)
    )


@pytest.mark.parametrize(
    ("outage_age_s", "may"),
    [(None, False), (0.0, True), (2.0, True), (2.19, True), (2.21, False)],
)
def test_instances_may_have_lapsed_until_two_seconds_after_an_outage(
    outage_age_s: float | None, may: bool
) -> None:
    assert may_have_lapsed(outage_age_s) is may
