"""The client accounts of a configuration, found by the digests of their keys.

Keys themselves are never kept: the table, the entries' copies of the configuration and
their messages have only digests.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import attrs

#: Longest key that is looked up, in characters; a longer one belongs to no account.
MAX_KEY_CHARS: Final = 512
_DIGEST_BYTES: Final = 16


def key_digest(key: str) -> str:
    """Return the hex digest by which a key is known."""
    encoded = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()


@attrs.frozen
class Account:
    """A client account."""

    # Name, by which engines know the account.
    name: str
    # Priority, which takes precedence over a route's; None to use the route's.
    priority: int | None = None
    # Digests of the account's keys; empty if all keys were taken away.
    key_digests: frozenset[str] = frozenset()


class DuplicateKeyError(ValueError):
    """Two accounts have the same key, so that it identifies neither."""


class AccountTable:
    """All accounts of one configuration."""

    def __init__(self, accounts: Iterable[Account] = ()) -> None:
        self._accounts: Mapping[str, Account] = {item.name: item for item in accounts}
        self._by_digest: dict[str, Account] = {}
        for account in self._accounts.values():
            for digest in account.key_digests:
                if digest in self._by_digest:
                    reason = f"{account.name} and {self._by_digest[digest].name}"
                    raise DuplicateKeyError(f"the same key: {reason}")
                self._by_digest[digest] = account

    def __iter__(self) -> Iterator[Account]:
        return iter(self._accounts.values())

    def __len__(self) -> int:
        return len(self._accounts)

    @property
    def key_count(self) -> int:
        """Number of keys of all accounts."""
        return len(self._by_digest)

    def named(self, name: str) -> Account | None:
        """Return the account with a name; None if there is none."""
        return self._accounts.get(name)

    def find(self, key: str) -> Account | None:
        """Return the account that has a key; None if no account has it."""
        if not 0 < len(key) <= MAX_KEY_CHARS:
            return None
        return self._by_digest.get(key_digest(key))
