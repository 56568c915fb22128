"""Streams that pause for longer than another instance would be waited for.

Guards against streams that are broken off without need: their instance paused for 1.7 s
and would have gone on, and no other instance could continue them.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, Final

import pytest

from ...decisions import CallPolicy, RetryBudget
from ...errors import Refusal
from ...http1 import ResponseHead
from ...platform import names
from ...store.tests.scripted import now_s, run_virtual
from .. import StreamForwarder
from .._stream_reader import StreamProgress, StreamReader

_DEADLINE_S: Final = 10.0


class _PausingExchange:
    """Answers with a head and events, each after a pause in seconds."""

    is_framed = True

    def __init__(self, *pauses_s: float) -> None:
        self._pauses_s = list(pauses_s)
        self._sent = -1
        fields = ((names.ATTEMPT_ID, "r"), (names.SIGNATURE, "s"))
        self.response = ResponseHead(200, fields)
        self._due_s = 0.0

    async def _pause(self) -> None:
        # A read that is cancelled and repeated waits for the same event.
        if self._due_s <= now_s():
            self._due_s = now_s() + self._pauses_s[0]
        await asyncio.sleep(self._due_s - now_s())
        self._pauses_s.pop(0)
        self._due_s = 0.0

    async def head(self) -> ResponseHead:
        await self._pause()
        return self.response

    async def read(self) -> bytes | None:
        if not self._pauses_s:
            return None
        await self._pause()
        self._sent += 1
        return f"id: {self._sent}\ndata: x\n\n".encode()


async def _read(may_continue: bool, *pauses_s: float) -> tuple[Any, list[bytes]]:
    received: list[bytes] = []

    async def write(part: bytes) -> None:
        received.append(part)

    sink: Any = SimpleNamespace(write=write, begin=lambda *_: None)
    meter: Any = SimpleNamespace(
        record_sent=lambda: None, record_end=lambda did_not_run: None
    )
    call: Any = SimpleNamespace(request_id="r", deadline_s=_DEADLINE_S)
    handle: Any = SimpleNamespace(record=None, instance=SimpleNamespace(versions={}))
    exchange: Any = _PausingExchange(*pauses_s)
    reader = StreamReader(
        call,
        CallPolicy(True, 3, 0.4),
        exchange,
        StreamProgress(sink, None, meter, lambda: None),
        handle,
        lambda: may_continue,
    )
    return await reader.run(), received


@pytest.mark.parametrize(
    "pauses_s", [(0.1, 0.1, 1.7, 0.1), (2.0, 0.1), (0.1, 0.1, 7.0)]
)
def test_a_silent_stream_goes_on_if_no_other_instance_can_continue_it(
    pauses_s: tuple[float, ...],
) -> None:
    answer, received = run_virtual(lambda: _read(False, *pauses_s))
    assert answer is None
    assert len(received) == len(pauses_s) - 1


def test_a_silent_stream_is_left_for_another_instance() -> None:
    answer, received = run_virtual(lambda: _read(True, 0.1, 0.1, 1.7, 0.1))
    assert isinstance(answer, Refusal)
    assert len(received) == 1


def test_a_silent_stream_ends_at_its_deadline() -> None:
    async def work() -> float:
        answer, _ = await _read(False, 0.1, 0.1, 100.0)
        assert isinstance(answer, Refusal)
        return now_s()

    assert run_virtual(work) == pytest.approx(_DEADLINE_S, abs=0.01)


@pytest.mark.parametrize(
    ("tried", "others", "has_retry", "expected"),
    [
        (["a"], True, True, True),
        (["a"], False, True, False),
        (["a"], True, False, False),
        (["a", "b", "c"], True, True, False),
    ],
)
def test_another_instance_continues_a_stream_only_if_it_may(
    tried: list[str], others: bool, has_retry: bool, expected: bool
) -> None:
    view: Any = SimpleNamespace(on_configuration=[], on_change=[])
    gate: Any = SimpleNamespace()
    budget = RetryBudget(50)
    while not has_retry and budget.spend_retry():
        pass
    forwarder = StreamForwarder(view, "a", budget=budget, gate=gate)
    forwarder._choose = (  # type: ignore[method-assign]
        lambda _upstream, _tried: SimpleNamespace() if others else None  # type: ignore[assignment,return-value]
    )
    policy = CallPolicy(True, 3, 0.4)
    assert forwarder._may_continue("app", policy, tried) is expected
