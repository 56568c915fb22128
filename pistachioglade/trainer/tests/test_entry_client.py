"""The answers of entries after which a client repeats its request.

The failure: a client repeats one request each second for two minutes while each answer
is the same internal error, and the trainer stalls meanwhile; the log has 115 pairs of
`step.opened` and `link.handler_failed` for one step, one second apart. This happens if
a client repeats every request whose refusal has a retry time, since internal errors
have a retry time as well.
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
    """A clock that advances only in :meth:`sleep`."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def monotonic(self) -> float:
        return self.now_s

    def sleep(self, pause_s: float) -> None:
        self.now_s += pause_s


class _Session:
    """Answers each request by a function of its number."""

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
    """Return the outcome, the number of requests and the time spent, in seconds."""
    clock = _Clock()
    monkeypatch.setattr(_http, "time", clock)
    client = EntryClient(("http://a", "http://b"), "token")
    session = _Session(answer)
    client._sessions = dict.fromkeys(client._sessions, session)  # type: ignore[arg-type]
    outcome = client.post("/v1/steps/1", {}, 45.0, _PATIENCE_S)
    return outcome, session.requests, clock.now_s


def test_a_request_with_repeated_internal_errors_ends_after_four_tries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    outcome, requests, _ = _post(monkeypatch, lambda _: _reply(ErrorKind.INTERNAL))
    assert isinstance(outcome, Refusal)
    assert outcome.kind is ErrorKind.INTERNAL
    assert requests == 4


def test_a_request_succeeds_after_transient_internal_errors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def answer(number: int) -> HttpReply:
        return HttpReply(200, b"{}", {}) if number == 4 else _reply(ErrorKind.INTERNAL)

    assert _post(monkeypatch, answer)[0] == {}


def test_another_refusal_resets_the_count_of_internal_errors(
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
def test_a_transient_refusal_is_retried_until_the_patience_ends(
    monkeypatch: pytest.MonkeyPatch, kind: ErrorKind
) -> None:
    outcome, _, time_s = _post(monkeypatch, lambda _: _reply(kind))
    assert isinstance(outcome, Refusal)
    assert _PATIENCE_S - 5.0 < time_s <= _PATIENCE_S


@pytest.mark.parametrize("kind", [ErrorKind.BAD_REQUEST, ErrorKind.UNKNOWN_STEP])
def test_a_final_refusal_or_an_unknown_step_is_not_retried(
    monkeypatch: pytest.MonkeyPatch, kind: ErrorKind
) -> None:
    outcome, requests, _ = _post(monkeypatch, lambda _: _reply(kind))
    assert isinstance(outcome, Refusal)
    assert (outcome.kind, requests) == (kind, 1)
