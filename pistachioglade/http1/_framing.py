"""Bound of the bytes that frame a message: heads, chunk heads and trailers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

#: Bytes that a parser is given at once. The parser holds an unfinished field, so that
#: only between these pieces a field without end is noticed.
_PIECE_BYTES: Final = 16 * 1024


class FramingMeter:
    """Counts the bytes that a parser has read since the last part of a body.

    A head without end, interim answers one after another, an extension of a chunk and
    trailers have in common that none of their bytes belongs to a body.
    """

    def __init__(self) -> None:
        self._read_bytes = 0

    def reset(self) -> None:
        """Restart the count, since a body or a message goes on."""
        self._read_bytes = 0

    def is_within(self, limit_bytes: int) -> bool:
        """Whether the framing is no longer than a limit and the last piece."""
        return self._read_bytes <= limit_bytes + _PIECE_BYTES

    def count(self, size: int) -> None:
        """Count bytes that a parser is given."""
        self._read_bytes += size

    def feed(self, data: bytes, parse: Callable[[bytes], None]) -> Iterator[None]:
        """Pass data to a parser piece by piece; yield after each piece."""
        for start in range(0, len(data), _PIECE_BYTES):
            piece = data[start : start + _PIECE_BYTES]
            self.count(len(piece))
            parse(piece)
            yield
