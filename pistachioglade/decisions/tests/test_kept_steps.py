"""Which finished steps an owner may forget."""

from __future__ import annotations

import pytest

from .. import FinishedStep, steps_to_evict


@pytest.mark.parametrize(
    ("recorded", "unrecorded", "forgotten"),
    [
        ((), (), ()),
        ((1, 2), (), ()),
        ((1, 2, 3), (), (1,)),
        ((4, 2, 3, 1), (), (1, 2)),
        ((2, 3), (1,), ()),
        ((2, 3, 5), (1, 4), (2,)),
        ((), (1, 2, 3, 4, 5), ()),
    ],
)
def test_only_recorded_steps_are_forgotten_and_the_newest_kept(
    recorded: tuple[int, ...], unrecorded: tuple[int, ...], forgotten: tuple[int, ...]
) -> None:
    finished = [
        *(FinishedStep(step, is_recorded=True) for step in recorded),
        *(FinishedStep(step, is_recorded=False) for step in unrecorded),
    ]
    assert steps_to_evict(finished) == forgotten
