"""Builds the report from the records that owners and entries write."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from itertools import chain, pairwise
from statistics import fmean
from typing import Final

import attrs
from hdrh.histogram import HdrHistogram

from ..backing import ObjectApi
from ..config import ServiceConfig
from ..errors import Refusal
from ..messages import Receipt, structure
from ._records import StepRecord, UsageRecord, unpack_step

#: Upper edges of the lateness histogram.
LATENESS_EDGES_S: Final = (1, 2, 5, 10, 20, 60, 300, 1620)
#: Lowest and highest time of a latency histogram in microseconds, and its
#: significant digits.
LATENCY_RANGE_US: Final = (1, 3_600_000_000, 2)
_MICROSECONDS_PER_S: Final = 1e6


@attrs.frozen
class StepReport:
    """One step of one trainer."""

    # Number of the step.
    step: int
    # Time at which the trainer opened the step, in seconds since the epoch.
    opened_unix_s: float
    # Samples asked for.
    asked: int
    # Samples that the trainer acknowledged with a receipt.
    delivered: int
    # Time from the opening to the last receipt, in seconds.
    last_receipt_s: float
    # Weight version to the number of samples with at least one token from the
    # version.
    versions: dict[str, int]
    # Nodes that owned the step, ordered by their number of receipts.
    owners: tuple[str, ...]


@attrs.frozen
class TrainerReport:
    """One trainer over the span of the report."""

    # Name of the trainer.
    trainer: str
    # Declared share of the upstreams' tokens, in percent; None if none is declared.
    share_promised_percent: float | None
    # Share received of the tokens delivered to all trainers, in percent.
    share_received_percent: float
    # Samples asked for.
    asked: int
    # Samples delivered.
    delivered: int
    # Tokens delivered.
    tokens: int
    # Weight version to the number of samples with at least one token from the
    # version.
    versions: dict[str, int]
    # Staleness in versions to the number of samples.
    staleness_versions: dict[str, int]
    # Upper edge of a histogram bin in seconds to the number of samples in the bin.
    lateness_s: dict[str, int]
    # Mean lateness in seconds; None without samples.
    lateness_mean_s: float | None
    # "kind: reason" for requests, or the error kind for samples, to the number of
    # refusals.
    refusals: dict[str, int]
    # Reason to the number of tokens that were generated and not delivered.
    wasted_tokens: dict[str, int]
    # Steps in ascending order of their numbers.
    steps: tuple[StepReport, ...]
    # Numbers between the first and the last step that have no record.
    missing_steps: tuple[int, ...]


@attrs.frozen
class CallerReport:
    """One caller over the span of the report."""

    # Name of the caller.
    caller: str
    # Kind of the caller.
    kind: str
    # Requests that were answered.
    answered: int
    # "kind: reason" to the number of refusals.
    refusals: dict[str, int]
    # Median answer time in seconds; None without answers.
    p50_s: float | None
    # 99th percentile of answer times in seconds; None without answers.
    p99_s: float | None


@attrs.frozen
class Gap:
    """Records that are missing from the report."""

    # Trainer or node whose records are missing.
    node: str
    # Description of the missing records.
    reason: str


@attrs.frozen
class Report:
    """All trainers and callers over one span of time."""

    # Start of the span, in seconds since the epoch.
    since_unix_s: float
    # End of the span, in seconds since the epoch.
    until_unix_s: float
    # Trainers, sorted by name.
    trainers: tuple[TrainerReport, ...]
    # Callers, sorted by name.
    callers: tuple[CallerReport, ...]
    # Records that are known to be missing.
    gaps: tuple[Gap, ...]


def build_report(
    api: ObjectApi, config: ServiceConfig, since_unix_s: float, until_unix_s: float
) -> Report | Refusal:
    """Read the records of a span from the object API and return their sums."""
    ledger = api.list("ledger/")
    if isinstance(ledger, Refusal):
        return ledger
    usage = api.list("usage/")
    if isinstance(usage, Refusal):
        return usage
    records = [
        record
        for record in (unpack_step(item.value) for item in ledger)
        if since_unix_s <= record.opened_unix_s <= until_unix_s
    ]
    spans = [
        record
        for item in usage
        for record in structure(item.value, tuple[UsageRecord, ...])
        if since_unix_s <= record.until_unix_s and record.since_unix_s <= until_unix_s
    ]
    shares = {item.name: float(item.share_percent) for item in config.trainers}
    return summarise(shares, records, spans, since_unix_s, until_unix_s)


def summarise(
    shares_percent: Mapping[str, float],
    records: Sequence[StepRecord],
    spans: Sequence[UsageRecord],
    since_unix_s: float,
    until_unix_s: float,
) -> Report:
    """Sum up records; ``shares_percent`` holds the declared share of each trainer."""
    by_trainer: dict[str, list[StepRecord]] = defaultdict(list)
    for record in records:
        by_trainer[record.trainer].append(record)
    by_caller: dict[str, list[UsageRecord]] = defaultdict(list)
    for span in spans:
        by_caller[span.caller].append(span)
    tokens = {
        name: sum(map(_count_tokens, merge_receipts(items).values()))
        for name, items in by_trainer.items()
    }
    total = sum(tokens.values())
    trainers = tuple(
        _build_trainer_report(
            shares_percent.get(name), name, by_trainer[name], by_caller[name], total
        )
        for name in sorted(by_trainer)
    )
    callers = tuple(
        _build_caller_report(name, items)
        for name, items in sorted(by_caller.items())
        if items and items[0].caller_kind != "trainer"
    )
    gaps = tuple(_find_gaps(trainers))
    return Report(since_unix_s, until_unix_s, trainers, callers, gaps)


def _count_tokens(receipt: Receipt) -> int:
    return sum(span.token_count for span in receipt.spans)


def merge_receipts(records: Iterable[StepRecord]) -> dict[tuple[int, int], Receipt]:
    """Return one receipt for each step and sample index, across all owners.

    A trainer that restores its checkpoint may take another copy of a sample later;
    the receipt of the latest copy wins.
    """
    pairs = sorted(
        (
            ((record.step, receipt.index), receipt)
            for record in records
            for receipt in record.receipts
        ),
        key=lambda pair: pair[1].lateness_s,
    )
    return dict(pairs)


def _count_versions(receipts: Iterable[Receipt]) -> dict[str, int]:
    samples = Counter(
        version
        for receipt in receipts
        for version in {span.version for span in receipt.spans}
    )
    return {str(version): samples[version] for version in sorted(samples)}


def _build_trainer_report(
    share_percent: float | None,
    name: str,
    records: Sequence[StepRecord],
    spans: Sequence[UsageRecord],
    total_tokens: int,
) -> TrainerReport:
    receipts = list(merge_receipts(records).values())
    steps = _build_step_reports(records)
    tokens = sum(map(_count_tokens, receipts))
    lateness = [receipt.lateness_s for receipt in receipts]
    staleness = Counter(receipt.staleness_versions for receipt in receipts)
    refusals = _sum_counts(
        chain(
            (record.refusals for record in records), (span.refusals for span in spans)
        )
    )
    numbers = {step.step for step in steps}
    return TrainerReport(
        trainer=name,
        share_promised_percent=share_percent,
        share_received_percent=100.0 * tokens / total_tokens if total_tokens else 0.0,
        asked=sum(step.asked for step in steps),
        delivered=len(receipts),
        tokens=tokens,
        versions=_count_versions(receipts),
        staleness_versions={str(key): staleness[key] for key in sorted(staleness)},
        lateness_s=_count_lateness(lateness),
        lateness_mean_s=fmean(lateness) if lateness else None,
        refusals=refusals,
        wasted_tokens=_sum_counts(record.wasted_tokens for record in records),
        steps=steps,
        missing_steps=tuple(
            step for step in range(min(numbers), max(numbers)) if step not in numbers
        ),
    )


def _sum_counts(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for item in counts:
        total.update(item)
    return dict(sorted(total.items()))


def _count_lateness(lateness: Sequence[float]) -> dict[str, int]:
    edges = (0, *LATENESS_EDGES_S)
    counts = {
        str(high): sum(low < value <= high for value in lateness)
        for low, high in pairwise(edges)
    }
    counts["more"] = sum(value > edges[-1] for value in lateness)
    return counts


def _build_step_reports(records: Sequence[StepRecord]) -> tuple[StepReport, ...]:
    by_step: dict[int, list[StepRecord]] = defaultdict(list)
    for record in records:
        by_step[record.step].append(record)
    return tuple(_build_step_report(step, by_step[step]) for step in sorted(by_step))


def _build_step_report(step: int, records: Sequence[StepRecord]) -> StepReport:
    receipts = list(merge_receipts(records).values())
    ordered = sorted(records, key=lambda record: len(record.receipts))
    return StepReport(
        step=step,
        opened_unix_s=min(record.opened_unix_s for record in records),
        asked=max(record.sample_count for record in records),
        delivered=len(receipts),
        last_receipt_s=max((receipt.lateness_s for receipt in receipts), default=0.0),
        versions=_count_versions(receipts),
        owners=tuple(record.owner for record in ordered),
    )


def _build_caller_report(name: str, spans: Sequence[UsageRecord]) -> CallerReport:
    latency = HdrHistogram(*LATENCY_RANGE_US)
    for span in spans:
        latency.decode_and_add(span.latency_hdr.encode())
    has_answers = latency.get_total_count() > 0
    return CallerReport(
        caller=name,
        kind=spans[0].caller_kind,
        answered=sum(span.answered for span in spans),
        refusals=_sum_counts(span.refusals for span in spans),
        p50_s=_percentile_s(latency, 50) if has_answers else None,
        p99_s=_percentile_s(latency, 99) if has_answers else None,
    )


def _percentile_s(latency: HdrHistogram, percent: float) -> float:
    return float(latency.get_value_at_percentile(percent)) / _MICROSECONDS_PER_S


def _find_gaps(trainers: Iterable[TrainerReport]) -> Iterable[Gap]:
    return [
        Gap(trainer.trainer, f"no record of step {step} is left")
        for trainer in trainers
        for step in trainer.missing_steps
    ]
