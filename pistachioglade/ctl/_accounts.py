"""Shows client accounts: their keys by digest, and their requests by log files."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

import attrs

from ..accounts import Account
from ..config import SettingsError
from ..errors import Refusal
from ..fleet import Configuration
from ..platform import decode_configuration
from ..report import LogLine

#: Characters of a digest that are shown; enough to tell the keys of a deployment apart.
_DIGEST_CHARS: Final = 8
#: Log events that tell of a request of an account.
_REQUEST_EVENTS: Final = frozenset({"call-tried", "stream-tried", "job-accepted"})


@attrs.frozen
class AccountLine:
    """One account."""

    # Name.
    name: str
    # Digests of the keys, shortened.
    keys: tuple[str, ...]
    # Priority; None if the account has none of its own.
    priority: int | None
    # Requests and jobs in the log files.
    requests: int
    # Refused requests with a key of the account in the log files.
    refusals: int


@attrs.frozen
class AccountPage:
    """The accounts of a configuration, and the configurations of the entries."""

    # Version of the configuration.
    version: int
    # The accounts by name.
    accounts: tuple[AccountLine, ...]
    # Refused requests whose key belongs to no account, by the key's shortened digest.
    unknown_keys: dict[str, int]
    # Configuration version in force at each entry.
    versions: dict[str, int]


def read_configuration(path: Path) -> Configuration:
    """Read a configuration as the operator writes it; raise SettingsError if faulty."""
    try:
        fields = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error
    decoded = decode_configuration(fields if isinstance(fields, dict) else {})
    if isinstance(decoded, Refusal):
        raise SettingsError(f"{path}: {decoded.reason}")
    return decoded


def account_page(configuration: Configuration, lines: Iterable[LogLine]) -> AccountPage:
    """Return the page of a configuration and of log lines."""
    requests: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    versions: dict[str, int] = {}
    for line in lines:
        event = line.get("event")
        if event in _REQUEST_EVENTS and line.get("account"):
            request = line.get("attempt", 1) == 1
            requests[str(line["account"])] += int(request)
        elif event == "request-refused":
            refused.update(_texts(line.get("key_digests")))
        elif event == "configuration-in-force":
            versions[str(line.get("node", ""))] = int(line["version"])
    accounts = sorted(configuration.accounts or (), key=lambda item: item.name)
    known = frozenset().union(*(item.key_digests for item in accounts))
    return AccountPage(
        configuration.version,
        tuple(_line(item, requests, refused) for item in accounts),
        {
            digest[:_DIGEST_CHARS]: count
            for digest, count in refused.items()
            if digest not in known
        },
        dict(sorted(versions.items())),
    )


def _texts(value: Any) -> list[str]:
    items = value if isinstance(value, list) else []
    return [item for item in items if isinstance(item, str)]


def _line(
    account: Account, requests: Counter[str], refused: Counter[str]
) -> AccountLine:
    return AccountLine(
        account.name,
        tuple(sorted(digest[:_DIGEST_CHARS] for digest in account.key_digests)),
        account.priority,
        requests[account.name],
        sum(refused[digest] for digest in account.key_digests),
    )


def render_account_page(page: AccountPage) -> str:
    """Return the page as text."""
    lines = [f"configuration {page.version}, {len(page.accounts)} accounts"]
    lines += [
        f"{item.name}  keys {len(item.keys)} ({', '.join(item.keys)})"
        f"  priority {item.priority}  requests {item.requests}"
        f"  refused {item.refusals}"
        for item in page.accounts
    ]
    lines += [
        f"unknown key {digest}  refused {count}"
        for digest, count in page.unknown_keys.items()
    ]
    lines += [f"{node}  version {version}" for node, version in page.versions.items()]
    return "\n".join(lines)
