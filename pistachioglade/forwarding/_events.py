"""Decoder of the server-sent events of a model engine and their weight versions."""

from __future__ import annotations

import re
from typing import Final

import attrs

from ..platform import names

#: Empty line after an event.
_SEPARATOR: Final = re.compile(rb"\r?\n\r?\n")


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
        self._incomplete = b""

    def feed(self, chunk: bytes) -> list[StreamEvent] | None:
        """Return the events that a chunk completes; None if the bytes are malformed."""
        data = self._incomplete + chunk
        events: list[StreamEvent] = []
        start = 0
        for separator in _SEPARATOR.finditer(data):
            event = _parse(
                data[start : separator.start()], data[start : separator.end()]
            )
            if event is None:
                return None
            events.append(event)
            start = separator.end()
        self._incomplete = data[start:]
        return events

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
