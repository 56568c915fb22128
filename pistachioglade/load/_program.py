"""Command line of the load tool."""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path

import attrs
import click

from ..config import SettingsError
from ..errors import Refusal
from ._compare import Workload, compare, render_comparison
from ._demo import run_demo
from ._experiments import EXPERIMENTS
from ._fault_run import run_faults
from ._sweep_page import Sweep, plot_sweeps, read_sweep, render_sweeps, replace_tables


def _exit_on_signal(number: int, _frame: object) -> None:
    """Exit through an exception on SIGTERM, so that all started processes are ended."""
    sys.exit(128 + number)


@click.group()
def main() -> None:
    """Run the demo, loads and experiments."""
    signal.signal(signal.SIGTERM, _exit_on_signal)


@main.command("compare")
@click.option("--deployment", default="vereniging", help="Folder in deployments/.")
@click.option("--seeds", default="1", help="Seeds, separated by commas.")
@click.option("--steps", default=6, help="Steps of each trainer.")
@click.option("--train-s", type=float, default=None, help="Time of training.")
@click.option("--slow-factor", default=1.0, help="Slowness of one engine.")
@click.option("--call-factor", default=1.0, help="Factor on the rate of calls.")
@click.option("--output", type=click.Choice(["table", "json"]), default="table")
def _compare(
    deployment: str,
    seeds: str,
    steps: int,
    train_s: float | None,
    slow_factor: float,
    call_factor: float,
    output: str,
) -> None:
    """Run both policies on the same seeded workload and compare the measures."""
    work = Workload(steps, train_s, slow_factor, call_factor)
    measures = compare(deployment, [int(seed) for seed in seeds.split(",")], work)
    if output == "json":
        click.echo(json.dumps([attrs.asdict(item) for item in measures], indent=2))
    else:
        click.echo(render_comparison(measures))


@main.command("experiment")
@click.argument("name", type=click.Choice(sorted(EXPERIMENTS)))
def _experiment(name: str) -> None:
    """Run one experiment and print its figures."""
    for what, figure in EXPERIMENTS[name]():
        click.echo(f"{what:44} {figure:10.4f}")


@main.command("sweep-page")
@click.argument("entries", nargs=-1, required=True)
@click.option("--page", default="docs/CAPACITY.md", help="Page to renew.")
@click.option("--plot", default="docs/capacity/sweeps.svg", help="Plot to write.")
@click.option("--target", default=670, help="Machines to carry the growth on to.")
def _sweep_page(entries: tuple[str, ...], page: str, plot: str, target: int) -> None:
    """Update the tables of docs/CAPACITY.md from journal entries of sweeps."""
    read = [read_sweep(Path(entry)) for entry in entries]
    for refusal in (item for item in read if isinstance(item, Refusal)):
        raise click.ClickException(refusal.reason)
    sweeps = [item for item in read if isinstance(item, Sweep)]
    path = Path(page)
    text = path.read_text(encoding="utf-8")
    tables = render_sweeps(sweeps, target)
    path.write_text(replace_tables(text, tables), encoding="utf-8")
    Path(plot).write_text(plot_sweeps(sweeps), encoding="utf-8")


@main.command("faults")
@click.option("--deployment", default="vereniging", help="Folder in deployments/.")
@click.option("--seeds", default="1", help="Seeds, separated by commas.")
@click.option("--duration-s", default=60.0, help="Time in which faults begin.")
@click.option("--gap-s", default=2.0, help="Mean time between two faults.")
@click.option("--folder", default=None, help="Keep settings, logs and traces here.")
def _faults(
    deployment: str,
    seeds: str,
    duration_s: float,
    gap_s: float,
    folder: str | None,
) -> None:
    """Run under seeded faults and check every guarantee against the records."""
    failed_seeds = 0
    for seed in map(int, seeds.split(",")):
        result = run_faults(deployment, seed, duration_s, gap_s, folder)
        counts = ", ".join(f"{kind} {times}" for kind, times in result.faults.items())
        click.echo(
            f"seed {seed}: {result.samples} samples, {result.calls} calls; "
            f"{counts}; {len(result.violations)} violations"
        )
        for violation in result.violations[:40]:
            click.echo(f"  {violation}")
        failed_seeds += bool(result.violations)
    sys.exit(1 if failed_seeds else 0)


@main.command("demo")
@click.option("--deployment", default="vereniging", help="Folder in deployments/.")
@click.option("--steps", default=4, help="Steps of each trainer.")
@click.option("--seed", default=1, help="Seed of the work.")
@click.option("--folder", default=None, help="Keep settings, logs and traces here.")
def _demo(deployment: str, steps: int, seed: int, folder: str | None) -> None:
    """Run a complete deployment on this machine and print the report."""
    try:
        sys.exit(run_demo(deployment, steps, seed, folder))
    except SettingsError as error:
        raise click.ClickException(str(error)) from error
    except KeyboardInterrupt:
        click.echo("stopped", err=True)
        sys.exit(130)
