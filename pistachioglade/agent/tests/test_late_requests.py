"""A request of a killed trainer's client that arrives after its successor's first.

The failure: a trainer that restarted from its checkpoint never gets the missing samples
of its step. The trainer takes samples and sends their receipts; the request waits at an
entry, which looks for the owner for up to ten seconds. The trainer is killed before it
saves, restarts, and opens the step through another entry, with fewer receipts. Unless
the owner distinguishes the two clients, the late receipts count for samples that the
restarted trainer does not have.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from ...errors import Refusal
from ...trainer import TrainerClient
from .stepping import STEP_SAMPLES, Stage

#: Requests without a sample after which a step counts as stalled.
_MANY_REQUESTS = 30


class _StalledError(Exception):
    """A trainer's requests get no sample."""


@pytest.fixture
def stage() -> Iterator[Stage]:
    started = Stage()
    yield started
    started.end()


def _hold_requests(stage: Stage, client: TrainerClient) -> list[tuple[Any, ...]]:
    """Hold back the client's further requests; return the list that collects them."""
    held: list[tuple[Any, ...]] = []

    class _Entry:
        def post(self, *request: Any) -> Any | Refusal:
            held.append(request)
            raise _StalledError

    client._entries = _Entry()  # type: ignore[assignment]
    return held


def _bound_requests(stage: Stage, client: TrainerClient) -> None:
    """End the test if the client gets no sample for :data:`_MANY_REQUESTS`."""
    requests = 0

    class _Entry:
        def post(self, *request: Any) -> Any | Refusal:
            nonlocal requests
            requests += 1
            if requests > _MANY_REQUESTS:
                raise _StalledError
            return stage.post(*request)

    client._entries = _Entry()  # type: ignore[assignment]


@pytest.mark.parametrize("taken_before", range(1, STEP_SAMPLES + 1))
def test_late_receipts_of_a_killed_client_keep_no_sample_from_its_successor(
    stage: Stage, taken_before: int
) -> None:
    killed = stage.client()
    opened = stage.open(killed, 1)
    saved = killed.checkpoint().to_json()
    for _ in range(taken_before):
        assert opened.take() is not None
    held = _hold_requests(stage, killed)
    with pytest.raises(_StalledError):
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


def test_a_late_open_request_of_a_killed_client_costs_its_successor_no_sample(
    stage: Stage,
) -> None:
    killed = stage.client()
    opened = stage.open(killed, 1)
    saved = killed.checkpoint().to_json()
    assert opened.take() is not None
    assert opened.take() is not None
    held = _hold_requests(stage, killed)
    with pytest.raises(_StalledError):
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
