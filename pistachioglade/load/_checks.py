"""Checks of the service's guarantees against the stand-ins' own records."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import groupby, pairwise
from typing import Any

import attrs

from ..messages import Sample
from ..report import StepRecord, merge_receipts
from ._lookups import CallRecord
from ._trainers import TrainerLog

#: Runs of one instance, as recorded by the instance.
Runs = Sequence[Mapping[str, Any]]


@attrs.frozen
class TrainerOutcome:
    """Expectations of one trainer, and the log of what the trainer received."""

    # Name of the trainer.
    trainer: str
    # Maximum number of versions that a sample may be behind the newest one.
    bound_versions: int
    # Number of samples in each step.
    step_samples: int
    # Log of the trainer.
    log: TrainerLog


def _spans(sample: Sample) -> list[list[int]]:
    return [[span.version, span.token_count] for span in sample.spans]


def check_versions(
    outcomes: Iterable[TrainerOutcome], engine_runs: Mapping[str, Runs]
) -> Iterator[str]:
    """Yield samples whose versions differ from the engine's records."""
    run_spans: dict[tuple[str, str], list[Any]] = defaultdict(list)
    for engine, runs in engine_runs.items():
        for run in runs:
            if run["whole"]:
                name = str(run["request_id"]).rpartition("/")[0]
                run_spans[engine, name].append(run["spans"])
    for outcome in outcomes:
        for step, sample, _newest in outcome.log.taken:
            name = f"{outcome.trainer}/{step}/{sample.index}"
            if sample.engine in engine_runs and (
                _spans(sample) not in run_spans[sample.engine, name]
            ):
                yield f"versions: {name} says {_spans(sample)}, not {sample.engine}"


def check_staleness(outcomes: Iterable[TrainerOutcome]) -> Iterator[str]:
    """Yield samples that exceed the staleness bound of their trainer."""
    for outcome in outcomes:
        for step, sample, newest in outcome.log.taken:
            age = newest - sample.oldest_version
            if age > outcome.bound_versions:
                yield f"staleness: {outcome.trainer}/{step}/{sample.index} is {age} old"


def check_exactly_once(outcomes: Iterable[TrainerOutcome]) -> Iterator[str]:
    """Yield samples that are missing or duplicated, and failures of trainers."""
    for outcome in outcomes:
        taken = Counter((step, item.index) for step, item, _new in outcome.log.taken)
        for (step, index), times in taken.items():
            if times != 1:
                yield f"exactly once: {outcome.trainer}/{step}/{index} {times} times"
        steps = Counter(step for step, _index in taken)
        for step, samples in steps.items():
            if samples != outcome.step_samples:
                yield f"exactly once: {outcome.trainer}/{step} has {samples} samples"
        for failure in outcome.log.failures:
            yield f"exactly once: {outcome.trainer} failed: {failure}"


def check_whole_answers(records: Iterable[CallRecord]) -> Iterator[str]:
    """Yield answers that are incomplete or belong to another request."""
    for record in records:
        if record.status == 200 and not record.whole:
            yield f"whole answers: {record.caller} {record.operation} {record.number}"


def _call_name(record: CallRecord) -> str:
    return f"{record.caller}-{record.operation}-{record.number}"


def _count_runs(service_runs: Iterable[Runs]) -> Counter[str]:
    return Counter(
        str(run["payload"].get("id")) for runs in service_runs for run in runs
    )


def check_not_run(
    records: Iterable[CallRecord], service_runs: Sequence[Runs]
) -> Iterator[str]:
    """Yield calls whose answer contradicts the record of runs."""
    ran = _count_runs(service_runs)
    for record in records:
        name = _call_name(record)
        if record.execution == "not-run" and ran[name]:
            yield f"not run: {name} was refused ({record.error}) and ran"
        if record.status == 200 and record.operation != "completion" and not ran[name]:
            yield f"not run: {name} was answered and did not run"


def check_at_most_once(
    service_runs: Sequence[Runs], once_operations: Iterable[str]
) -> Iterator[str]:
    """Yield non-idempotent requests that ran more than once."""
    once = set(once_operations)
    selected = [
        [run for run in runs if run["operation"] in once] for runs in service_runs
    ]
    for name, times in _count_runs(selected).items():
        if times > 1:
            yield f"at most once: {name} ran {times} times"


def check_leaving(
    left_unix_s: Mapping[str, float], runs: Mapping[str, Runs], grace_s: float
) -> Iterator[str]:
    """Yield runs that an instance began more than ``grace_s`` after its leaving."""
    for instance, since_s in left_unix_s.items():
        for run in runs.get(instance, ()):
            if float(run["unix_s"]) > since_s + grace_s:
                late_s = float(run["unix_s"]) - since_s
                yield f"leaving: {instance} began {run['request_id']} {late_s:.1f} s on"


def check_record(
    outcomes: Iterable[TrainerOutcome], records: Sequence[StepRecord]
) -> Iterator[str]:
    """Yield samples whose copy differs between the report's records and the trainer."""
    for outcome in outcomes:
        own_records = [
            record for record in records if record.trainer == outcome.trainer
        ]
        recorded = merge_receipts(own_records)
        for step, sample, _newest in outcome.log.taken:
            found = recorded.get((step, sample.index))
            copy_id = found.copy_id if found else None
            if copy_id != sample.copy_id:
                name = f"{outcome.trainer}/{step}/{sample.index}"
                yield f"report: {name} is {sample.copy_id}, recorded {copy_id}"


@attrs.frozen
class SeenGeneration:
    """Configuration generation that a node reported at one time."""

    # Monotonic time of the observation, in seconds.
    at_s: float
    # Node id.
    node: str
    # Reported generation.
    generation: int


def check_generations(seen: Iterable[SeenGeneration]) -> Iterator[str]:
    """Yield nodes that went back to an earlier configuration."""
    ordered = sorted(seen, key=lambda item: (item.node, item.at_s))
    for node, items in groupby(ordered, key=lambda item: item.node):
        for earlier, later in pairwise(items):
            if later.generation < earlier.generation:
                yield (
                    f"configuration: {node} went from {earlier.generation} "
                    f"to {later.generation}"
                )
