"""The record of a closed step must not delay the current step.

The failure: while the record of a closed step can't be confirmed, the trainer gets no
sample of the next step for two minutes, and then an error that ends the trainer. This
happens if the client asks for the records of closed steps in the thread that takes
samples, between two fetches, with the patience and the errors of the current step.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from typing import Any

import attrs
import pytest

from ...errors import ErrorKind, Refusal, refuse
from ...messages import Group, Sample, VersionSpan, unstructure
from .. import TrainerCheckpoint, TrainerClient, TrainerSettings

#: Maximum wait of a test, in seconds; reached only by a client that stalls.
_BOUND_S = 10.0


@attrs.frozen
class _Failure:
    """The answers for the first step after its close."""

    # Answer to the request for the record; None for no answer.
    record_answer: Any
    # Answer to opening the step again; None for no answer.
    open_answer: Refusal | None = None


class _Entry:
    """An entry that answers all requests except those for the first step's record."""

    def __init__(self, failure: _Failure) -> None:
        self._failure = failure
        # Set by a request for the first step's record.
        self.is_asked = threading.Event()
        # Ends the requests without an answer.
        self.released = threading.Event()
        # Clients that use this entry.
        self.clients: list[TrainerClient] = []
        # Whether the entry answers all requests.
        self.is_healthy = False

    def post(self, path: str, fields: Any, timeout_s: float, *_: Any) -> Any | Refusal:
        parts = path.split("/")
        step = int(parts[3])
        if parts[-1] != "fetch":
            is_new = step != 1 or not fields["receipts"] or self.is_healthy
            return {} if is_new else self._refuse(self._failure.open_answer, timeout_s)
        if step == 1 and not fields["max_samples"] and not self.is_healthy:
            return self._refuse(self._failure.record_answer, timeout_s)
        if step == 2 and not self.is_asked.is_set():
            # Wait until the client asks for the first step's record.
            self.is_asked.wait(0.2)
            return _batch(step, ())
        samples = (_sample(),) if fields["max_samples"] else ()
        return _batch(step, samples, is_recorded=self.is_healthy)

    def _refuse(self, answer: Any, timeout_s: float) -> Any:
        self.is_asked.set()
        if answer is not None:
            return answer
        self.released.wait(min(timeout_s, _BOUND_S))
        return refuse(ErrorKind.LINK_LOST, "no answer")


def _sample() -> Sample:
    return Sample(0, "c", "t", (VersionSpan(1, 3),), "a", "e")


def _batch(step: int, samples: tuple[Sample, ...], is_recorded: bool = False) -> Any:
    return {
        "step": step,
        "samples": unstructure(samples),
        "missing_count": 1,
        "is_recorded": is_recorded,
    }


_NOT_OPEN = refuse(ErrorKind.UNKNOWN_STEP, "not open here")
_FAILURES = {
    "silent": _Failure(None),
    "unreadable": _Failure({"step": "one"}),
    "away": _Failure(refuse(ErrorKind.LINK_LOST, "no answer")),
    "opening-silent": _Failure(_NOT_OPEN, None),
    "opening-fault": _Failure(_NOT_OPEN, refuse(ErrorKind.INTERNAL, "KeyError: 1")),
    "opening-final": _Failure(_NOT_OPEN, refuse(ErrorKind.NOT_FOUND, "no trainer")),
}


@pytest.fixture(params=_FAILURES.values(), ids=_FAILURES)
def entry(request: pytest.FixtureRequest) -> Iterator[_Entry]:
    started = _Entry(request.param)
    yield started
    started.released.set()
    for client in started.clients:
        client.close()


def _client(entry: _Entry, saved: TrainerCheckpoint | None = None) -> TrainerClient:
    client = TrainerClient(TrainerSettings(("http://e",), "token"), saved)
    client._entries = entry  # type: ignore[assignment]
    entry.clients.append(client)
    return client


def _take(client: TrainerClient, step: int, taken: threading.Event) -> None:
    with client.open_step(step, (Group("p", 1),), 10) as opened:
        assert [sample.index for sample in opened] == [0]
    taken.set()


def _start(client: TrainerClient, step: int) -> threading.Event:
    """Take a step in a thread; return an event that is set at the step's end."""
    taken = threading.Event()
    work = threading.Thread(target=_take, args=(client, step, taken), daemon=True)
    work.start()
    return taken


def test_the_current_step_continues_while_a_record_is_not_confirmed(
    entry: _Entry,
) -> None:
    client = _client(entry)
    assert _start(client, 1).wait(_BOUND_S)
    entry.is_asked.wait(_BOUND_S)
    entry.is_asked.clear()
    assert _start(client, 2).wait(_BOUND_S)
    assert not entry.released.is_set()
    assert 1 in [item.state.step for item in client.checkpoint().unrecorded]


def test_a_record_is_requested_until_confirmed(entry: _Entry) -> None:
    client = _client(entry)
    assert _start(client, 1).wait(_BOUND_S)
    entry.is_asked.wait(_BOUND_S)
    saved = client.checkpoint()
    entry.is_healthy = True
    entry.released.set()
    assert client.confirm_records(_BOUND_S)
    assert client.checkpoint().unrecorded == ()
    again = _client(entry, saved)
    assert again.confirm_records(_BOUND_S)
