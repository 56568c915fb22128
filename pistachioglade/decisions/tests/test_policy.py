"""Tests of the mechanisms that an experiment leaves out."""

from __future__ import annotations

import pytest

from ...errors import Refusal
from .. import FULL_POLICY, Mechanism, Policy, parse_policy, start_order
from .test_serving_tables import pending


@pytest.mark.parametrize(
    ("text", "without"),
    [
        ("", set()),
        (" moving, seals-no-more", None),
        ("moving", {Mechanism.MOVING}),
        ("rests, one-home,", {Mechanism.RESTS, Mechanism.ONE_HOME}),
    ],
)
def test_a_policy_is_parsed_from_the_names_of_mechanisms(
    text: str, without: set[Mechanism] | None
) -> None:
    policy = parse_policy(text)
    if without is None:
        assert isinstance(policy, Refusal)
        assert "'seals-no-more'" in policy.reason
    else:
        assert policy == Policy(frozenset(without))


def test_all_mechanisms_are_in_use_unless_named() -> None:
    assert all(map(FULL_POLICY.uses, Mechanism))
    assert not parse_policy("rests").uses(Mechanism.RESTS)  # type: ignore[union-attr]


def test_without_lengths_samples_start_in_the_order_of_submission() -> None:
    samples = [
        pending("short", expected_tokens=100, group_index=0),
        pending("long", expected_tokens=9000, group_index=1),
    ]
    assert [item.item_id for item in start_order(samples)] == ["long", "short"]
    order = [item.item_id for item in start_order(samples, by_length=False)]
    assert order == ["short", "long"]
