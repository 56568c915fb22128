"""Options and exit codes that all commands share."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from functools import wraps
from typing import Any, Final

import click

from ..config import SettingsError, read_secret
from ..errors import ErrorKind
from ._client import AdminClient, AdminError

EXIT_REFUSED: Final = 1
EXIT_FAULTY: Final = 2
EXIT_UNKNOWN: Final = 3
EXIT_NOT_IN_FORCE: Final = 4
#: Refusals after which the outcome of a request is not known.
UNKNOWN_KINDS: Final = frozenset({ErrorKind.PLATFORM_UNCERTAIN, ErrorKind.LINK_LOST})


def exit_on_error(command: Callable[..., None]) -> Callable[..., None]:
    """Report a refusal as a message on standard error and an exit code."""

    @wraps(command)
    def wrapper(*arguments: Any, **options: Any) -> None:
        try:
            command(*arguments, **options)
        except AdminError as error:
            click.echo(str(error), err=True)
            is_unknown = error.kind in UNKNOWN_KINDS
            sys.exit(EXIT_UNKNOWN if is_unknown else EXIT_REFUSED)
        except SettingsError as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_FAULTY)

    return wrapper


class Context:
    """Options that all commands share."""

    def __init__(self, urls: tuple[str, ...], token_file: str, output: str) -> None:
        self._urls = urls
        self._token_file = token_file
        self.as_json = output == "json"

    def client(self) -> AdminClient:
        """Return a client for the entries that were named."""
        if not self._urls or not self._token_file:
            raise SettingsError(
                "name an entry with --url and a token with --token-file"
            )
        return AdminClient(self._urls, read_secret(self._token_file))

    def show(self, fields: Any, text: str) -> None:
        """Print the outcome in the chosen form."""
        click.echo(json.dumps(fields, indent=2) if self.as_json else text)
