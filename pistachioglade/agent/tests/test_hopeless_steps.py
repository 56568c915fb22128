"""A sample whose generation fails at each try.

The failure: a trainer waits for the last sample of a step without end and gets no
error, while agents try to generate the sample each half second. This happens if an
internal error counts as a transient failure for as long as the step is open.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from ...errors import ErrorKind, refuse
from ...trainer import ServiceError
from .stepping import STEP_SAMPLES, Stage


@pytest.fixture
def stage() -> Iterator[Stage]:
    started = Stage()
    yield started
    started.end()


def test_an_internal_error_is_raised_after_all_other_samples(stage: Stage) -> None:
    stage.engines.failing[1, 2] = refuse(ErrorKind.INTERNAL, "KeyError: 7")
    opened = stage.open(stage.client(), 1)
    taken = [opened.take() for _ in range(STEP_SAMPLES - 1)]
    assert sorted(sample.index for sample in taken if sample) == [0, 1, 3]
    with pytest.raises(ServiceError) as raised:
        opened.take()
    assert raised.value.refusal.kind is ErrorKind.INTERNAL
    assert raised.value.refusal.reason == "sample 2 can't be made: KeyError: 7"


def test_a_transient_engine_failure_does_not_end_the_step(stage: Stage) -> None:
    stage.engines.failing[1, 2] = refuse(ErrorKind.UPSTREAM_LOST, "gone", 0.01)
    opened = stage.open(stage.client(), 1)
    assert all(opened.take() for _ in range(STEP_SAMPLES - 1))
    for _ in range(12):
        opened._fetch()
    del stage.engines.failing[1, 2]
    last = opened.take()
    assert last is not None and last.index == 2
