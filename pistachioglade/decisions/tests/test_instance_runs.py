"""Tests of the comparison of instance runs."""

from __future__ import annotations

import pytest

from .. import InstanceRun, classify_run


@pytest.mark.parametrize(
    ("known_born_ms", "entry_born_ms", "expected"),
    [
        (0, 0, InstanceRun.KNOWN),
        (0, 7, InstanceRun.KNOWN),
        (7, 7, InstanceRun.KNOWN),
        (7, 8, InstanceRun.LATER),
        (8, 7, InstanceRun.EARLIER),
        (7, 0, InstanceRun.UNNAMED),
    ],
)
def test_run_of_a_list_entry_is_compared_with_the_known_run(
    known_born_ms: int, entry_born_ms: int, expected: InstanceRun
) -> None:
    assert classify_run(known_born_ms, entry_born_ms) is expected
