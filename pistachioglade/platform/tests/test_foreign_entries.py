"""Objects of other writers are decoded, or refused with a short reason."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...errors import ErrorKind, Refusal
from ...standins._instance_entry import instance_entry
from .. import (
    Entry,
    decode_changes,
    decode_configuration,
    decode_entry,
    decode_instance,
    decode_page,
    decode_version,
)

#: Upper bound of a refusal's reason, in characters, whatever the object contains.
_REASON_CHARS = 300
_HUGE = "x" * 1_000_000

_FOREIGN_INSTANCES = {
    "no value": None,
    "a list": [],
    "a text": "i-1",
    "nothing": {},
    **{
        f"no {name}": {
            key: value for key, value in instance_entry("app").items() if key != name
        }
        for name in instance_entry("app")
    },
    **{
        f"{name} of another type": instance_entry("app") | {name: ["x"]}
        for name in instance_entry("app")
    },
    "an unknown state": instance_entry("app", state="resting"),
    "a state in capitals": instance_entry("app", state="READY"),
    "no host": instance_entry("app", ":80"),
    "a host by name": instance_entry("app", "store.example:80"),
    "no port": instance_entry("app", "10.0.0.1"),
    "port 0": instance_entry("app", "10.0.0.1:0"),
    "a port out of range": instance_entry("app", "10.0.0.1:65536"),
    "a port that is no number": instance_entry("app", "10.0.0.1:http"),
    "no slots": instance_entry("app", slots=0),
    "slots below none": instance_entry("app", slots=-3),
    "slots that are a text": instance_entry("app", slots="8"),
    "slots that are true": instance_entry("app", slots=True),
    "slots beyond reason": instance_entry("app", slots=2**40),
    "models that are none": instance_entry("app", models=[3]),
    "a version that is a text": instance_entry(
        "app", models=[{"name": "m", "version": "2"}]
    ),
    "a service without a name": instance_entry(""),
    "a service of a megabyte": instance_entry(_HUGE),
    "an address of a megabyte": instance_entry("app", _HUGE),
    "a state of a megabyte": instance_entry("app", state=_HUGE),
}


@pytest.mark.parametrize("what", _FOREIGN_INSTANCES)
def test_an_invalid_instance_entry_is_refused_with_a_short_reason(what: str) -> None:
    read = decode_instance("i-1", _FOREIGN_INSTANCES[what])
    assert isinstance(read, Refusal)
    assert read.kind is ErrorKind.UNREADABLE
    assert len(read.reason) < _REASON_CHARS


def test_a_valid_instance_entry_is_decoded() -> None:
    assert not isinstance(decode_instance("i-1", instance_entry("app")), Refusal)


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    "version",
                    "routes",
                    "services",
                    "limits",
                    "name",
                    "host",
                    "type",
                    "path-prefix",
                    "service",
                    "engine-id",
                    "models",
                    "split",
                    "weight",
                    "address",
                    "state",
                    "slots",
                    "model",
                    "max-attempts",
                    "timeout-ms",
                ]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=25,
)


@given(_JSON)
def test_no_value_raises_in_the_decoders_of_values(value: Any) -> None:
    for read in (
        decode_instance("i-1", value),
        decode_version(value),
        decode_configuration(value),
    ):
        assert not isinstance(read, Refusal) or len(read.reason) < _REASON_CHARS


@given(_JSON)
def test_no_object_raises_in_the_decoder_of_entries(fields: Any) -> None:
    decode_entry(fields)
    decode_entry({"metadata": fields, "specification": fields})


@given(st.binary(max_size=60) | _JSON.map(lambda value: json.dumps(value).encode()))
def test_no_body_raises_in_the_decoders_of_answers(body: bytes) -> None:
    for decode in (decode_page, decode_changes):
        read = decode(body)
        assert not isinstance(read, Refusal) or len(read.reason) < _REASON_CHARS


def test_large_integers_in_values_are_kept() -> None:
    """Decoded as infinite, an owner's nonce of 19 digits matches no lease holder."""
    value = {"nonce": 2**64 - 1, "large": 10**200}
    body = {"metadata": {"name": "a", "revision": 1}, "specification": value}
    page = decode_page(json.dumps({"items": [body], "at": 1}).encode())
    assert not isinstance(page, Refusal)
    assert page.entries[0].value == value


_VALID = b'{"metadata": {"name": "b", "revision": 7}, "specification": 1}'


@pytest.mark.parametrize(
    ("item", "nameless"),
    [
        (b"{}", 1),
        (b"7", 1),
        (b'{"metadata": {"name": 7}}', 1),
        (b'{"metadata": {"name": ""}}', 1),
        (b'{"metadata": {"name": "\\ud800"}}', 1),
        (b'{"metadata": {"name": "' + _HUGE.encode() + b'"}}', 1),
        (b'{"metadata": {"name": "a\xff"}, "specification": "\xff\xfe"}', 0),
        (b'{"metadata": {"name": "a", "revision": "7"}}', 0),
        (b'{"metadata": {"name": "a", "revision": ' + b"9" * 5000 + b"}}", 0),
    ],
)
def test_an_unreadable_object_leaves_the_others_readable(
    item: bytes, nameless: int
) -> None:
    page = decode_page(
        b'{"items": [%b, %b], "has-more": false, "at": 9}' % (item, _VALID)
    )
    assert not isinstance(page, Refusal)
    assert page.entries[-1] == Entry("b", 7, 1, None)
    assert (len(page.entries), page.nameless) == (2 - nameless, nameless)
    assert all(entry.revision <= 9 for entry in page.entries)
    event = b'{"object": %b, "deleted": false}'
    body = b'{"events": [%b, %b], "at": 9}' % (event % item, event % _VALID)
    watched = decode_changes(body)
    assert not isinstance(watched, Refusal)
    assert (len(watched.changes), watched.nameless) == (2 - nameless, nameless)
