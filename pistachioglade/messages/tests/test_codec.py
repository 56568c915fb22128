"""The frame decoder accepts or refuses any bytes without raising."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...errors import ErrorKind, Refusal
from .. import (
    MAX_FRAME_BYTES,
    Envelope,
    RootOffer,
    Ticket,
    decode_frame,
    encode_frame,
)


def test_a_message_survives_encoding_and_decoding() -> None:
    message = Ticket("agent-a", 1 << 62, 3, 4)
    assert decode_frame(encode_frame(9, message)) == Envelope(9, message)


@pytest.mark.parametrize(
    ("frame", "kind"),
    [
        (b"", ErrorKind.BAD_REQUEST),
        (b"\xff", ErrorKind.BAD_REQUEST),
        (cbor2.dumps({"a": 1}), ErrorKind.BAD_REQUEST),
        (cbor2.dumps([2, 1, "RootOffer", {"generation": 1}]), ErrorKind.BAD_REQUEST),
        (cbor2.dumps([1, "x", "RootOffer", {}]), ErrorKind.BAD_REQUEST),
        (cbor2.dumps([1, 1, "NoSuch", {}]), ErrorKind.BAD_REQUEST),
        (cbor2.dumps([1, 1, "RootOffer", {"other": 1}]), ErrorKind.BAD_REQUEST),
        (b"x" * (MAX_FRAME_BYTES + 1), ErrorKind.TOO_LARGE),
    ],
)
def test_an_invalid_frame_is_refused_with_a_reason(
    frame: bytes, kind: ErrorKind
) -> None:
    result = decode_frame(frame)
    assert isinstance(result, Refusal)
    assert result.kind is kind
    assert result.reason


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(frame: bytes) -> None:
    assert isinstance(decode_frame(frame), Envelope | Refusal)


@given(st.binary(max_size=6), st.integers(0, 30))
def test_a_damaged_frame_is_decoded_or_refused(noise: bytes, position: int) -> None:
    frame = bytearray(encode_frame(1, RootOffer(7)))
    frame[position : position + len(noise)] = noise
    assert isinstance(decode_frame(bytes(frame)), Envelope | Refusal)
