"""The only module that converts messages to bytes and back, as CBOR frames.

A frame is a CBOR array of the protocol version, a correlation id, the name of
the message type and the message's fields.
"""

from __future__ import annotations

from typing import Any, Final, TypeVar

import attrs
import cbor2
from cattrs.preconf.cbor2 import make_converter

from ..errors import ErrorKind, Refusal, refuse
from . import _calls, _control, _duties, _entries, _load, _samples

PROTOCOL_VERSION: Final = 1
#: Largest frame that a link accepts, in bytes; enough for a step of 8,192 prompts.
MAX_FRAME_BYTES: Final = 8 * 1024 * 1024

T = TypeVar("T")

_converter = make_converter(forbid_extra_keys=True)

_TYPES: Final[dict[str, type]] = {
    cls.__name__: cls
    for module in (_calls, _control, _duties, _entries, _load, _samples)
    for cls in vars(module).values()
    if isinstance(cls, type) and attrs.has(cls)
} | {"Refusal": Refusal}


@attrs.frozen
class Envelope:
    """One decoded frame."""

    # Correlation id; an answer carries the id of its request.
    correlation_id: int
    # The message.
    message: Any


def structure(data: Any, cls: type[T]) -> T:
    """Build an object of ``cls`` from plain data; raise if the data does not fit."""
    return _converter.structure(data, cls)


def unstructure(message: Any) -> Any:
    """Return ``message`` as plain data."""
    return _converter.unstructure(message)


def encode_frame(correlation_id: int, message: Any) -> bytes:
    """Return the frame of one message."""
    body = _converter.unstructure(message)
    name = type(message).__name__
    return cbor2.dumps([PROTOCOL_VERSION, correlation_id, name, body])


def decode_frame(frame: bytes) -> Envelope | Refusal:
    """Return the message of a frame, or a refusal if the frame is invalid."""
    if len(frame) > MAX_FRAME_BYTES:
        return refuse(ErrorKind.TOO_LARGE, f"frame of {len(frame)} bytes")
    try:
        fields = cbor2.loads(frame)
    except Exception as error:  # cbor2 may raise errors of any type
        return refuse(ErrorKind.BAD_REQUEST, f"frame is not CBOR: {error!r:.200}")
    if not isinstance(fields, list) or len(fields) != 4:
        return refuse(ErrorKind.BAD_REQUEST, "frame is not an array of four fields")
    return _decode_fields(*fields)


def _decode_fields(
    version: Any, correlation_id: Any, name: Any, body: Any
) -> Envelope | Refusal:
    if version != PROTOCOL_VERSION:
        return refuse(ErrorKind.BAD_REQUEST, f"protocol version {version!r:.40}")
    if not isinstance(correlation_id, int) or not isinstance(name, str):
        return refuse(ErrorKind.BAD_REQUEST, "frame header has wrong types")
    cls = _TYPES.get(name)
    if cls is None:
        return refuse(ErrorKind.BAD_REQUEST, f"message type {name!r:.40}")
    try:
        message: Any = _converter.structure(body, cls)
    except Exception as error:  # cattrs groups errors of any type
        return refuse(ErrorKind.BAD_REQUEST, f"{name}: {error!r:.200}")
    return Envelope(correlation_id, message)
