"""Rate limit of log lines and writes that don't block."""

from __future__ import annotations

import json
import os

from .. import BoundedWriter


class _Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def _read(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    parts = []
    while True:
        try:
            part = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            return b"".join(parts)
        parts.append(part)


def test_lines_above_the_rate_limit_are_dropped_and_counted() -> None:
    reader, writer_end = os.pipe()
    clock = _Clock()
    writer = BoundedWriter(writer_end, clock, lines_per_s=10.0, node="a")
    for number in range(1500):
        writer(json.dumps({"n": number}))
    assert len(_read(reader).splitlines()) == 1200
    assert writer.dropped == 300
    clock.now_s = 1.0
    writer(json.dumps({"event": "later"}))
    lines = [json.loads(line) for line in _read(reader).splitlines()]
    report = {"event": "lines-dropped", "count": 300, "node": "a"}
    assert lines == [{"event": "later"}, report]


def test_a_slow_reader_loses_lines_and_does_not_block() -> None:
    reader, writer_end = os.pipe()
    writer = BoundedWriter(writer_end, _Clock())
    line = json.dumps({"text": "x" * 1000})
    for _ in range(500):
        writer(line)
    assert writer.dropped > 0
    first = _read(reader)
    writer(line)
    lines = (first + _read(reader)).splitlines()
    assert all(json.loads(item) for item in lines)


def test_a_slow_reader_sees_only_complete_lines() -> None:
    """Guards against the loss of the remainder of a partially written line."""
    reader, writer_end = os.pipe()
    writer = BoundedWriter(writer_end, _Clock(), lines_per_s=1e9)
    # The pipe holds 64 kB; a line longer than 4 kB is written as far as it fits.
    for number in range(10):
        writer(json.dumps({"n": number, "pad": "x" * 9990}))
    seen = _read(reader)
    writer(json.dumps({"n": "last"}))
    seen += _read(reader)
    numbers = [json.loads(line).get("n") for line in seen.splitlines()]
    assert numbers == [0, 1, 2, 3, 4, 5, 6, "last", None]
    assert writer.dropped == 3
