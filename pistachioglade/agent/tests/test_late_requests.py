"""A request of a trainer's client that arrives behind its successor's first one.

What users would see: a trainer that was killed and went on from its checkpoint waits
for the rest of its step for ever. The order of events: the trainer takes samples and
sends their receipts; the request waits at an entry, which looks for the owner for up to
ten seconds; the trainer is killed before it saves, comes back, and opens the step by
way of another entry, with fewer receipts. The late receipts then count for samples that
nobody has. The cause: nothing told the two clients apart.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from ...errors import Refusal
from ...trainer import TrainerClient
from .stepping import STEP_SAMPLES, Stage

#: Requests after which a step that gets no sample counts as standing still.
_MANY_REQUESTS = 30


class _StandstillError(Exception):
    """A trainer asks again and again and gets nothing."""


@pytest.fixture
def stage() -> Iterator[Stage]:
    made = Stage()
    yield made
    made.end()


def _hold_requests(stage: Stage, client: TrainerClient) -> list[tuple[Any, ...]]:
    """Let the client's requests wait at an entry from now on; return them."""
    held: list[tuple[Any, ...]] = []

    class _Entry:
        def post(self, *request: Any) -> Any | Refusal:
            held.append(request)
            raise _StandstillError

    client._entries = _Entry()  # type: ignore[assignment]
    return held


def _bound_requests(stage: Stage, client: TrainerClient) -> None:
    """End the test if the client gets nothing for many requests."""
    requests = 0

    class _Entry:
        def post(self, *request: Any) -> Any | Refusal:
            nonlocal requests
            requests += 1
            if requests > _MANY_REQUESTS:
                raise _StandstillError
            return stage.post(*request)

    client._entries = _Entry()  # type: ignore[assignment]


@pytest.mark.parametrize("taken_before", range(1, STEP_SAMPLES + 1))
def test_late_receipts_take_no_sample_from_the_trainer_in_office(
    stage: Stage, taken_before: int
) -> None:
    killed = stage.client()
    opened = stage.open(killed, 1)
    saved = killed.checkpoint().to_json()
    for _ in range(taken_before):
        assert opened.take() is not None
    held = _hold_requests(stage, killed)
    with pytest.raises(_StandstillError):
        opened._fetch()
    client = stage.client(saved)
    _bound_requests(stage, client)
    again = stage.open(client, 1)
    for request in held:
        stage.post(*request)
    taken = {sample.index: sample.copy_id for sample in again}
    again.close()
    assert sorted(taken) == list(range(STEP_SAMPLES))
    stage.flush()
    assert stage.api.recorded() == {(1, index): copy for index, copy in taken.items()}


def test_a_late_opening_costs_the_trainer_in_office_nothing(stage: Stage) -> None:
    killed = stage.client()
    opened = stage.open(killed, 1)
    saved = killed.checkpoint().to_json()
    assert opened.take() is not None
    assert opened.take() is not None
    held = _hold_requests(stage, killed)
    with pytest.raises(_StandstillError):
        opened.reopen()
    client = stage.client(saved)
    _bound_requests(stage, client)
    again = stage.open(client, 1)
    first = again.take()
    assert first is not None
    for request in held:
        stage.post(*request)
    taken = {first.index: first.copy_id}
    taken |= {sample.index: sample.copy_id for sample in again}
    again.close()
    assert sorted(taken) == list(range(STEP_SAMPLES))
    stage.flush()
    assert stage.api.recorded() == {(1, index): copy for index, copy in taken.items()}
