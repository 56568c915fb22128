"""The demo: runs a complete deployment on one machine and prints the report."""

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
_MAX_RUN_S: Final = 600.0
_LEDGER_WRITE_WAIT_S: Final = 6.0


def run_demo(name: str, steps: int, seed: int, folder: str | None) -> int:
    """Run the trainers and callers of a deployment; return the exit code."""
    deployment, text = load_deployment(name)
    config, faults = check_document(text)
    if config is None:
        raise click.ClickException("; ".join(map(str, faults)))
    with tempfile.TemporaryDirectory(prefix="pistachioglade-") as temporary:
        run_folder = Path(folder) if folder else Path(temporary)
        run_folder.mkdir(parents=True, exist_ok=True)
        _print_progress(f"starting {name}: {_describe_size(deployment)}")
        with start_cluster(run_folder, deployment) as cluster:
            generation = cluster.apply(text)
            _print_progress(
                f"configuration in force everywhere, generation {generation}"
            )
            return _run_workload(cluster, config, steps, seed)


def _describe_size(deployment: Deployment) -> str:
    parts = [f"{item.instances} x {item.name}" for item in deployment.upstreams]
    return ", ".join([f"{deployment.entries} entries", *parts])


def _print_progress(text: str) -> None:
    click.echo(text, err=True)


def _run_workload(
    cluster: Cluster, config: ServiceConfig, steps: int, seed: int
) -> int:
    trainers = make_trainers(cluster, config, seed)
    callers = make_callers(cluster, seed)
    caller_threads = [
        threading.Thread(target=caller.run, args=(_MAX_RUN_S,), daemon=True)
        for caller in callers
    ]
    trainer_threads = [
        threading.Thread(target=trainer.run, args=(steps,), daemon=True)
        for trainer in trainers
    ]
    for thread in (*caller_threads, *trainer_threads):
        thread.start()
    _print_progress(
        f"running {steps} steps of {len(trainers)} trainers, with live lookups"
    )
    for trainer_thread in trainer_threads:
        trainer_thread.join()
    for caller in callers:
        caller.stopped.set()
    for thread in caller_threads:
        thread.join()
    threading.Event().wait(_LEDGER_WRITE_WAIT_S)
    report = structure(cluster.admin("GET", "report"), Report)
    click.echo(render_text(report))
    failures = [item for trainer in trainers for item in trainer.log.failures]
    for failure in failures:
        _print_progress(f"failed: {failure}")
    return 1 if failures else 0


def make_trainers(
    cluster: Cluster, config: ServiceConfig, seed: int
) -> list[SimulatedTrainer]:
    """Return a simulated trainer for each trainer of the deployment."""
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
    """Return a simulated caller for each caller of the deployment."""
    return [
        SimulatedCaller(plan, cluster.entry_urls(), _CALL_BUDGET_S, seed)
        for plan in cluster.deployment.callers
    ]
