"""Streams whose bytes come slowly and complete no event.

Guards against samples that stay at an engine which sends a byte now and then.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, Final

import pytest

from ...decisions import CallPolicy
from ...errors import Refusal
from ...fleet import Item
from ...forwarding._stream_reader import StreamProgress, StreamReader
from ...http1 import ResponseHead
from ...platform import names
from ...store.tests.scripted import now_s, run_virtual
from .._sample_try import SampleText, SampleTry, TryEnd

#: Time within which a stream without a complete event has to end, in seconds.
_LONGEST_S: Final = 10.0


class _TricklingExchange:
    """Answers with a head, some events, and then a byte in each second."""

    is_framed = True
    is_complete = False

    def __init__(self, request_id: str) -> None:
        fields = ((names.ATTEMPT_ID, request_id), (names.SIGNATURE, "s"))
        self.response = ResponseHead(200, fields)
        self._events = [b"id: 0\ndata: a\n\n", b"id: 1\ndata: b\n\n"]

    async def head(self) -> ResponseHead:
        return self.response

    async def read(self) -> bytes:
        await asyncio.sleep(1.0)
        return self._events.pop(0) if self._events else b":"


def _item() -> Item:
    unused: Any = None
    return Item(
        id="i",
        path="/",
        fields=(),
        body=b"",
        tokens=900,
        group="g",
        expected_tokens=None,
        most_tokens=None,
        reward=unused,
    )


def test_a_sample_leaves_an_engine_that_completes_no_event() -> None:
    async def work() -> None:
        unused: Any = SimpleNamespace()
        text = SampleText()
        record: Any = SimpleNamespace(record_event_gap=lambda *_: None)
        handle: Any = SimpleNamespace(record=record, id="e")
        sample = SampleTry(unused, handle, _item(), text, 0, "m", False)
        exchange: Any = _TricklingExchange("i")
        async with asyncio.timeout(60.0):
            result = await sample._read_events(exchange)
        assert result.end is TryEnd.BROKEN
        assert text.parts == ["a", "b"]
        assert now_s() < _LONGEST_S

    run_virtual(work)


@pytest.mark.parametrize("is_resumable", [True])
def test_a_callers_stream_leaves_an_instance_that_completes_no_event(
    is_resumable: bool,
) -> None:
    async def work() -> None:
        async def write(_part: bytes) -> None:
            return None

        sink: Any = SimpleNamespace(write=write, begin=lambda *_: None)
        meter: Any = SimpleNamespace(
            record_sent=lambda: None, record_end=lambda did_not_run: None
        )
        progress = StreamProgress(sink, None, meter, lambda: None)
        call: Any = SimpleNamespace(request_id="i", deadline_s=100.0)
        handle: Any = SimpleNamespace(
            record=None, instance=SimpleNamespace(versions={})
        )
        policy = CallPolicy(is_resumable, 3, 0.4)
        exchange: Any = _TricklingExchange("i")
        reader = StreamReader(call, policy, exchange, progress, handle, lambda: True)
        async with asyncio.timeout(60.0):
            answer = await reader.run()
        assert isinstance(answer, Refusal)
        assert now_s() < _LONGEST_S

    run_virtual(work)
