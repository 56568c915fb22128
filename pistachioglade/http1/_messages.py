"""HTTP/1.1 requests and answers, for clients and servers."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

import attrs

#: Header fields as received, in order.
Fields = tuple[tuple[str, str], ...]

#: Fields that concern one connection only and are never passed on (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


@attrs.frozen
class Request:
    """A complete request."""

    # Method in upper case.
    method: str
    # Path and query as sent.
    target: str
    # Header fields.
    fields: Fields
    # Body without its transfer coding.
    body: bytes
    # Monotonic time at which the last byte was read, in seconds.
    received_s: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The part of the target after the question mark."""
        return self.target.partition("?")[2]

    def field(self, name: str) -> str | None:
        """Return the first value of a field."""
        return first_field(self.fields, name)


@attrs.frozen
class ResponseHead:
    """Status line and header fields of an answer."""

    # HTTP status code.
    status: int
    # Header fields.
    fields: Fields

    def field(self, name: str) -> str | None:
        """Return the first value of a field."""
        return first_field(self.fields, name)


@attrs.frozen
class Response:
    """A complete answer."""

    # HTTP status code.
    status: int
    # Header fields, without framing.
    fields: Fields = ()
    # Body.
    body: bytes = b""

    def field(self, name: str) -> str | None:
        """Return the first value of a field."""
        return first_field(self.fields, name)


def first_field(fields: Fields, name: str) -> str | None:
    """Return the first value of a field; names are case-insensitive."""
    lower, size = name.lower(), len(name)
    # Most names differ in length already, which matters for heads of many fields.
    return next(
        (value for key, value in fields if len(key) == size and key.lower() == lower),
        None,
    )


def end_to_end(fields: Fields, also_drop: Iterable[str] = ()) -> Fields:
    """Return the fields without the hop-by-hop fields and those in ``also_drop``."""
    listed = first_field(fields, "connection") or ""
    named = {part.strip().lower() for part in listed.split(",")}
    dropped = HOP_BY_HOP | named | {name.lower() for name in also_drop}
    return tuple(item for item in fields if item[0].lower() not in dropped)


def head_bytes(first_line: str, fields: Iterable[tuple[str, str]]) -> bytes:
    """Return a start line and header fields in wire format."""
    lines = [first_line, *(f"{name}: {value}" for name, value in fields), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
