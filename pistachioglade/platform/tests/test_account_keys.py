"""Accounts of a configuration: decoded or refused whole, and never kept with keys."""

from __future__ import annotations

import json
from typing import Any

import pytest

from ...accounts import AccountTable, key_digest
from ...errors import Refusal
from ...fleet import Configuration
from .. import decode_configuration, decode_entry, digest_keys_in_answer

_KEYS = ["h5mgjy5rcpihhacrudde", "dev3nax7u27gxprymh2r"]


def _decode(accounts: Any) -> Configuration | Refusal:
    return decode_configuration({"version": 1, "routes": [], "tenants": accounts})


def _table(accounts: Any) -> AccountTable:
    decoded = _decode(accounts)
    assert isinstance(decoded, Configuration) and decoded.accounts is not None
    return decoded.accounts


def test_each_key_finds_its_account() -> None:
    table = _table(
        [
            {"name": "a1", "api-keys": _KEYS, "priority": 1},
            {"name": "a2", "api-keys": ["other"]},
            {"name": "a3", "api-keys": []},
            {"name": "a4"},
        ]
    )
    assert len(table) == 4
    for key in _KEYS:
        found = table.find(key)
        assert found is not None and (found.name, found.priority) == ("a1", 1)
    other = table.find("other")
    assert other is not None and other.priority is None


def test_a_configuration_without_accounts_needs_no_keys() -> None:
    decoded = decode_configuration({"version": 1, "routes": []})
    assert isinstance(decoded, Configuration) and decoded.accounts is None


@pytest.mark.parametrize(
    "accounts",
    [
        None,
        {},
        "a1",
        [3],
        [{}],
        [{"name": ""}],
        [{"name": "a\r\nb"}],
        [{"name": "a b"}],
        [{"name": "ä"}],
        [{"name": 3}],
        [{"name": "a" * 201}],
        [{"name": "a", "api-keys": None}],
        [{"name": "a", "api-keys": "k"}],
        [{"name": "a", "api-keys": [3]}],
        [{"name": "a", "api-keys": {"k": 1}}],
        [{"name": "a", "priority": "1"}],
        [{"name": "a", "priority": 10}],
        [{"name": "a", "priority": True}],
        [{"name": "a"}, {"name": "a"}],
        [{"name": "a", "api-keys": ["k"]}, {"name": "b", "api-keys": ["k"]}],
    ],
)
def test_malformed_accounts_refuse_the_whole_configuration(accounts: Any) -> None:
    refusal = _decode(accounts)
    assert isinstance(refusal, Refusal)
    assert len(refusal.reason) < 300


def test_an_object_enters_the_process_without_keys() -> None:
    value = {"version": 1, "tenants": [{"name": "a1", "api-keys": _KEYS}]}
    fields = {"metadata": {"name": "main"}, "specification": value}
    entry = decode_entry(fields)
    assert not isinstance(entry, Refusal)
    assert not any(key in repr(entry) for key in _KEYS)
    digested = {**value, "tenants": entry.value["tenants"]}
    table = decode_configuration({**digested, "routes": []})
    assert isinstance(table, Configuration) and table.accounts is not None
    assert table.accounts.find(_KEYS[0]) is not None
    assert digested["tenants"][0]["api-key-digests"] == list(map(key_digest, _KEYS))


@pytest.mark.parametrize("items", ["items", "events"])
def test_an_answer_that_is_relayed_has_no_keys(items: str) -> None:
    value = {"tenants": [{"name": "a1", "api-keys": _KEYS}, 3], "routes": [1]}
    item = {"metadata": {"name": "main", "revision": 4}, "specification": value}
    body = {"at": 5, items: [{"object": item} if items == "events" else item]}
    relayed = digest_keys_in_answer(json.dumps(body).encode())
    assert not any(key.encode() in relayed for key in _KEYS)
    assert json.loads(relayed)["at"] == 5
    unrelated = b'{"items": [], "at": 1}'
    assert digest_keys_in_answer(unrelated) is unrelated
    assert digest_keys_in_answer(b'"api-keys" cut') == b""
