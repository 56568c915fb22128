"""The load tool's program."""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path

import attrs
import click

from ..config import SettingsError
from ._capacity import measure_capacity
from ._capacity_page import renew_page
from ._compare import Workload, compare, render_comparison
from ._demo import run_demo
from ._experiments import EXPERIMENTS
from ._fault_run import run_faults


def _end(number: int, _frame: object) -> None:
    """Unwind on SIGTERM as on Ctrl-C, so that no started process is left."""
    sys.exit(128 + number)


@click.group()
def main() -> None:
    """Run the demo, loads and experiments."""
    signal.signal(signal.SIGTERM, _end)


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
    """Run both policies on the same seeded work and compare the measures."""
    work = Workload(steps, train_s, slow_factor, call_factor)
    measures = compare(deployment, [int(seed) for seed in seeds.split(",")], work)
    if output == "json":
        click.echo(json.dumps([attrs.asdict(item) for item in measures], indent=2))
    else:
        click.echo(render_comparison(measures))


@main.command("experiment")
@click.argument("name", type=click.Choice(sorted(EXPERIMENTS)))
def _experiment(name: str) -> None:
    """Measure the answer to one question."""
    for what, figure in EXPERIMENTS[name]():
        click.echo(f"{what:44} {figure:10.4f}")


@main.command("capacity")
@click.option("--nodes", default="8,16,32,64", help="Sizes of the fleet.")
@click.option("--samples", default="1024,2048,4096,8192", help="Sizes of a step.")
@click.option("--trainers", default="2,7,14", help="Sizes of the declarative file.")
@click.option("--output", default="", help="File for the readings, as JSON.")
def _capacity(nodes: str, samples: str, trainers: str, output: str) -> None:
    """Measure what control costs at several sizes."""
    sizes = [
        [int(item) for item in text.split(",")] for text in (nodes, samples, trainers)
    ]
    readings = measure_capacity(*sizes)
    text = json.dumps([attrs.asdict(item) for item in readings], indent=1)
    if output:
        Path(output).write_text(text + "\n", encoding="utf-8")
    click.echo(text)


@main.command("capacity-page")
@click.argument("readings")
@click.argument("page")
def _capacity_page(readings: str, page: str) -> None:
    """Recompute the tables of docs/CAPACITY.md from readings."""
    path = Path(page)
    text = path.read_text(encoding="utf-8")
    fields = json.loads(Path(readings).read_text(encoding="utf-8"))
    path.write_text(renew_page(text, fields), encoding="utf-8")


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
    """Run under seeded faults and check every promise against the records."""
    broken = 0
    for seed in map(int, seeds.split(",")):
        result = run_faults(deployment, seed, duration_s, gap_s, folder)
        counts = ", ".join(f"{kind} {times}" for kind, times in result.faults.items())
        click.echo(
            f"seed {seed}: {result.samples} samples, {result.calls} calls; "
            f"{counts}; {len(result.violations)} violations"
        )
        for violation in result.violations[:40]:
            click.echo(f"  {violation}")
        broken += bool(result.violations)
    sys.exit(1 if broken else 0)


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
