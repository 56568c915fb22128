"""Which answers of the entries a client repeats its request after.

What users saw: one request was repeated each second for two minutes while its answer
was a fault of the program, the same each time, and the trainer stood still meanwhile.
The cause: a client repeated whatever names a time to come again, and a fault of the
program does. The evidence: 115 pairs of `step.opened` and `link.handler_failed` for one
step, one second apart.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ...backing import HttpReply
from ...errors import ErrorKind, Refusal, refuse
from .. import _http
from .._http import EntryClient

_PATIENCE_S = 120.0


class _Clock:
    """A clock that only pauses move."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def monotonic(self) -> float:
        return self.now_s

    def sleep(self, pause_s: float) -> None:
        self.now_s += pause_s


class _Session:
    """Answers each request as told, by its place."""

    def __init__(self, answer: Callable[[int], HttpReply | Refusal]) -> None:
        self._answer = answer
        self.requests = 0

    def request(self, *_request: object) -> HttpReply | Refusal:
        self.requests += 1
        return self._answer(self.requests)


def _reply(kind: ErrorKind) -> HttpReply:
    refusal = refuse(kind, "reason")
    wait_s = "null" if refusal.retry_after_s is None else refusal.retry_after_s
    body = (
        f'{{"error": "{kind.value}", "reason": "reason", "retry_after_s": {wait_s},'
        f' "execution": "{refusal.execution.value}"}}'
    )
    return HttpReply(refusal.status, body.encode(), {})


def _post(
    monkeypatch: pytest.MonkeyPatch, answer: Callable[[int], HttpReply | Refusal]
) -> tuple[object, int, float]:
    """Return the outcome, how many requests were made, and the time it took."""
    clock = _Clock()
    monkeypatch.setattr(_http, "time", clock)
    client = EntryClient(("http://a", "http://b"), "token")
    session = _Session(answer)
    client._sessions = dict.fromkeys(client._sessions, session)  # type: ignore[arg-type]
    outcome = client.post("/v1/steps/1", {}, 45.0, _PATIENCE_S)
    return outcome, session.requests, clock.now_s


def test_a_fault_of_the_program_is_not_repeated_until_the_patience_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    outcome, requests, _ = _post(monkeypatch, lambda _: _reply(ErrorKind.INTERNAL))
    assert isinstance(outcome, Refusal)
    assert outcome.kind is ErrorKind.INTERNAL
    assert requests == 4


def test_a_fault_that_passes_is_no_end(monkeypatch: pytest.MonkeyPatch) -> None:
    def answer(number: int) -> HttpReply:
        return HttpReply(200, b"{}", {}) if number == 4 else _reply(ErrorKind.INTERNAL)

    assert _post(monkeypatch, answer)[0] == {}


def test_faults_between_other_troubles_are_counted_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def answer(number: int) -> HttpReply:
        if number == 40:
            return HttpReply(200, b"{}", {})
        return _reply(ErrorKind.LEAVING if number % 3 == 0 else ErrorKind.INTERNAL)

    assert _post(monkeypatch, answer)[0] == {}


@pytest.mark.parametrize(
    "kind", [ErrorKind.LINK_LOST, ErrorKind.NO_UPSTREAM, ErrorKind.OVERLOADED]
)
def test_trouble_that_may_pass_is_repeated_until_the_patience_ends(
    monkeypatch: pytest.MonkeyPatch, kind: ErrorKind
) -> None:
    outcome, _, time_s = _post(monkeypatch, lambda _: _reply(kind))
    assert isinstance(outcome, Refusal)
    assert _PATIENCE_S - 5.0 < time_s <= _PATIENCE_S


@pytest.mark.parametrize("kind", [ErrorKind.BAD_REQUEST, ErrorKind.UNKNOWN_STEP])
def test_what_is_final_or_needs_another_request_is_not_repeated(
    monkeypatch: pytest.MonkeyPatch, kind: ErrorKind
) -> None:
    outcome, requests, _ = _post(monkeypatch, lambda _: _reply(kind))
    assert isinstance(outcome, Refusal)
    assert (outcome.kind, requests) == (kind, 1)
