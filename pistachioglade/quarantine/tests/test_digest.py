"""Request digests: equal for a repeated request, distinct for different requests."""

from __future__ import annotations

import attrs
import pytest

from ...http1 import Request
from ...platform import names
from .. import request_digest

_REQUEST = Request(
    "POST",
    "/lookup/1?part=2",
    (("Host", "case.example"), (names.ATTEMPT_ID, "a"), ("Authorization", "Key 1")),
    b"body",
    0.0,
)


def _with_field(name: str, value: str) -> Request:
    kept = (item for item in _REQUEST.fields if item[0] != name)
    return attrs.evolve(_REQUEST, fields=(*kept, (name, value)))


@pytest.mark.parametrize(
    "repeated",
    [
        _with_field(names.ATTEMPT_ID, "b"),
        _with_field(names.DEADLINE_MS, "100"),
        _with_field("Host", "CASE.example"),
        attrs.evolve(_REQUEST, received_s=5.0),
    ],
)
def test_repeated_request_has_the_same_digest(repeated: Request) -> None:
    assert request_digest(repeated) == request_digest(_REQUEST)


@pytest.mark.parametrize(
    "different",
    [
        attrs.evolve(_REQUEST, method="PUT"),
        attrs.evolve(_REQUEST, target="/lookup/1?part=3"),
        attrs.evolve(_REQUEST, body=b"bodY"),
        _with_field("Host", "other.example"),
        _with_field("Authorization", "Key 2"),
        attrs.evolve(
            _REQUEST,
            target="/lookup/1?part=2K",
            fields=(("Host", "case.example"), ("Authorization", "ey 1")),
        ),
    ],
)
def test_different_request_has_a_different_digest(different: Request) -> None:
    assert request_digest(different) != request_digest(_REQUEST)
