"""The record of a closed step must not hold up the step in hand.

What users saw: while the record of a step that a trainer had closed could not be asked
for, the trainer got no sample of the next one for two minutes, and then an error that
ended it. The cause: the client asked for the records of closed steps in the thread that
takes samples, between two fetches, with the patience and the errors of the step in
hand. The evidence: the stack of the standing thread, read three times: `take` of step
5, `settle_now_and_then`, `settle`, `is_recorded`, `reopen`, `EntryClient.post` (pause).
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

#: Longest that a test waits; reached only by a client that stands still.
_BOUND_S = 10.0


@attrs.frozen
class _Trouble:
    """How the first step is answered for once it is closed."""

    # Answer to what is asked of its record; None: silence.
    asked: Any
    # Answer to its being opened again; None: silence.
    opened: Refusal | None = None


class _Entry:
    """Answers for each step but the first, of which it gives samples only."""

    def __init__(self, trouble: _Trouble) -> None:
        self._trouble = trouble
        # Set once the first step's record was asked for.
        self.is_asked = threading.Event()
        # Lets the silent requests end.
        self.released = threading.Event()
        # Clients whose requests come here.
        self.clients: list[TrainerClient] = []
        # Whether the entry is well again.
        self.is_well = False

    def post(self, path: str, fields: Any, timeout_s: float, *_: Any) -> Any | Refusal:
        parts = path.split("/")
        step = int(parts[3])
        if parts[-1] != "fetch":
            is_new = step != 1 or not fields["receipts"] or self.is_well
            return {} if is_new else self._refuse(self._trouble.opened, timeout_s)
        if step == 1 and not fields["max_samples"] and not self.is_well:
            return self._refuse(self._trouble.asked, timeout_s)
        if step == 2 and not self.is_asked.is_set():
            # The trainer waits for its second step; the first one's turn comes.
            self.is_asked.wait(0.2)
            return _batch(step, ())
        samples = (_sample(),) if fields["max_samples"] else ()
        return _batch(step, samples, is_recorded=self.is_well)

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
_TROUBLES = {
    "silent": _Trouble(None),
    "unreadable": _Trouble({"step": "one"}),
    "away": _Trouble(refuse(ErrorKind.LINK_LOST, "no answer")),
    "opening-silent": _Trouble(_NOT_OPEN, None),
    "opening-fault": _Trouble(_NOT_OPEN, refuse(ErrorKind.INTERNAL, "KeyError: 1")),
    "opening-final": _Trouble(_NOT_OPEN, refuse(ErrorKind.NOT_FOUND, "no trainer")),
}


@pytest.fixture(params=_TROUBLES.values(), ids=_TROUBLES)
def entry(request: pytest.FixtureRequest) -> Iterator[_Entry]:
    made = _Entry(request.param)
    yield made
    made.released.set()
    for client in made.clients:
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
    """Take a step in a thread, which a client that stands still doesn't end."""
    taken = threading.Event()
    work = threading.Thread(target=_take, args=(client, step, taken), daemon=True)
    work.start()
    return taken


def test_the_step_in_hand_is_taken_while_a_record_is_not_answered(
    entry: _Entry,
) -> None:
    client = _client(entry)
    assert _start(client, 1).wait(_BOUND_S)
    entry.is_asked.wait(_BOUND_S)
    entry.is_asked.clear()
    assert _start(client, 2).wait(_BOUND_S)
    assert not entry.released.is_set()
    assert 1 in [item.state.step for item in client.checkpoint().unrecorded]


def test_a_record_is_asked_for_until_it_is_there(entry: _Entry) -> None:
    client = _client(entry)
    assert _start(client, 1).wait(_BOUND_S)
    entry.is_asked.wait(_BOUND_S)
    saved = client.checkpoint()
    entry.is_well = True
    entry.released.set()
    assert client.settle(_BOUND_S)
    assert client.checkpoint().unrecorded == ()
    again = _client(entry, saved)
    assert again.settle(_BOUND_S)
