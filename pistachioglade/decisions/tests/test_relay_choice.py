"""Tests of the choice of relays to the store."""

from __future__ import annotations

from itertools import count, takewhile

import pytest

from .._relay_choice import RelayReport, relays_to_ask, relays_to_use

_NAMES = [f"e-{number:02}" for number in range(22)]


def test_rounds_ask_different_entries_in_a_cycle() -> None:
    rounds = [relays_to_ask("e-03", _NAMES, index) for index in range(4)]
    assert all(len(asked) == 3 and "e-03" not in asked for asked in rounds)
    assert not set(rounds[0]) & set(rounds[1])
    assert rounds[2:] == rounds[:2]


def test_in_a_large_fleet_an_entry_asks_only_six_others() -> None:
    asked = {name for index in range(50) for name in relays_to_ask("me", _NAMES, index)}
    assert len(asked) == 6


@pytest.mark.parametrize("others", [0, 1, 2, 4])
def test_in_a_small_fleet_an_entry_asks_all_others(others: int) -> None:
    names = ["me", *_NAMES[:others]]
    asked = {name for index in range(3) for name in relays_to_ask("me", names, index)}
    assert asked == set(_NAMES[:others])


def test_adjacent_entries_that_lose_the_store_find_a_relay() -> None:
    """Eight adjacent entries are cut off; each finds a relay by its second round."""
    cut_off = set(_NAMES[:8])

    def rounds_until_found(name: str) -> int:
        unsuccessful = takewhile(
            lambda index: set(relays_to_ask(name, _NAMES, index)) <= cut_off, count()
        )
        return sum(1 for _ in unsuccessful) + 1

    assert max(map(rounds_until_found, cut_off)) <= 2


_REPORTS = {
    # name: (reports at 10.0, expected)
    "none": ({}, []),
    "one reaches it": ({"a": RelayReport(9.8, True)}, ["a"]),
    "one doesn't": ({"a": RelayReport(9.8, False)}, []),
    "an old word": ({"a": RelayReport(8.9, True)}, []),
    "the latest first": (
        {"a": RelayReport(9.2, True), "b": RelayReport(9.9, True)},
        ["b", "a"],
    ),
    "the ablest before the latest": (
        {
            "small": RelayReport(9.9, True, 0.3),
            "large": RelayReport(9.2, True, 1.0),
            "larger, cut off": RelayReport(9.9, False, 2.0),
            "larger, long ago": RelayReport(8.0, True, 2.0),
        },
        ["large", "small"],
    ),
    "two at most": (
        {name: RelayReport(9.5, True) for name in "abcd"},
        ["a", "b"],
    ),
}


@pytest.mark.parametrize("name", _REPORTS)
def test_only_recent_reports_of_entries_that_reach_the_store_count(name: str) -> None:
    reports, expected = _REPORTS[name]
    assert relays_to_use(reports, 10.0) == expected
