"""The record of steps that a trainer has finished, while it works on a later one.

What users saw: a trainer stood still for two minutes in the middle of a step, and then
lost it. The order of events: the owner of its steps was killed, or the object API was
away, while the records of early steps were not known to be written; the trainer opened
such a step once more, with all its receipts, to have it recorded. The cause: an owner
kept the two newest of its finished steps. One that is opened again whole is finished at
once, and the oldest; it was forgotten between its opening and the next line, where its
samples are counted, at each try again. The same without a restart: of three closed
steps the first was forgotten before its record was written. The evidence: `step.opened`
of step 1 behind that of steps 2 to 5, followed each time by `link.handler_failed` with
`KeyError: 1`; the same error in 26 of the 48 moments below.
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
    """When processes are killed, and for how long the object API is away."""

    # Closed steps whose record is not known to be written.
    closed: int
    # Whether the owner is killed in the middle of the step behind them.
    kills_owner: bool
    # Whether the trainer is killed then, and goes on from its checkpoint.
    kills_trainer: bool
    # Whether the object API comes back before that step is whole.
    is_back_in_time: bool

    def __str__(self) -> str:
        """Return a name for the test's id."""
        names = ("owner", "trainer", "back")
        flags = attrs.astuple(self)[1:]
        held = [name for name, flag in zip(names, flags, strict=True) if flag]
        return "-".join([str(self.closed), *held])


_MOMENTS = [Moment(*values) for values in product(range(6), *[(False, True)] * 3)]


@pytest.fixture
def stage() -> Iterator[Stage]:
    made = Stage()
    yield made
    made.end()


@pytest.mark.parametrize("moment", _MOMENTS, ids=str)
def test_closed_steps_are_recorded_and_the_one_in_hand_goes_on(
    stage: Stage, moment: Moment
) -> None:
    client = stage.client()
    taken: dict[tuple[int, int], str] = {}
    opened = stage.open(client, 1)
    stage.api.is_away = True
    for step in range(1, moment.closed + 1):
        following = stage.open(client, step + 1)
        taken |= {(step, item.index): item.copy_id for item in opened}
        opened.close()
        opened = following
    in_hand = moment.closed + 1
    for _ in range(STEP_SAMPLES // 2):
        sample = opened.take()
        assert sample is not None
        taken[in_hand, sample.index] = sample.copy_id
    saved = client.checkpoint().to_json()
    if moment.kills_owner:
        stage.replace_owner()
    if moment.kills_trainer:
        client = stage.client(saved)
        opened = stage.open(client, in_hand)
    stage.api.is_away = not moment.is_back_in_time
    client.settle()
    stage.flush()
    client.settle()
    taken |= {(in_hand, item.index): item.copy_id for item in opened}
    opened.close()
    stage.api.is_away = False
    following = stage.open(client, in_hand + 1)
    # The owner writes, the trainer asks, twice: once more for what was opened again.
    for _ in range(2):
        stage.flush()
        client.settle()
    assert stage.faults == []
    assert len(taken) == STEP_SAMPLES * in_hand
    assert stage.api.recorded() == taken
    assert client.checkpoint().unrecorded == ()
    following.close()


def _finish_steps(stage: Stage, last: int) -> None:
    """Finish and record the steps up to ``last``; early ones are forgotten then."""
    client = stage.client()
    for step in range(1, last + 1):
        with stage.open(client, step) as opened:
            assert len(list(opened)) == STEP_SAMPLES
        stage.flush()
        assert client.settle()


def _ask(stage: Stage, step: int) -> SampleBatch | Refusal:
    """Ask for a step as a trainer does that doesn't know whether it is recorded."""
    fields = {
        "receipts": [],
        "rejected": [],
        "newest_version": 0,
        "max_samples": 0,
        "wait_s": 0.0,
    }
    answer = stage.post(f"/v1/steps/{step}/fetch", fields)
    return answer if isinstance(answer, Refusal) else structure(answer, SampleBatch)


def test_a_forgotten_step_is_known_as_recorded() -> None:
    stage = Stage()
    _finish_steps(stage, 5)
    assert _ask(stage, 1) == SampleBatch(1, (), missing_count=0, is_recorded=True)
    stage.end()


def test_an_owner_that_lost_its_lease_vouches_for_no_step() -> None:
    stage = Stage()
    _finish_steps(stage, 5)
    stage.lose_lease()
    answer = _ask(stage, 1)
    assert isinstance(answer, Refusal)
    assert answer.kind is ErrorKind.UNKNOWN_STEP
    stage.end()


def test_a_record_that_is_refused_holds_up_no_other() -> None:
    """One record that the object API refuses again and again, and the ones behind it.

    What users would see: from then on the report has no step of any trainer of that
    owner, and no trainer's record is ever known as written. The cause: a round of
    writes ended with the first one that failed, whatever its reason.
    """
    stage = Stage()
    stage.api.refused.add(f"ledger/{TRAINER}/1/agent-1.1")
    client = stage.client()
    for step in (1, 2, 3):
        with stage.open(client, step) as opened:
            assert len(list(opened)) == STEP_SAMPLES
    stage.flush()
    client.settle()
    assert {step for step, _index in stage.api.recorded()} == {2, 3}
    assert [item.state.step for item in client.checkpoint().unrecorded] == [1]
    stage.end()


def test_a_step_that_is_opened_again_keeps_its_counts() -> None:
    """A trainer that goes back to its checkpoint opens a step that was forgotten.

    What users would see: the report tells of no refusals in that step any more. The
    cause: the owner wrote the step's record anew, with counts that began again.
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
