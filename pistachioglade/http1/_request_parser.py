"""Parses the requests of one connection, never beyond the end of a request."""

from __future__ import annotations

from enum import Enum
from typing import Any, Final

import httptools

from ._framing import FramingMeter

#: Bytes of a head or of a body in chunks that are parsed in one step. The parser holds
#: an unfinished field, so that only between steps a field without end is noticed.
_STEP_BYTES: Final = 16 * 1024
#: Bytes of a body of declared length that are parsed in one step.
_BODY_STEP_BYTES: Final = 64 * 1024
_HEAD_END: Final = b"\r\n\r\n"
_BLANK: Final = b"\r\n"
_LAST_CHUNK_DIGIT: Final = ord("0")
_LINE_END: Final = ord("\n")


class _Phase(Enum):
    """What the next bytes belong to."""

    HEAD = "head"
    # A body of declared length.
    LENGTH = "length"
    # A body in chunks, with its trailers.
    CHUNKS = "chunks"


class RequestParser:
    """Parses in steps that end at the end of a request at the latest.

    A request that is sent ahead of its turn thus stays a few bytes. The listener gets
    the callbacks of httptools; it calls :meth:`begin_body` and :meth:`end_request`.
    """

    def __init__(self, listener: Any) -> None:
        self._parser = httptools.HttpRequestParser(listener)
        self._framing = FramingMeter()
        self._phase = _Phase.HEAD
        # Last bytes of an unfinished head, where its end may have begun.
        self._head_tail = b""
        # Bytes of a body of declared length that are still to come.
        self._left_bytes = 0
        # Whether the next byte of a body in chunks begins a line, as far as is known.
        self._is_at_line = False
        # Whether the line of the last chunk may have come, so that the request may end
        # at any line.
        self._may_be_in_trailers = False

    @property
    def method(self) -> str:
        """Method of the request whose head has arrived."""
        return bytes(self._parser.get_method()).decode()

    @property
    def should_keep_alive(self) -> bool:
        """Whether the connection may be kept after the request."""
        return bool(self._parser.should_keep_alive())

    def is_within(self, max_header_bytes: int) -> bool:
        """Whether the bytes that frame the request aren't more than a head may have."""
        return self._framing.is_within(max_header_bytes)

    def step(self, data: bytes, start: int) -> int:
        """Parse some of the data from a position on; return the position after it.

        Raises the errors of httptools.
        """
        end = self._end_of_step(data, start)
        self._framing.count(end - start)
        self._parser.feed_data(memoryview(data)[start:end])
        return end

    def begin_body(self, declared_bytes: int | None) -> None:
        """Expect a body; ``declared_bytes`` is None for a body in chunks."""
        self._framing.reset()
        if declared_bytes is None:
            self._phase = _Phase.CHUNKS
            self._is_at_line, self._may_be_in_trailers = True, False
        elif declared_bytes:
            self._phase = _Phase.LENGTH
            self._left_bytes = declared_bytes

    def record_body(self) -> None:
        """Note that bytes of the body have arrived."""
        self._framing.reset()
        self._may_be_in_trailers = False

    def end_request(self) -> None:
        """Expect the next request."""
        self._framing.reset()
        self._phase = _Phase.HEAD
        self._head_tail = b""

    def _end_of_step(self, data: bytes, start: int) -> int:
        match self._phase:
            case _Phase.HEAD:
                return self._end_in_head(data, start)
            case _Phase.LENGTH:
                size = min(self._left_bytes, _BODY_STEP_BYTES, len(data) - start)
                self._left_bytes -= size
                return start + size
            case _Phase.CHUNKS:
                return self._end_in_chunks(data, start)

    def _end_in_head(self, data: bytes, start: int) -> int:
        """Return the end of the head; the parser takes no other line ends."""
        limit = min(start + _STEP_BYTES, len(data))
        tail, self._head_tail = self._head_tail, b""
        if not tail and data[start] in _BLANK:
            # Empty lines before a request; the next step begins with its first line.
            return limit - len(data[start:limit].lstrip(_BLANK))
        if tail:
            joined = tail + data[start : start + len(_HEAD_END)]
            found = joined.find(_HEAD_END)
            if found >= 0:
                return start + found + len(_HEAD_END) - len(tail)
        found = data.find(_HEAD_END, start, limit)
        if found >= 0:
            return found + len(_HEAD_END)
        recent = tail + data[max(start, limit - len(_HEAD_END)) : limit]
        self._head_tail = recent[1 - len(_HEAD_END) :]
        return limit

    def _end_in_chunks(self, data: bytes, start: int) -> int:
        """Return a position up to which the request can't end.

        A request ends at a line that begins with the digit 0, or at a later one.
        """
        limit = min(start + _STEP_BYTES, len(data))
        is_line = self._is_at_line and data[start] == _LAST_CHUNK_DIGIT
        if is_line or self._may_be_in_trailers:
            self._may_be_in_trailers = True
            found = data.find(b"\n", start, limit)
        else:
            found = data.find(b"\n0", start, limit)
        end = limit if found < 0 else found + 1
        self._is_at_line = data[end - 1] == _LINE_END
        return end
