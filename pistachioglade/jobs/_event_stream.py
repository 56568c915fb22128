"""Server-sent events of a sample, with the weight version of each."""

from __future__ import annotations

from typing import Final

import attrs

from ..platform import names

_SEPARATOR: Final = b"\n\n"


@attrs.frozen
class SampleEvent:
    """One event of a sample's stream."""

    # Number of the event; they ascend by one.
    number: int
    # Its data.
    data: str
    # Weight version from this event on; None if it hasn't changed.
    version: int | None


class EventDecoder:
    """Takes the bytes of a stream, returns its whole events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, chunk: bytes) -> list[SampleEvent] | None:
        """Return the events that are whole now; None if the bytes are no events."""
        data = self._rest + chunk.replace(b"\r\n", b"\n")
        *blocks, self._rest = data.split(_SEPARATOR)
        events: list[SampleEvent] = []
        for block in blocks:
            event = _parse(block)
            if event is None:
                return None
            events.append(event)
        return events

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is left over."""
        return not self._rest.strip()


def _parse(block: bytes) -> SampleEvent | None:
    try:
        lines = block.decode().split("\n")
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
    return SampleEvent(int(number), data, int(version) if version else None)
