"""The demo: a whole deployment on one machine, ending with the report."""

from __future__ import annotations

import tempfile
import threading
from pathlib import Path
from typing import Final

import click

from ..config import ServiceConfig, check_document
from ..messages import structure
from ..report import Report, render_text
from ._cluster import Cluster, start_cluster
from ._deployment import Deployment, load_deployment
from ._lookups import SimulatedCaller
from ._trainers import SimulatedTrainer

_CALL_BUDGET_S: Final = 5.0
_LONGEST_S: Final = 600.0
_LEDGER_PAUSE_S: Final = 6.0


def run_demo(name: str, steps: int, seed: int, folder: str | None) -> int:
    """Run a deployment's main job; return the exit code."""
    deployment, text = load_deployment(name)
    config, faults = check_document(text)
    if config is None:
        raise click.ClickException("; ".join(map(str, faults)))
    with tempfile.TemporaryDirectory(prefix="pistachioglade-") as temporary:
        run_folder = Path(folder) if folder else Path(temporary)
        run_folder.mkdir(parents=True, exist_ok=True)
        _say(f"starting {name}: {_size(deployment)}")
        with start_cluster(run_folder, deployment) as cluster:
            generation = cluster.apply(text)
            _say(f"configuration in force everywhere, generation {generation}")
            return _run_work(cluster, config, steps, seed)


def _size(deployment: Deployment) -> str:
    parts = [f"{item.instances} x {item.name}" for item in deployment.upstreams]
    return ", ".join([f"{deployment.entries} entries", *parts])


def _say(text: str) -> None:
    click.echo(text, err=True)


def _run_work(cluster: Cluster, config: ServiceConfig, steps: int, seed: int) -> int:
    trainers = make_trainers(cluster, config, seed)
    callers = make_callers(cluster, seed)
    threads = [
        threading.Thread(target=caller.run, args=(_LONGEST_S,), daemon=True)
        for caller in callers
    ]
    workers = [
        threading.Thread(target=trainer.run, args=(steps,), daemon=True)
        for trainer in trainers
    ]
    for thread in (*threads, *workers):
        thread.start()
    _say(f"running {steps} steps of {len(trainers)} trainers, with live lookups")
    for worker in workers:
        worker.join()
    for caller in callers:
        caller.stopped.set()
    for thread in threads:
        thread.join()
    threading.Event().wait(_LEDGER_PAUSE_S)
    report = structure(cluster.admin("GET", "report"), Report)
    click.echo(render_text(report))
    failures = [item for trainer in trainers for item in trainer.log.failures]
    for failure in failures:
        _say(f"failed: {failure}")
    return 1 if failures else 0


def make_trainers(
    cluster: Cluster, config: ServiceConfig, seed: int
) -> list[SimulatedTrainer]:
    """Return the deployment's trainers."""
    declared = {trainer.name: trainer for trainer in config.trainers}
    return [
        SimulatedTrainer(
            plan,
            declared[plan.name],
            cluster.entry_urls(),
            cluster.urls["weight-store"],
            cluster.deployment.weights_bytes,
            seed,
        )
        for plan in cluster.deployment.trainers
    ]


def make_callers(cluster: Cluster, seed: int) -> list[SimulatedCaller]:
    """Return the deployment's callers."""
    return [
        SimulatedCaller(plan, cluster.entry_urls(), _CALL_BUDGET_S, seed)
        for plan in cluster.deployment.callers
    ]
