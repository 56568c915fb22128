"""Runs the same seeded work under several policies and compares the measures."""

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
_ON_TIME_S: Final = 0.25
_LONGEST_S: Final = 600.0
_WARM_STEPS: Final = 1


@attrs.frozen
class Workload:
    """Changes of a deployment's own workload."""

    # Steps of each trainer.
    steps: int = 6
    # Time that training on a step takes; None for the deployment's.
    train_s: float | None = None
    # Factor on the time of one engine's ticks; 1 for none slow.
    slow_factor: float = 1.0
    # Factor on the rate of calls.
    call_factor: float = 1.0


@attrs.frozen
class Measures:
    """What the users measure, for one policy and seed."""

    # Name of the policy.
    policy: str
    # Seed of the work.
    seed: int
    # Time that trainers waited for samples, in the mean.
    idle_s: float
    # The same as a part of the run.
    idle_part: float
    # Time from opening to the last sample, median over steps.
    step_p50_s: float
    # Time from opening to the last sample, most over steps.
    step_max_s: float
    # Time from 90% of a step's samples to the last, in the mean.
    tail_s: float
    # Staleness at receipt in versions, in the mean.
    staleness_mean: float
    # Staleness that 95 of 100 samples stay within.
    staleness_p95: int
    # Most staleness.
    staleness_max: int
    # Tokens of each trainer, as a part of all.
    token_parts: dict[str, float]
    # Calls answered in time, as a part of all.
    on_time_part: float
    # Answer time of calls to engines, median.
    engine_p50_s: float
    # Answer time that 99 of 100 calls to engines stay within.
    engine_p99_s: float
    # Answer time of calls to plain services, median.
    service_p50_s: float
    # Answer time that 99 of 100 calls to plain services stay within.
    service_p99_s: float
    # Refusals by kind.
    refusals: dict[str, int]
    # Prompts that engines had cached, as a part of all.
    cache_hit_part: float
    # Tokens made by engines and not delivered, as a part of all.
    wasted_part: float
    # Samples that came twice or not at all, and other broken promises.
    violations: int
    # Processor time of entries and agents, as a part of one core.
    system_cores: float
    # Memory of entries and agents, for each process.
    memory_mb: float


def percentile_s(durations: Iterable[float], percent: float) -> float:
    """Return a percentile of durations; not a number without any."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for duration_s in durations:
        histogram.record_value(max(1, int(duration_s * 1e6)))
    if not histogram.get_total_count():
        return float("nan")
    return float(histogram.get_value_at_percentile(percent)) / 1e6


class _PolicyRun:
    """One policy on one cluster."""

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
        self._run_work()
        after = total_cost(self._pids)
        run_s = time.monotonic() - started_s
        records = list(chain.from_iterable(item.records for item in self._callers))
        return Measures(
            policy=policy,
            seed=self._seed,
            **self._trainer_measures(),
            **self._call_measures(records),
            **self._engine_measures(),
            violations=len(self._violations(records)),
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

    def _run_work(self) -> None:
        callers = [
            threading.Thread(target=item.run, args=(_LONGEST_S,), daemon=True)
            for item in self._callers
        ]
        workers = [
            threading.Thread(target=item.run, args=(self._work.steps,), daemon=True)
            for item in self._trainers
        ]
        for thread in (*callers, *workers):
            thread.start()
        for worker in workers:
            worker.join(_LONGEST_S)
        for caller in self._callers:
            caller.stopped.set()
        for thread in callers:
            thread.join()

    def _trainer_measures(self) -> dict[str, Any]:
        logs = [trainer.log for trainer in self._trainers]
        staleness = sorted(chain.from_iterable(log.staleness for log in logs))
        steps = list(chain.from_iterable(log.step_s[_WARM_STEPS:] for log in logs))
        tails = list(chain.from_iterable(log.tail_s[_WARM_STEPS:] for log in logs))
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
            "token_parts": {name: made / total for name, made in tokens.items()},
        }

    def _call_measures(self, records: Sequence[CallRecord]) -> dict[str, Any]:
        durations: dict[bool, list[float]] = defaultdict(list)
        for record in records:
            if record.status == 200:
                durations[record.operation == "completion"].append(record.duration_s)
        on_time = sum(
            record.status == 200 and record.duration_s <= _on_time_s(record)
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

    def _engine_measures(self) -> dict[str, Any]:
        hits = misses = made = 0
        for engine in self._engines():
            reply = self._cluster.request(engine, "GET", "/record")
            if isinstance(reply, HttpReply):
                fields = reply.json()
                hits += fields["cache_hits"]
                misses += fields["cache_misses"]
                made += sum(
                    run["tokens"] for run in fields["runs"] if "/" in run["request_id"]
                )
        delivered = sum(
            sample.token_count
            for trainer in self._trainers
            for _step, sample, _newest in trainer.log.taken
        )
        return {
            "cache_hit_part": hits / max(1, hits + misses),
            "wasted_part": max(0, made - delivered) / max(1, made),
        }

    def _violations(self, records: Sequence[CallRecord]) -> list[str]:
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


def _on_time_s(record: CallRecord) -> float:
    return 4 * _ON_TIME_S if record.operation == "completion" else _ON_TIME_S


def _changed(deployment: Deployment, work: Workload) -> Deployment:
    """Return a deployment with the workload's changes."""
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
    """Run one policy on a fresh cluster."""
    deployment, text = load_deployment(name)
    text = text.replace("name: fair", f"name: {policy}")
    config, faults = check_document(text)
    if config is None:
        raise click.ClickException("; ".join(map(str, faults)))
    with tempfile.TemporaryDirectory(prefix="pistachioglade-") as folder:
        changed = _changed(deployment, work)
        with start_cluster(Path(folder), changed, trace_file="") as cluster:
            cluster.apply(text)
            return _PolicyRun(cluster, config, seed, work).run(policy)


def compare(name: str, seeds: Sequence[int], work: Workload) -> list[Measures]:
    """Run both policies on every seed."""
    return [
        run_policy(name, policy, seed, work) for seed in seeds for policy in POLICIES
    ]


def render_comparison(measures: Sequence[Measures]) -> str:
    """Return a table of medians over the seeds, with the ratio of the policies."""
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
