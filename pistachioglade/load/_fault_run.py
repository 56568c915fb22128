"""Runs a deployment under seeded faults and checks the service's guarantees."""

from __future__ import annotations

import heapq
import itertools
import tempfile
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

import attrs
import click

from ..backing import HttpReply, ObjectApi
from ..config import ServiceConfig, UpstreamKind, check_document
from ..errors import Refusal
from ..report import StepRecord, unpack_step
from ._checks import (
    SeenGeneration,
    TrainerOutcome,
    check_at_most_once,
    check_exactly_once,
    check_generations,
    check_not_run,
    check_record,
    check_staleness,
    check_versions,
    check_whole_answers,
)
from ._cluster import OPERATOR_TOKEN, Cluster, ClusterError, start_cluster
from ._demo import make_callers, make_trainers
from ._deployment import load_deployment
from ._fault_plan import Fault, KillTrainer, Race, begin, end, make_schedule
from ._lookups import SimulatedCaller
from ._trainers import SimulatedTrainer

_POLL_S: Final = 0.25
_MAX_RUN_S: Final = 1000.0
_UNLIMITED_STEPS: Final = 100_000
_RECOVERY_BOUND_S: Final = 120.0


@attrs.frozen
class FaultResult:
    """Counts and violations of the run of one seed."""

    # Seed of the schedule.
    seed: int
    # Number of faults that began, by kind.
    faults: dict[str, int]
    # Number of samples that trainers took.
    samples: int
    # Number of calls that callers made.
    calls: int
    # Descriptions of violated guarantees.
    violations: tuple[str, ...]


class _Run:
    """Runs the workload and the faults of one seed on one cluster."""

    def __init__(self, cluster: Cluster, config: ServiceConfig, text: str, seed: int):
        self._cluster = cluster
        self._config = config
        self._text = text
        self._seed = seed
        self._trainers = make_trainers(cluster, config, seed)
        self._callers = make_callers(cluster, seed)
        self._seen_generations: list[SeenGeneration] = []
        self._race_violations: list[str] = []
        self._faulty_processes: set[str] = set()
        self._faults: dict[str, int] = {}

    def run(self, duration_s: float, gap_s: float) -> FaultResult:
        workers = [
            threading.Thread(target=trainer.run, args=(_UNLIMITED_STEPS,), daemon=True)
            for trainer in self._trainers
        ]
        callers = [
            threading.Thread(target=caller.run, args=(_MAX_RUN_S,), daemon=True)
            for caller in self._callers
        ]
        run_ended = threading.Event()
        watcher = threading.Thread(
            target=self._poll_generations, args=(run_ended,), daemon=True
        )
        for thread in (*workers, *callers, watcher):
            thread.start()
        self._run_schedule(duration_s, gap_s)
        for caller in self._callers:
            caller.stopped.set()
        for trainer in self._trainers:
            trainer.stopped.set()
        for thread in (*workers, *callers):
            thread.join(_RECOVERY_BOUND_S)
        run_ended.set()
        watcher.join()
        stuck = [thread.name for thread in (*workers, *callers) if thread.is_alive()]
        return self._result(stuck)

    def _run_schedule(self, duration_s: float, gap_s: float) -> None:
        """Begin and end the scheduled faults; return when all faults have ended."""
        started_s = time.monotonic()
        pending: list[tuple[float, int, Fault]] = []
        order = itertools.count()
        schedule = list(make_schedule(self._cluster, self._seed, duration_s, gap_s))
        while schedule or pending:
            now_s = time.monotonic() - started_s
            while pending and pending[0][0] <= now_s:
                self._end(heapq.heappop(pending)[2])
            while schedule and schedule[0].at_s <= now_s:
                fault = schedule.pop(0).fault
                if self._begin(fault):
                    item = (now_s + fault.for_s, next(order), fault)
                    heapq.heappush(pending, item)
            time.sleep(0.02)

    def _begin(self, fault: Fault) -> bool:
        """Begin a fault unless its process already has one.

        Return whether the fault has to be ended later.
        """
        name = getattr(fault, "name", "")
        if name in self._faulty_processes:
            return False
        kind = type(fault).__name__
        self._faults[kind] = self._faults.get(kind, 0) + 1
        if isinstance(fault, Race):
            threading.Thread(target=self._race, args=(fault,), daemon=True).start()
            return False
        if isinstance(fault, KillTrainer):
            self._trainers[fault.number].killed.set()
            return False
        self._faulty_processes.add(name)
        begin(fault, self._cluster)
        return True

    def _end(self, fault: Fault) -> None:
        end(fault, self._cluster)
        self._faulty_processes.discard(getattr(fault, "name", ""))

    def _race(self, fault: Race) -> None:
        """Apply two files at once through two entries; record a shared generation."""
        texts = [_vary_file(self._text, 2 * fault.number + side) for side in (0, 1)]
        entries = self._cluster.names("entry-")
        with ThreadPoolExecutor(2) as pool:
            replies = list(pool.map(self._apply, entries, texts))
        generations = [item for item in replies if item is not None]
        if len(generations) == 2 and generations[0] == generations[1]:
            self._race_violations.append(
                f"configuration: both won generation {generations[0]}"
            )

    def _apply(self, entry: str, text: str) -> int | None:
        reply = self._cluster.request(
            entry, "PUT", "/admin/v1/config", text, OPERATOR_TOKEN
        )
        if isinstance(reply, HttpReply) and reply.status == 200:
            return int(reply.json()["generation"])
        return None

    def _poll_generations(self, run_ended: threading.Event) -> None:
        """Record the generations of all nodes periodically until the run ends."""
        while not run_ended.wait(_POLL_S):
            for entry in self._cluster.names("entry-"):
                reply = self._cluster.request(
                    entry, "GET", "/admin/v1/status", None, OPERATOR_TOKEN, 3.0
                )
                if isinstance(reply, HttpReply) and reply.status == 200:
                    self._record_generations(reply.json())

    def _record_generations(self, fields: dict[str, Any]) -> None:
        at_s = time.monotonic()
        self._seen_generations += [
            SeenGeneration(at_s, f"{item['node']}", item["status"]["generation"])
            for item in fields["nodes"]
            if item["status"] and item["status"]["generation"]
        ]

    def _outcomes(self) -> list[TrainerOutcome]:
        plans = {plan.name: plan for plan in self._cluster.deployment.trainers}
        return [
            self._outcome(trainer, plans[trainer.name].step_samples)
            for trainer in self._trainers
        ]

    def _outcome(self, trainer: SimulatedTrainer, samples: int) -> TrainerOutcome:
        declared = self._config.trainer(trainer.name)
        assert declared is not None
        return TrainerOutcome(
            trainer.name, declared.staleness_bound_versions, samples, trainer.log
        )

    def _runs(self, kind: UpstreamKind) -> dict[str, list[Any]]:
        return {
            instance: runs
            for upstream in self._config.upstreams
            if upstream.kind is kind
            for instance, runs in self._cluster.runs(upstream.name).items()
        }

    def _violations(self, stuck: list[str]) -> Iterator[str]:
        outcomes = self._outcomes()
        records = [item for caller in self._callers for item in caller.records]
        services = list(self._runs(UpstreamKind.SERVICE).values())
        once = [
            operation.name
            for upstream in self._config.upstreams
            for operation in upstream.operations
            if not operation.idempotent
        ]
        yield from (f"stuck: {name}" for name in stuck)
        yield from check_versions(outcomes, self._runs(UpstreamKind.ENGINE))
        yield from check_staleness(outcomes)
        yield from check_exactly_once(outcomes)
        yield from check_whole_answers(records)
        yield from check_not_run(records, services)
        yield from check_at_most_once(services, once)
        yield from check_generations(self._seen_generations)
        yield from self._race_violations
        yield from self._check_convergence()
        yield from check_record(outcomes, self._read_ledger())

    def _check_convergence(self) -> Iterator[str]:
        """Yield a violation unless all running nodes reach the last generation."""
        last_generation = max(
            (item.generation for item in self._seen_generations), default=0
        )
        try:
            self._cluster.wait(
                "the last generation everywhere",
                lambda: self._cluster.is_in_force_everywhere(last_generation),
            )
        except ClusterError as error:
            yield f"configuration: {error}"

    def _read_ledger(self) -> list[StepRecord]:
        stored = ObjectApi(self._cluster.urls["object-api"]).list("ledger/")
        if isinstance(stored, Refusal):
            return []
        return [unpack_step(item.value) for item in stored]

    def _result(self, stuck: list[str]) -> FaultResult:
        return FaultResult(
            seed=self._seed,
            faults=dict(sorted(self._faults.items())),
            samples=sum(len(item.log.taken) for item in self._trainers),
            calls=sum(map(_count_calls, self._callers)),
            violations=tuple(self._violations(stuck)),
        )


def _count_calls(caller: SimulatedCaller) -> int:
    return len(caller.records)


def _vary_file(text: str, number: int) -> str:
    """Return the file with another hedge percentage; variants repeat after 90."""
    return text.replace("hedge_percent: 5", f"hedge_percent: {5 + number % 90}")


def unused_folder(parent: Path, name: str) -> Path:
    """Return the first folder of ``name``, ``name-2`` and so on that does not exist.

    The stand-ins append to their records. In the folder of an earlier run, the checks
    would count the records of both runs, and each call twice.
    """
    numbered = (parent / f"{name}-{number}" for number in itertools.count(2))
    folders = itertools.chain((parent / name,), numbered)
    return next(folder for folder in folders if not folder.exists())


def run_faults(
    name: str, seed: int, duration_s: float, gap_s: float, folder: str | None
) -> FaultResult:
    """Run the workload and faults of one seed on a new cluster."""
    deployment, text = load_deployment(name)
    config, faults = check_document(text)
    if config is None:
        raise click.ClickException("; ".join(map(str, faults)))
    with tempfile.TemporaryDirectory(prefix="pistachioglade-") as temporary:
        run_folder = unused_folder(Path(folder or temporary), f"seed-{seed}")
        with start_cluster(run_folder, deployment) as cluster:
            cluster.apply(text)
            return _Run(cluster, config, text, seed).run(duration_s, gap_s)
