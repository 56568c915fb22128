"""Server-sent events of a model engine, with the weight version of each."""

from __future__ import annotations

import re
from typing import Final

import attrs

from ..platform import names

#: The empty line behind an event.
_SEPARATOR: Final = re.compile(rb"\r?\n\r?\n")


@attrs.frozen
class StreamEvent:
    """One event of a stream."""

    # Number of the event; they ascend by one.
    number: int
    # Its data.
    data: str
    # Weight version from this event on; None if it hasn't changed.
    version: int | None
    # The event as it came, with the empty line behind it.
    raw: bytes = attrs.field(default=b"", eq=False, repr=False)


class EventDecoder:
    """Takes the bytes of a stream, returns its whole events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, chunk: bytes) -> list[StreamEvent] | None:
        """Return the events that are whole now; None if the bytes are no events."""
        data = self._rest + chunk
        events: list[StreamEvent] = []
        start = 0
        for gap in _SEPARATOR.finditer(data):
            event = _parse(data[start : gap.start()], data[start : gap.end()])
            if event is None:
                return None
            events.append(event)
            start = gap.end()
        self._rest = data[start:]
        return events

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is left over."""
        return not self._rest.strip()


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
