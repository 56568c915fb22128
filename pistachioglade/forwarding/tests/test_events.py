"""Tests of the event decoder with chunks split at any byte."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from .. import EventDecoder, StreamEvent
from .._events import MAX_EVENT_BYTES

_STREAM = (
    b"id: 0\ndata: one\n\n"
    b"pistachioglade-weight-versions: 7\nid: 1\ndata: two\n\n"
    b"id: 2\ndata: a\ndata: b\n\n"
)
_EVENTS = [
    StreamEvent(0, "one", None),
    StreamEvent(1, "two", 7),
    StreamEvent(2, "a\nb", None),
]


@given(st.sets(st.integers(0, len(_STREAM))))
def test_chunk_boundaries_do_not_change_the_events(cuts: set[int]) -> None:
    decoder = EventDecoder()
    bounds = [0, *sorted(cuts), len(_STREAM)]
    events: list[StreamEvent] = []
    for start, end in pairwise(bounds):
        found = decoder.feed(_STREAM[start:end])
        assert found is not None
        events += found
    assert events == _EVENTS
    assert b"".join(event.raw for event in events) == _STREAM
    assert decoder.is_between_events


@given(st.integers(1, len(_STREAM) - 1))
def test_a_stream_that_ends_inside_an_event_is_detected(end: int) -> None:
    decoder = EventDecoder()
    decoder.feed(_STREAM[:end])
    is_complete = _STREAM[:end].endswith(b"\n\n")
    assert decoder.is_between_events is (is_complete or not _STREAM[:end].strip())


@pytest.mark.parametrize(
    "block",
    [b"data: no number\n\n", b"id: x\ndata: a\n\n", b"\xff\xfe\n\n", b"{}\n\n"],
)
def test_malformed_bytes_are_rejected(block: bytes) -> None:
    assert EventDecoder().feed(block) is None


def test_crlf_line_endings_are_accepted() -> None:
    events = EventDecoder().feed(b"id: 4\r\ndata: x\r\n\r\n")
    assert events == [StreamEvent(4, "x", None)]


def test_events_in_chunks_of_a_byte_are_complete() -> None:
    data = b"id: 4\r\ndata: x\r\n\r\nid: 5\ndata: y\n\n"
    decoder = EventDecoder()
    parts = [decoder.feed(bytes([byte])) for byte in data]
    events = [event for part in parts if part is not None for event in part]
    assert [(event.number, event.data) for event in events] == [(4, "x"), (5, "y")]
    assert b"".join(event.raw for event in events) == data
    assert decoder.is_between_events


def test_an_event_without_end_is_malformed() -> None:
    """Guards against an event that grows until the memory of an entry is used up."""
    decoder = EventDecoder()
    block = b"x" * 1000
    fed = 0
    while decoder.feed(block) is not None:
        fed += len(block)
        assert fed <= MAX_EVENT_BYTES
