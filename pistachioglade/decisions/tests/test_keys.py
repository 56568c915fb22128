"""The at-most-once gate: tables of cases and a property test."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...errors import ErrorKind, Execution, Refusal, refuse
from ...messages import CallAnswer, Ticket
from .. import Attach, KeyGate, Replay, Run

_ANSWER = CallAnswer("r", 200, b"{}", "a", 0.0, 0.0)


def _gate() -> tuple[KeyGate, Ticket]:
    gate = KeyGate("a", 7)
    ticket = gate.open_ticket("clerk", "app", 3)
    assert isinstance(ticket, Ticket)
    return gate, ticket


def test_a_key_runs_attaches_and_replays() -> None:
    gate, ticket = _gate()
    assert gate.admit(ticket, 0, "clerk", "app") == Run()
    assert gate.admit(ticket, 0, "clerk", "app") == Attach()
    gate.finish(ticket.number, 0, _ANSWER)
    replay = gate.admit(ticket, 0, "clerk", "app")
    assert isinstance(replay, Replay)
    assert replay.answer.replayed


@pytest.mark.parametrize(
    ("kind", "then", "execution"),
    [
        (ErrorKind.OVERLOADED, ErrorKind.KEY_SPENT, Execution.NOT_RUN),
        (ErrorKind.UPSTREAM_LOST, ErrorKind.UPSTREAM_LOST, Execution.UNKNOWN),
    ],
)
def test_a_refused_key_never_runs_later(
    kind: ErrorKind, then: ErrorKind, execution: Execution
) -> None:
    gate, ticket = _gate()
    gate.admit(ticket, 1, "clerk", "app")
    gate.finish(ticket.number, 1, refuse(kind, "why"))
    again = gate.admit(ticket, 1, "clerk", "app")
    assert isinstance(again, Refusal)
    assert (again.kind, again.execution) == (then, execution)


@pytest.mark.parametrize(
    ("ticket", "key", "caller", "upstream", "kind"),
    [
        (Ticket("a", 6, 0, 3), 0, "clerk", "app", ErrorKind.KEY_HOLDER_GONE),
        (Ticket("b", 7, 0, 3), 0, "clerk", "app", ErrorKind.KEY_HOLDER_GONE),
        (Ticket("a", 7, 9, 3), 0, "clerk", "app", ErrorKind.KEY_HOLDER_GONE),
        (Ticket("a", 7, 0, 9), 5, "clerk", "app", ErrorKind.BAD_REQUEST),
        (Ticket("a", 7, 0, 3), -1, "clerk", "app", ErrorKind.BAD_REQUEST),
        (Ticket("a", 7, 0, 3), 0, "other", "app", ErrorKind.FORBIDDEN),
        (Ticket("a", 7, 0, 3), 0, "clerk", "lm", ErrorKind.BAD_REQUEST),
    ],
)
def test_a_key_that_does_not_fit_its_ticket_is_refused(
    ticket: Ticket, key: int, caller: str, upstream: str, kind: ErrorKind
) -> None:
    gate, _ticket = _gate()
    verdict = gate.admit(ticket, key, caller, upstream)
    assert isinstance(verdict, Refusal)
    assert verdict.kind is kind


@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from(["try", "ok", "no"]))))
def test_no_key_is_run_twice(events: list[tuple[int, str]]) -> None:
    gate, ticket = _gate()
    runs = {0: 0, 1: 0, 2: 0}
    running: set[int] = set()
    for key, event in events:
        if event == "try":
            if isinstance(gate.admit(ticket, key, "clerk", "app"), Run):
                runs[key] += 1
                running.add(key)
        elif key in running:
            running.discard(key)
            outcome = _ANSWER if event == "ok" else refuse(ErrorKind.LEAVING, "")
            gate.finish(ticket.number, key, outcome)
    assert max(runs.values()) <= 1
