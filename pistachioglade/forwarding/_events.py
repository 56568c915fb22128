"""Decoder of the server-sent events of a model engine and their weight versions."""

from __future__ import annotations

import re
from typing import Final

import attrs

from ..platform import names

#: Empty line after an event.
_SEPARATOR: Final = re.compile(rb"\r?\n\r?\n")
#: Bytes at the end of an incomplete event that may begin the empty line after it.
_SEPARATOR_BYTES: Final = 3
#: Longest event, in bytes. An event holds the text of some dozens of tokens.
MAX_EVENT_BYTES: Final = 256 * 1024


@attrs.frozen
class StreamEvent:
    """One event of a stream."""

    # Event id; ids ascend by one.
    number: int
    # Value of the event's data lines, joined by line feeds.
    data: str
    # Weight version from this event on; None if the version hasn't changed.
    version: int | None
    # Received bytes of the event, with the empty line after it.
    raw: bytes = attrs.field(default=b"", eq=False, repr=False)


class EventDecoder:
    """Splits the bytes of a stream into complete events."""

    def __init__(self) -> None:
        self._incomplete = bytearray()

    def feed(self, chunk: bytes) -> list[StreamEvent] | None:
        """Return the events that a chunk completes; None if the bytes are malformed.

        Bytes are searched once, however small the chunks are.
        """
        data = self._incomplete
        searched = max(0, len(data) - _SEPARATOR_BYTES)
        data += chunk
        events: list[StreamEvent] = []
        start = 0
        for separator in _SEPARATOR.finditer(data, searched):
            raw = bytes(data[start : separator.end()])
            event = _parse(raw[: separator.start() - start], raw)
            if event is None:
                return None
            events.append(event)
            start = separator.end()
        del data[:start]
        return None if len(data) > MAX_EVENT_BYTES else events

    @property
    def is_between_events(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._incomplete.strip()


def _parse(block: bytes, raw: bytes) -> StreamEvent | None:
    try:
        lines = block.decode().replace("\r\n", "\n").split("\n")
    except UnicodeDecodeError:
        return None
    pairs = [line.partition(":") for line in lines if line]
    fields = [(name.strip().lower(), value.strip()) for name, _, value in pairs]
    number = next((value for name, value in fields if name == "id"), "")
    version = next((value for name, value in fields if name == names.VERSION_LINE), "")
    if not number.isdigit() or (version and not version.isdigit()):
        return None
    data = "\n".join(
        value.removeprefix(" ") for name, _, value in pairs if name == "data"
    )
    return StreamEvent(int(number), data, int(version) if version else None, raw)
