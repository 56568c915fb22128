"""By way of which entries the store is called, as tables."""

from __future__ import annotations

from itertools import count, takewhile

import pytest

from .._relay_choice import RelayWord, relays_to_ask, relays_to_use

_NAMES = [f"e-{number:02}" for number in range(22)]


def test_each_look_asks_others_and_comes_round() -> None:
    looks = [relays_to_ask("e-03", _NAMES, look) for look in range(4)]
    assert all(len(look) == 3 and "e-03" not in look for look in looks)
    assert not set(looks[0]) & set(looks[1])
    assert looks[2:] == looks[:2]


def test_entries_ask_few_of_many() -> None:
    asked = {name for look in range(50) for name in relays_to_ask("me", _NAMES, look)}
    assert len(asked) == 6


@pytest.mark.parametrize("others", [0, 1, 2, 4])
def test_small_fleets_ask_all(others: int) -> None:
    names = ["me", *_NAMES[:others]]
    asked = {name for look in range(3) for name in relays_to_ask("me", names, look)}
    assert asked == set(_NAMES[:others])


def test_neighbours_that_lose_the_store_together_find_a_way() -> None:
    """Eight that follow each other are cut off; each has a way by its second look."""
    cut_off = set(_NAMES[:8])

    def looks_until_found(name: str) -> int:
        in_vain = takewhile(
            lambda look: set(relays_to_ask(name, _NAMES, look)) <= cut_off, count()
        )
        return sum(1 for _ in in_vain) + 1

    assert max(map(looks_until_found, cut_off)) <= 2


_WORDS = {
    # name: (words at 10.0, expected)
    "none": ({}, []),
    "one reaches it": ({"a": RelayWord(9.8, True)}, ["a"]),
    "one doesn't": ({"a": RelayWord(9.8, False)}, []),
    "an old word": ({"a": RelayWord(8.9, True)}, []),
    "the latest first": (
        {"a": RelayWord(9.2, True), "b": RelayWord(9.9, True)},
        ["b", "a"],
    ),
    "the ablest before the latest": (
        {
            "small": RelayWord(9.9, True, 0.3),
            "large": RelayWord(9.2, True, 1.0),
            "larger, cut off": RelayWord(9.9, False, 2.0),
            "larger, long ago": RelayWord(8.0, True, 2.0),
        },
        ["large", "small"],
    ),
    "two at most": (
        {name: RelayWord(9.5, True) for name in "abcd"},
        ["a", "b"],
    ),
}


@pytest.mark.parametrize("name", _WORDS)
def test_only_fresh_words_of_entries_that_reach_it_count(name: str) -> None:
    words, expected = _WORDS[name]
    assert relays_to_use(words, 10.0) == expected
