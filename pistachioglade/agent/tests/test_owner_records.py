"""The records of a trainer's finished steps, while the trainer works on a later step.

The failure: a trainer stalls for two minutes in the middle of a step and then loses the
step. The owner of the steps is killed, or the object API is unavailable, while the
records of early steps are not confirmed; the trainer opens such a step again, with all
receipts, to have the step recorded. A step that is opened again complete is finished at
once and is the oldest. An owner that keeps only the two newest finished steps forgets
that step before the open request has counted its samples, at each try: the log has
`step.opened` of step 1 after that of steps 2 to 5, each time followed by
`link.handler_failed` with `KeyError: 1`, in 26 of the 48 moments below. Without a
restart, such an owner forgets the first of three closed steps before its record is
written.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product

import attrs
import pytest

from ...errors import ErrorKind, Refusal, refuse
from ...messages import SampleBatch, structure
from .stepping import STEP_SAMPLES, TRAINER, Stage


@attrs.frozen
class Moment:
    """When processes are killed, and for how long the object API is unavailable."""

    # Number of closed steps whose record is not confirmed.
    closed: int
    # Whether the owner is killed in the middle of the step after the closed steps.
    kills_owner: bool
    # Whether the trainer is killed then, and restarts from its checkpoint.
    kills_trainer: bool
    # Whether the object API recovers before that step is complete.
    recovers_in_time: bool

    def __str__(self) -> str:
        """Return a name for the test's id."""
        names = ("owner", "trainer", "back")
        flags = attrs.astuple(self)[1:]
        set_names = [name for name, flag in zip(names, flags, strict=True) if flag]
        return "-".join([str(self.closed), *set_names])


_MOMENTS = [Moment(*values) for values in product(range(6), *[(False, True)] * 3)]


@pytest.fixture
def stage() -> Iterator[Stage]:
    started = Stage()
    yield started
    started.end()


@pytest.mark.parametrize("moment", _MOMENTS, ids=str)
def test_closed_steps_are_recorded_and_the_current_step_continues(
    stage: Stage, moment: Moment
) -> None:
    client = stage.client()
    taken: dict[tuple[int, int], str] = {}
    opened = stage.open(client, 1)
    stage.api.is_unavailable = True
    for step in range(1, moment.closed + 1):
        following = stage.open(client, step + 1)
        taken |= {(step, item.index): item.copy_id for item in opened}
        opened.close()
        opened = following
    current_step = moment.closed + 1
    for _ in range(STEP_SAMPLES // 2):
        sample = opened.take()
        assert sample is not None
        taken[current_step, sample.index] = sample.copy_id
    saved = client.checkpoint().to_json()
    if moment.kills_owner:
        stage.replace_owner()
    if moment.kills_trainer:
        client = stage.client(saved)
        opened = stage.open(client, current_step)
    stage.api.is_unavailable = not moment.recovers_in_time
    client.confirm_records()
    stage.flush()
    client.confirm_records()
    taken |= {(current_step, item.index): item.copy_id for item in opened}
    opened.close()
    stage.api.is_unavailable = False
    following = stage.open(client, current_step + 1)
    # The owner writes and the trainer asks twice: the second time for the steps that
    # were opened again.
    for _ in range(2):
        stage.flush()
        client.confirm_records()
    assert stage.faults == []
    assert len(taken) == STEP_SAMPLES * current_step
    assert stage.api.recorded() == taken
    assert client.checkpoint().unrecorded == ()
    following.close()


def _finish_steps(stage: Stage, last: int) -> None:
    """Finish and record the steps up to ``last``; the owner forgets early steps."""
    client = stage.client()
    for step in range(1, last + 1):
        with stage.open(client, step) as opened:
            assert len(list(opened)) == STEP_SAMPLES
        stage.flush()
        assert client.confirm_records()


def _fetch_state(stage: Stage, step: int) -> SampleBatch | Refusal:
    """Ask for a step as a trainer does whose record of that step is unconfirmed."""
    fields = {
        "receipts": [],
        "rejected": [],
        "newest_version": 0,
        "max_samples": 0,
        "wait_s": 0.0,
    }
    answer = stage.post(f"/v1/steps/{step}/fetch", fields)
    return answer if isinstance(answer, Refusal) else structure(answer, SampleBatch)


def test_a_forgotten_step_is_reported_as_recorded() -> None:
    stage = Stage()
    _finish_steps(stage, 5)
    assert _fetch_state(stage, 1) == SampleBatch(
        1, (), missing_count=0, is_recorded=True
    )
    stage.end()


def test_an_owner_that_lost_its_lease_reports_no_step_as_recorded() -> None:
    stage = Stage()
    _finish_steps(stage, 5)
    stage.lose_lease()
    answer = _fetch_state(stage, 1)
    assert isinstance(answer, Refusal)
    assert answer.kind is ErrorKind.UNKNOWN_STEP
    stage.end()


def test_a_refused_record_does_not_delay_other_records() -> None:
    """The object API refuses one record at each write.

    If a round of writes ends at the first failure of any kind, the report gets no
    further step of any trainer of that owner, and no trainer's record is confirmed.
    """
    stage = Stage()
    stage.api.refused.add(f"ledger/{TRAINER}/1/agent-1.1")
    client = stage.client()
    for step in (1, 2, 3):
        with stage.open(client, step) as opened:
            assert len(list(opened)) == STEP_SAMPLES
    stage.flush()
    client.confirm_records()
    assert {step for step, _index in stage.api.recorded()} == {2, 3}
    assert [item.state.step for item in client.checkpoint().unrecorded] == [1]
    stage.end()


def test_a_forgotten_step_that_is_opened_again_keeps_its_counts() -> None:
    """A trainer that returns to its checkpoint opens a step that was forgotten.

    If the owner writes the step's record with counts that start at zero, the report
    loses the refusals of that step.
    """
    stage = Stage()
    client = stage.client()
    stage.engines.failing[1, 2] = refuse(ErrorKind.UPSTREAM_LOST, "gone", 0.01)
    with stage.open(client, 1) as opened:
        assert all(opened.take() for _ in range(STEP_SAMPLES - 1))
        saved = client.checkpoint().to_json()
        opened._fetch()
        del stage.engines.failing[1, 2]
        assert opened.take() is not None
    stage.flush()
    before = stage.api.refusals(1)
    assert before[ErrorKind.UPSTREAM_LOST.value] >= 1
    for step in (2, 3, 4):
        with stage.open(client, step) as later:
            assert len(list(later)) == STEP_SAMPLES
        stage.flush()
    again = stage.client(saved)
    with stage.open(again, 1) as opened:
        assert len(list(opened)) == 1
    stage.flush()
    assert stage.api.refusals(1) == before
    stage.end()
