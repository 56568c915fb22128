"""Decoder of the client accounts in a configuration, which the platform calls tenants.

Keys are replaced by their digests where an object enters the process, so that no copy,
message or log line of the process has a key.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any, Final

from ..accounts import Account, AccountTable, key_digest

_ACCOUNTS: Final = "tenants"
_KEYS: Final = "api-keys"
#: Field of an account that holds the digests of its keys instead of the keys.
_KEY_DIGESTS: Final = "api-key-digests"
#: Names that a header field can carry: visible ASCII characters.
_NAME: Final = re.compile(r"[!-~]{1,200}")
#: Priorities that engines know; 0 is the highest.
_MAX_PRIORITY: Final = 9


def digest_keys(value: Any) -> Any:
    """Return an object's value with digests in place of accounts' keys."""
    accounts = value.get(_ACCOUNTS) if isinstance(value, Mapping) else None
    if not isinstance(accounts, list):
        return value
    return {**value, _ACCOUNTS: [_digest_keys_of_account(item) for item in accounts]}


def _digest_keys_of_account(fields: Any) -> Any:
    if not isinstance(fields, Mapping) or _KEYS not in fields:
        return fields
    kept = {name: value for name, value in fields.items() if name != _KEYS}
    return {**kept, _KEY_DIGESTS: _digests(fields[_KEYS])}


def _digests(keys: Any) -> list[str] | None:
    """Return the digests of keys; None, which no decoder accepts, for no such list."""
    is_list = isinstance(keys, list) and all(isinstance(key, str) for key in keys)
    return [key_digest(key) for key in keys] if is_list else None


def digest_keys_in_answer(body: bytes) -> bytes:
    """Return a store's answer with digests in place of accounts' keys."""
    if _KEYS.encode() not in body:
        return body
    try:
        return json.dumps(_digest_nested_keys(json.loads(body))).encode()
    except (ValueError, RecursionError):
        # Only an answer that can be read may be passed on with its keys removed.
        return b""


def _digest_nested_keys(value: Any) -> Any:
    if isinstance(value, list):
        return [_digest_nested_keys(item) for item in value]
    if isinstance(value, dict):
        nested = {name: _digest_nested_keys(item) for name, item in value.items()}
        return digest_keys(nested)
    return value


def decode_accounts(fields: Mapping[str, Any]) -> AccountTable | None:
    """Return the accounts of a configuration; None if it has no accounts.

    Raises TypeError, KeyError or ValueError if the accounts are malformed.
    """
    if _ACCOUNTS not in fields:
        return None
    if not isinstance(fields[_ACCOUNTS], list):
        raise TypeError(f"{_ACCOUNTS} must be a list")
    accounts = [_account(item) for item in digest_keys(fields)[_ACCOUNTS]]
    names = {account.name for account in accounts}
    if len(names) != len(accounts):
        raise ValueError("two accounts have the same name")
    return AccountTable(accounts)


def _account(fields: Mapping[str, Any]) -> Account:
    name = fields["name"]
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        raise ValueError(f"not the name of an account: {name!a:.60}")
    digests = fields.get(_KEY_DIGESTS, ())
    if not isinstance(digests, list | tuple):
        raise TypeError(f"{name}: its keys are no list of texts")
    return Account(name, _priority(fields.get("priority")), frozenset(digests))


def _priority(value: Any) -> int | None:
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("an account's priority must be an integer")
    if not 0 <= value <= _MAX_PRIORITY:
        raise ValueError(f"an account's priority must be 0 to {_MAX_PRIORITY}")
    return value
