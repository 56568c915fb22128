"""The page of client accounts, from a configuration and log lines."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from ...accounts import key_digest
from ...config import SettingsError
from .._accounts import account_page, read_configuration, render_account_page

_ACCOUNTS = [
    {"name": "second", "api-keys": []},
    {"name": "first", "api-keys": ["k1", "k2"], "priority": 1},
]


def _write(folder: Path, **fields: object) -> Path:
    path = folder / "configuration.json"
    path.write_text(json.dumps({"version": 7, "routes": []} | fields))
    return path


def test_the_page_has_digests_and_counts_but_no_keys(tmp_path: Path) -> None:
    lines = [
        {"event": "call-tried", "account": "first", "attempt": 1},
        {"event": "call-tried", "account": "first", "attempt": 2},
        {"event": "job-accepted", "account": "first"},
        {"event": "call-tried", "account": "", "attempt": 1},
        {"event": "request-refused", "key_digests": [key_digest("k2")]},
        {"event": "request-refused", "key_digests": [key_digest("taken-away")]},
        {"event": "request-refused", "key_digests": []},
        {"event": "configuration-in-force", "node": "e1", "version": 6},
        {"event": "configuration-in-force", "node": "e1", "version": 7},
        {"event": "configuration-in-force", "node": "e0", "version": 6},
    ]
    page = account_page(read_configuration(_write(tmp_path, tenants=_ACCOUNTS)), lines)
    first, second = page.accounts
    assert (first.name, len(first.keys), first.requests, first.refusals) == (
        "first",
        2,
        2,
        1,
    )
    assert (second.name, second.keys, second.requests) == ("second", (), 0)
    assert page.unknown_keys == {key_digest("taken-away")[:8]: 1}
    assert page.versions == {"e0": 6, "e1": 7}
    text = render_account_page(page)
    assert "k1" not in text.replace(key_digest("k1")[:8], "")
    assert "configuration 7, 2 accounts" in text


@pytest.mark.parametrize("content", ["{", "[]", json.dumps({"version": 1})])
def test_a_faulty_configuration_is_named(tmp_path: Path, content: str) -> None:
    path = tmp_path / "configuration.json"
    path.write_text(content)
    with pytest.raises(SettingsError, match=r"configuration\.json"):
        read_configuration(path)
