"""A sample whose making fails whenever it is tried.

What users would see: a trainer waits for the last sample of a step for ever and is told
nothing, while agents make it anew each half second. The cause: a fault of the program
was taken for trouble that may pass, for as long as the step was open.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from ...errors import ErrorKind, refuse
from ...trainer import ServiceError
from .stepping import STEP_SAMPLES, Stage


@pytest.fixture
def stage() -> Iterator[Stage]:
    made = Stage()
    yield made
    made.end()


def test_the_trainer_is_told_behind_all_other_samples(stage: Stage) -> None:
    stage.engines.failing[1, 2] = refuse(ErrorKind.INTERNAL, "KeyError: 7")
    opened = stage.open(stage.client(), 1)
    taken = [opened.take() for _ in range(STEP_SAMPLES - 1)]
    assert sorted(sample.index for sample in taken if sample) == [0, 1, 3]
    with pytest.raises(ServiceError) as told:
        opened.take()
    assert told.value.refusal.kind is ErrorKind.INTERNAL
    assert told.value.refusal.reason == "sample 2 can't be made: KeyError: 7"


def test_trouble_of_an_engine_ends_no_step(stage: Stage) -> None:
    stage.engines.failing[1, 2] = refuse(ErrorKind.UPSTREAM_LOST, "gone", 0.01)
    opened = stage.open(stage.client(), 1)
    assert all(opened.take() for _ in range(STEP_SAMPLES - 1))
    for _ in range(12):
        opened._fetch()
    del stage.engines.failing[1, 2]
    last = opened.take()
    assert last is not None and last.index == 2
