"""Runs the same seeded workload under several policies and compares the measures."""

from __future__ import annotations

import tempfile
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from itertools import chain
from pathlib import Path
from statistics import fmean, median
from typing import Any, Final

import attrs
import click
from hdrh.histogram import HdrHistogram

from ..backing import HttpReply
from ..config import ServiceConfig, UpstreamKind, check_document
from ._checks import (
    TrainerOutcome,
    check_at_most_once,
    check_exactly_once,
    check_not_run,
    check_staleness,
)
from ._cluster import Cluster, start_cluster
from ._costs import total_cost
from ._demo import make_callers, make_trainers
from ._deployment import Deployment, load_deployment
from ._lookups import CallRecord
from ._trainers import SimulatedTrainer

POLICIES: Final = ("baseline", "fair")
_CALL_LIMIT_S: Final = 0.25
_MAX_RUN_S: Final = 600.0
_WARM_UP_STEPS: Final = 1


@attrs.frozen
class Workload:
    """Changes to the workload of a deployment."""

    # Number of steps of each trainer.
    steps: int = 6
    # Duration of training on one step in seconds; None for the deployment's value.
    train_s: float | None = None
    # Factor on the tick duration of one engine; 1 for no slow engine.
    slow_factor: float = 1.0
    # Factor on the rate of calls.
    call_factor: float = 1.0


@attrs.frozen
class Measures:
    """Figures of merit for users, for one policy and seed."""

    # Name of the policy.
    policy: str
    # Seed of the workload.
    seed: int
    # Mean time that trainers waited for samples, in seconds.
    idle_s: float
    # Mean fraction of the run that trainers waited for samples.
    idle_part: float
    # Median over steps of the time from opening to the last sample, in seconds.
    step_p50_s: float
    # Maximum over steps of the time from opening to the last sample, in seconds.
    step_max_s: float
    # Mean time from 90% of a step's samples to the last sample, in seconds.
    tail_s: float
    # Mean staleness at receipt, in versions.
    staleness_mean: float
    # 95th percentile of staleness at receipt, in versions.
    staleness_p95: int
    # Maximum staleness at receipt, in versions.
    staleness_max: int
    # Fraction of all delivered tokens, by trainer.
    token_parts: dict[str, float]
    # Fraction of calls that were answered in time.
    on_time_part: float
    # Median answer time of calls to engines, in seconds.
    engine_p50_s: float
    # 99th percentile of answer times of calls to engines, in seconds.
    engine_p99_s: float
    # Median answer time of calls to plain services, in seconds.
    service_p50_s: float
    # 99th percentile of answer times of calls to plain services, in seconds.
    service_p99_s: float
    # Number of refusals by error kind.
    refusals: dict[str, int]
    # Fraction of prompts that engines had cached.
    cache_hit_part: float
    # Fraction of tokens that engines generated and no trainer took.
    wasted_part: float
    # Number of violated guarantees, such as missing or duplicate samples.
    violations: int
    # Processor time of entries and agents, in cores.
    system_cores: float
    # Mean memory of an entry or agent, in megabytes.
    memory_mb: float


def percentile_s(durations: Iterable[float], percent: float) -> float:
    """Return a percentile of durations in seconds; NaN without durations."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for duration_s in durations:
        histogram.record_value(max(1, int(duration_s * 1e6)))
    if not histogram.get_total_count():
        return float("nan")
    return float(histogram.get_value_at_percentile(percent)) / 1e6


class _PolicyRun:
    """Runs the workload under one policy on one cluster, and measures the run."""

    def __init__(
        self, cluster: Cluster, config: ServiceConfig, seed: int, work: Workload
    ) -> None:
        self._cluster = cluster
        self._config = config
        self._seed = seed
        self._work = work
        self._trainers = make_trainers(cluster, config, seed)
        self._callers = make_callers(cluster, seed)
        nodes = (*cluster.names("entry-"), *cluster.upstream_of)
        self._pids = [cluster.pid(name) for name in nodes]

    def run(self, policy: str) -> Measures:
        if self._work.slow_factor != 1.0:
            self._slow_one_engine()
        started_s = time.monotonic()
        before = total_cost(self._pids)
        self._run_workload()
        after = total_cost(self._pids)
        run_s = time.monotonic() - started_s
        records = list(chain.from_iterable(item.records for item in self._callers))
        return Measures(
            policy=policy,
            seed=self._seed,
            **self._measure_trainers(),
            **self._measure_calls(records),
            **self._measure_engines(),
            violations=len(self._find_violations(records)),
            system_cores=(after.cpu_s - before.cpu_s) / run_s,
            memory_mb=after.memory_mb / len(self._pids),
        )

    def _slow_one_engine(self) -> None:
        engine = self._engines()[0]
        fields = {"slow_factor": self._work.slow_factor}
        self._cluster.request(engine, "POST", "/control/faults", fields)

    def _engines(self) -> list[str]:
        return [
            agent.removeprefix("agent-")
            for upstream in self._config.upstreams
            if upstream.kind is UpstreamKind.ENGINE
            for agent in self._cluster.agents_of(upstream.name)
        ]

    def _run_workload(self) -> None:
        callers = [
            threading.Thread(target=item.run, args=(_MAX_RUN_S,), daemon=True)
            for item in self._callers
        ]
        trainer_threads = [
            threading.Thread(target=item.run, args=(self._work.steps,), daemon=True)
            for item in self._trainers
        ]
        for thread in (*callers, *trainer_threads):
            thread.start()
        for trainer_thread in trainer_threads:
            trainer_thread.join(_MAX_RUN_S)
        for caller in self._callers:
            caller.stopped.set()
        for thread in callers:
            thread.join()

    def _measure_trainers(self) -> dict[str, Any]:
        logs = [trainer.log for trainer in self._trainers]
        staleness = sorted(chain.from_iterable(log.staleness for log in logs))
        steps = list(chain.from_iterable(log.step_s[_WARM_UP_STEPS:] for log in logs))
        tails = list(chain.from_iterable(log.tail_s[_WARM_UP_STEPS:] for log in logs))
        tokens = {
            trainer.name: sum(item.token_count for _s, item, _n in trainer.log.taken)
            for trainer in self._trainers
        }
        total = max(1, sum(tokens.values()))
        return {
            "idle_s": fmean(log.idle_s for log in logs),
            "idle_part": fmean(log.idle_s / max(0.001, log.run_s) for log in logs),
            "step_p50_s": median(steps),
            "step_max_s": max(steps),
            "tail_s": fmean(tails),
            "staleness_mean": fmean(staleness),
            "staleness_p95": staleness[int(0.95 * (len(staleness) - 1))],
            "staleness_max": staleness[-1],
            "token_parts": {name: count / total for name, count in tokens.items()},
        }

    def _measure_calls(self, records: Sequence[CallRecord]) -> dict[str, Any]:
        durations: dict[bool, list[float]] = defaultdict(list)
        for record in records:
            if record.status == 200:
                durations[record.operation == "completion"].append(record.duration_s)
        on_time = sum(
            record.status == 200 and record.duration_s <= _call_limit_s(record)
            for record in records
        )
        refusals = Counter(record.error for record in records if record.error)
        return {
            "on_time_part": on_time / max(1, len(records)),
            "engine_p50_s": percentile_s(durations[True], 50),
            "engine_p99_s": percentile_s(durations[True], 99),
            "service_p50_s": percentile_s(durations[False], 50),
            "service_p99_s": percentile_s(durations[False], 99),
            "refusals": dict(refusals),
        }

    def _measure_engines(self) -> dict[str, Any]:
        hits = misses = generated = 0
        for engine in self._engines():
            reply = self._cluster.request(engine, "GET", "/record")
            if isinstance(reply, HttpReply):
                fields = reply.json()
                hits += fields["cache_hits"]
                misses += fields["cache_misses"]
                generated += sum(
                    run["tokens"] for run in fields["runs"] if "/" in run["request_id"]
                )
        delivered = sum(
            sample.token_count
            for trainer in self._trainers
            for _step, sample, _newest in trainer.log.taken
        )
        return {
            "cache_hit_part": hits / max(1, hits + misses),
            "wasted_part": max(0, generated - delivered) / max(1, generated),
        }

    def _find_violations(self, records: Sequence[CallRecord]) -> list[str]:
        services = [
            runs
            for upstream in self._config.upstreams
            if upstream.kind is UpstreamKind.SERVICE
            for runs in self._cluster.runs(upstream.name).values()
        ]
        once = [
            operation.name
            for upstream in self._config.upstreams
            for operation in upstream.operations
            if not operation.idempotent
        ]
        outcomes = [self._outcome(trainer) for trainer in self._trainers]
        found = chain(
            check_staleness(outcomes),
            check_exactly_once(outcomes),
            check_not_run(records, services),
            check_at_most_once(services, once),
        )
        return list(found)

    def _outcome(self, trainer: SimulatedTrainer) -> TrainerOutcome:
        declared = self._config.trainer(trainer.name)
        assert declared is not None
        plans = self._cluster.deployment.trainers
        samples = next(p.step_samples for p in plans if p.name == trainer.name)
        bound = declared.staleness_bound_versions
        return TrainerOutcome(trainer.name, bound, samples, trainer.log)


def _call_limit_s(record: CallRecord) -> float:
    return 4 * _CALL_LIMIT_S if record.operation == "completion" else _CALL_LIMIT_S


def _apply_workload(deployment: Deployment, work: Workload) -> Deployment:
    """Return the deployment with the changes of the workload."""
    trainers = tuple(
        plan if work.train_s is None else attrs.evolve(plan, train_s=work.train_s)
        for plan in deployment.trainers
    )
    callers = tuple(
        attrs.evolve(plan, rate_per_s=plan.rate_per_s * work.call_factor)
        for plan in deployment.callers
    )
    return attrs.evolve(deployment, trainers=trainers, callers=callers)


def run_policy(name: str, policy: str, seed: int, work: Workload) -> Measures:
    """Run one policy on a new cluster."""
    deployment, text = load_deployment(name)
    text = text.replace("name: fair", f"name: {policy}")
    config, faults = check_document(text)
    if config is None:
        raise click.ClickException("; ".join(map(str, faults)))
    with tempfile.TemporaryDirectory(prefix="pistachioglade-") as folder:
        changed = _apply_workload(deployment, work)
        with start_cluster(Path(folder), changed, trace_file="") as cluster:
            cluster.apply(text)
            return _PolicyRun(cluster, config, seed, work).run(policy)


def compare(name: str, seeds: Sequence[int], work: Workload) -> list[Measures]:
    """Run both policies on every seed."""
    return [
        run_policy(name, policy, seed, work) for seed in seeds for policy in POLICIES
    ]


def render_comparison(measures: Sequence[Measures]) -> str:
    """Return a table of medians over the seeds with the ratio of the policies.

    A line with tokens and refusals for each run follows the table.
    """
    fields = [
        field.name
        for field in attrs.fields(Measures)
        if field.name not in ("policy", "seed", "token_parts", "refusals")
    ]
    lines = [f"{'measure':18} {'baseline':>10} {'fair':>10} {'ratio':>7}"]
    for field in fields:
        values = [
            median(getattr(item, field) for item in measures if item.policy == policy)
            for policy in POLICIES
        ]
        ratio = values[1] / values[0] if values[0] else float("nan")
        lines.append(f"{field:18} {values[0]:10.4f} {values[1]:10.4f} {ratio:7.2f}")
    for item in measures:
        parts = ", ".join(f"{key} {part:.3f}" for key, part in item.token_parts.items())
        refused = ", ".join(f"{key} {times}" for key, times in item.refusals.items())
        lines.append(
            f"seed {item.seed} {item.policy}: tokens {parts}; refused {refused or '0'}"
        )
    return "\n".join(lines)
