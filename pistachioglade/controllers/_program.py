"""The start of every node's program."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Final, Protocol, TypeVar

import click

from ..config import NodeSettings, SettingsError, load_settings
from ..telemetry import configure_logs

#: Exit code for invalid settings.
EXIT_SETTINGS: Final = 2


class _Settings(Protocol):
    @property
    def common(self) -> NodeSettings:
        """The settings that every node has."""


S = TypeVar("S", bound=_Settings)


def run_program(
    program: str,
    path: str,
    cls: type[S],
    serve: Callable[[S], Awaitable[None]],
    only_check: bool,
) -> None:
    """Read the settings and serve; exit with a message if the settings are invalid."""

    async def run(settings: S) -> None:
        await serve(settings)

    try:
        settings = load_settings(path, cls)
        configure_logs(settings.common.node, program)
        if only_check:
            click.echo("settings are good", err=True)
            return
        asyncio.run(run(settings))
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)
