"""Experiments with real processes, each on one property of the service.

Each experiment returns table rows of a name, which contains the unit, and a figure.
"""

from __future__ import annotations

import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from itertools import chain
from pathlib import Path
from statistics import median
from typing import Any, Final

import attrs
import yaml

from ..backing import HttpReply
from ..config import ServiceConfig, UpstreamKind, check_document
from ._cluster import Cluster, ClusterError, start_cluster, token_of
from ._compare import percentile_s
from ._demo import make_trainers
from ._deployment import CallerPlan, Deployment, load_deployment
from ._lookups import CallRecord, SimulatedCaller
from ._relays import RelayState
from ._trainers import SimulatedTrainer

_PHASE_S: Final = 20.0
_UNLIMITED_STEPS: Final = 10_000
_BUDGET_S: Final = 5.0

Row = tuple[str, float]


@contextmanager
def _start_deployment(
    deployment: Deployment, text: str
) -> Iterator[tuple[Cluster, ServiceConfig]]:
    """Start a cluster with a declarative file; yield the cluster and its config."""
    config, faults = check_document(text)
    if config is None:
        raise ClusterError("; ".join(map(str, faults)))
    with (
        tempfile.TemporaryDirectory(prefix="pistachioglade-") as folder,
        start_cluster(Path(folder), deployment, trace_file="") as cluster,
    ):
        cluster.apply(text)
        yield cluster, config


def _start_trainers(
    cluster: Cluster, config: ServiceConfig, steps: int = _UNLIMITED_STEPS
) -> list[SimulatedTrainer]:
    trainers = make_trainers(cluster, config, 1)
    for trainer in trainers:
        threading.Thread(target=trainer.run, args=(steps,), daemon=True).start()
    return trainers


def _saturate(deployment: Deployment) -> Deployment:
    """Return the deployment with trainers that saturate the engines."""
    trainers = tuple(
        attrs.evolve(plan, groups=plan.groups * 6, train_s=0.0)
        for plan in deployment.trainers
    )
    return attrs.evolve(deployment, trainers=trainers)


def _measure_lookups(
    cluster: Cluster, name: str, plan: CallerPlan
) -> tuple[list[Row], list[CallRecord]]:
    caller = SimulatedCaller(plan, cluster.entry_urls(), _BUDGET_S, seed=1)
    caller.run(_PHASE_S)
    answered = [item.duration_s for item in caller.records if item.status == 200]
    answered_fraction = len(answered) / max(1, len(caller.records))
    rows = [
        (f"{name}: answered_part", answered_fraction),
        (f"{name}: p50_s", percentile_s(answered, 50)),
        (f"{name}: p99_s", percentile_s(answered, 99)),
    ]
    return rows, caller.records


def lookups() -> list[Row]:
    """Measure lookups on engines: idle, saturated, and with failed components."""
    deployment, text = load_deployment("vereniging")
    plan = CallerPlan("lawyers", "jurist-lm", "completion", False, 8.0)
    rows: list[Row] = []
    with _start_deployment(_saturate(deployment), text) as (cluster, config):
        phases: list[tuple[str, Callable[[], Any]]] = [
            ("idle", lambda: None),
            ("saturated", lambda: _start_trainers(cluster, config)),
            ("one engine killed", lambda: cluster.kill("jurist-lm-0")),
            ("and one agent frozen", lambda: cluster.freeze("agent-jurist-lm-1")),
            ("thawed, one domain cut", lambda: _cut_domain(cluster)),
        ]
        for name, begin in phases:
            begin()
            time.sleep(4.0 if name == "saturated" else 0.0)
            rows += _measure_lookups(cluster, name, plan)[0]
    return rows


def _cut_domain(cluster: Cluster) -> None:
    cluster.thaw("agent-jurist-lm-1")
    domain = cluster.deployment.domains[2]
    for node in cluster.upstream_of:
        path = cluster.folder / f"{node}.yaml"
        settings = yaml.safe_load(path.read_text(encoding="utf-8"))
        if settings["common"]["domain"] == domain:
            cluster.relays.set_state(node, RelayState.CUT)


def shares() -> list[Row]:
    """Measure the token shares of trainers over one minute of saturation."""
    deployment, text = load_deployment("vereniging")
    with _start_deployment(_saturate(deployment), text) as (cluster, config):
        _start_trainers(cluster, config)
        time.sleep(10.0)
        since_unix_s = time.time()
        time.sleep(70.0)
        runs = list(chain.from_iterable(cluster.runs("jurist-lm").values()))
    tokens: Counter[str] = Counter()
    for run in runs:
        if since_unix_s <= run["unix_s"] < since_unix_s + 60.0:
            tokens[run["request_id"].partition("/")[0]] += run["tokens"]
    total = sum(tokens.values())
    return [
        (f"{trainer.name}: {kind}_percent", figure)
        for trainer in config.trainers
        for kind, figure in (
            ("promised", float(trainer.share_percent)),
            ("received", 100.0 * tokens[trainer.name] / total),
        )
    ]


def _run_offered_load(
    cluster: Cluster, rate_per_s: float, duration_s: float
) -> list[CallRecord]:
    plan = CallerPlan("lawyers", "archief-app", "lookup", False, rate_per_s)
    caller = SimulatedCaller(plan, cluster.entry_urls(), 1.0, seed=1, threads=160)
    caller.run(duration_s)
    return caller.records


def overload() -> list[Row]:
    """Measure the goodput of a plain service below, at and beyond its capacity."""
    deployment, text = load_deployment("vereniging")
    slow = attrs.evolve(deployment, service_work_s=0.2)
    slots = sum(
        plan.instances * plan.slots
        for plan in slow.upstreams
        if plan.kind is UpstreamKind.SERVICE
    )
    capacity_per_s = slots / slow.service_work_s
    rows: list[Row] = [("capacity_per_s", capacity_per_s)]
    with _start_deployment(slow, text) as (cluster, _config):
        for factor in (0.5, 0.9, 1.0, 1.5, 2.0):
            records = _run_offered_load(cluster, factor * capacity_per_s, 12.0)
            good = [item for item in records if item.status == 200]
            refused = [item.duration_s for item in records if item.status >= 500]
            with_retry_after = [
                item for item in records if item.retry_after_s is not None
            ]
            rows += [
                (f"offered {factor}: goodput_per_s", len(good) / 12.0),
                (f"offered {factor}: refused_part", len(refused) / len(records)),
                (f"offered {factor}: refusal_p50_s", percentile_s(refused, 50)),
                (f"offered {factor}: refusal_p99_s", percentile_s(refused, 99)),
                (
                    f"offered {factor}: says_when_part",
                    len(with_retry_after) / max(1, len(refused)),
                ),
            ]
    return rows


def _median_call_s(call: Callable[[], Any]) -> float:
    spent = []
    for _attempt in range(400):
        started_s = time.perf_counter()
        reply = call()
        spent.append(time.perf_counter() - started_s)
        assert isinstance(reply, HttpReply)
        assert reply.status == 200
    return median(spent[50:])


def overhead() -> list[Row]:
    """Measure the latency that the service adds to a direct call of the upstream."""
    deployment, text = load_deployment("vereniging")
    quick = attrs.evolve(deployment, service_work_s=0.0)
    with _start_deployment(quick, text) as (cluster, _config):
        direct_s = _median_call_s(
            lambda: cluster.request(
                "archief-app-0", "POST", "/operations/lookup", {"id": "x"}
            )
        )
        through_s = _median_call_s(
            lambda: cluster.request(
                "entry-0",
                "POST",
                "/v1/calls/archief-app/lookup",
                {"id": "x"},
                token_of("lawyers"),
            )
        )
    return [
        ("straight: p50_s", direct_s),
        ("through: p50_s", through_s),
        ("added: p50_s", through_s - direct_s),
    ]


def weights() -> list[Row]:
    """Measure the distribution of new weights to all engines, by number of engines."""
    return list(chain.from_iterable(map(_measure_weights, (4, 8, 16))))


def _measure_weights(engines: int) -> Iterable[Row]:
    deployment, text = load_deployment("vereniging")
    upstreams = tuple(
        attrs.evolve(plan, instances=engines)
        for plan in deployment.upstreams
        if plan.kind is UpstreamKind.ENGINE
    )
    size_bytes = 4_000_000
    changed = attrs.evolve(deployment, upstreams=upstreams, weights_bytes=size_bytes)
    with _start_deployment(changed, text) as (cluster, config):
        trainer = make_trainers(cluster, config, 1)[0]
        started_s = time.monotonic()
        trainer.publish(1)
        cluster.wait("all engines", lambda: _have_version(cluster, "summaries", 1))
        spent_s = time.monotonic() - started_s
        reply: Any = cluster.request("weight-store", "GET", "/control/sent")
        sent = reply.json()["sent_bytes"] / size_bytes
    one_by_one_s = engines * size_bytes / deployment.store_bytes_per_s
    return [
        (f"{engines} engines: all_hold_s", spent_s),
        (f"{engines} engines: one_by_one_s", one_by_one_s),
        (f"{engines} engines: store_reads", sent),
    ]


def _have_version(cluster: Cluster, model: str, version: int) -> bool:
    nodes = cluster.admin("GET", "status")["nodes"]
    held: Sequence[dict[str, int]] = [
        versions
        for node in nodes
        if node["status"]
        for versions in node["status"]["versions"].values()
    ]
    return bool(held) and all(item.get(model) == version for item in held)


EXPERIMENTS: Final[dict[str, Callable[[], list[Row]]]] = {
    "lookups": lookups,
    "shares": shares,
    "overload": overload,
    "overhead": overhead,
    "weights": weights,
}
