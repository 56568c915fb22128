"""The load tool's program."""

from __future__ import annotations

import sys

import click

from ..config import SettingsError
from ._demo import run_demo


@click.group()
def main() -> None:
    """Run the demo, loads and experiments."""


@main.command("demo")
@click.option("--deployment", default="vereniging", help="Folder in deployments/.")
@click.option("--steps", default=4, help="Steps of each trainer.")
@click.option("--seed", default=1, help="Seed of the work.")
@click.option("--folder", default=None, help="Keep settings, logs and traces here.")
def _demo(deployment: str, steps: int, seed: int, folder: str | None) -> None:
    """Run a whole deployment on this machine and print the report."""
    try:
        sys.exit(run_demo(deployment, steps, seed, folder))
    except SettingsError as error:
        raise click.ClickException(str(error)) from error
    except KeyboardInterrupt:
        click.echo("stopped", err=True)
        sys.exit(130)
