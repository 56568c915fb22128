"""Rebuilds the report's records from the serving programs' log lines.

The log lines name each job, each attempt at a sample, each listed batch and each
refusal, so the logs of all processes are enough for a report.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from datetime import datetime
from typing import Any, Final

import attrs
from hdrh.histogram import HdrHistogram

from ..messages import Receipt, VersionSpan
from ._build import LATENCY_RANGE_US, Gap
from ._records import StepRecord, UsageRecord

LogLine = dict[str, Any]

#: Waste reason for the tokens of a sample that was completed and never listed.
_UNLISTED_REASON: Final = "made whole and not listed before the step's end"
_MICROSECONDS_PER_S: Final = 1e6


@attrs.frozen
class LoggedRecords:
    """Records that the log lines of a span of time contain."""

    # One record for each step.
    steps: tuple[StepRecord, ...]
    # One record for each route that callers used.
    usage: tuple[UsageRecord, ...]
    # Nodes whose log lines were dropped.
    gaps: tuple[Gap, ...]
    # Time of the first line, in seconds since the epoch.
    since_unix_s: float
    # Time of the last line, in seconds since the epoch.
    until_unix_s: float


@attrs.define
class _CompletedItem:
    # Number of tokens of the completed text.
    tokens: int
    # Weight versions that generated at least one event of the text.
    versions: tuple[int, ...]
    # Number of versions between the oldest version in the text and the newest one.
    staleness: int
    # Time of completion, in seconds since the epoch.
    completed_s: float
    # Instance that generated the last event.
    instance: str


@attrs.define
class _Step:
    # Model of the trainer.
    model: str
    # Number of the step.
    step: int
    # Time of the job's acceptance, in seconds since the epoch.
    opened_s: float
    # Number of items in the job.
    items: int
    # Entry that ran the job last.
    owner: str = ""
    # Completed texts by item.
    completed: dict[str, _CompletedItem] = attrs.field(factory=dict)
    # Time at which each item was first listed, in seconds since the epoch.
    listed_s: dict[str, float] = attrs.field(factory=dict)
    # Reason for each item that was given up, by item.
    given_up: dict[str, str] = attrs.field(factory=dict)


@attrs.define
class _RouteUsage:
    # Time spent on attempts in seconds, by request.
    took_s: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))
    # Requests with an attempt that got an answer.
    answered: set[str] = attrs.field(factory=set)
    # "kind: reason" to the number of refusals.
    refused: Counter[str] = attrs.field(factory=Counter)


def line_unix_s(line: LogLine) -> float:
    """Return the time of a line, in seconds since the epoch; 0 without a time."""
    try:
        return datetime.fromisoformat(str(line["timestamp"])).timestamp()
    except (KeyError, ValueError):
        return 0.0


class _LogReader:
    """Collects steps, route usage and gaps from log lines sorted by time."""

    def __init__(self) -> None:
        self.steps: dict[str, _Step] = {}
        self.usage_by_route: dict[str, _RouteUsage] = defaultdict(_RouteUsage)
        self.dropped: Counter[str] = Counter()
        self._newest_version: dict[str, int] = {}

    def process_line(self, line: LogLine) -> None:
        job = self.steps.get(str(line.get("job", "")))
        match line["event"]:
            case "job-accepted":
                self._add_step(line)
            case "version-named":
                model, version = str(line["model"]), int(line["version"])
                self._newest_version[model] = max(
                    version, self._newest_version.get(model, 0)
                )
            case "job-run-begun" if job is not None:
                job.owner = str(line.get("node", ""))
            case "item-tried" if job is not None and line["outcome"] == "complete":
                self._add_completed(job, line)
            case "results-listed" if job is not None:
                for item in line.get("items", ()):
                    job.listed_s.setdefault(str(item), line_unix_s(line))
            case "item-given-up" if job is not None:
                job.given_up[str(line["item"])] = str(line["reason"])
            case "call-tried" | "stream-tried":
                self._add_attempt(line)
            case "request-refused":
                route_usage = self.usage_by_route[str(line.get("route") or "no route")]
                route_usage.refused[f"{line['kind']}: {line.get('reason', '')}"] += 1
            case "lines-dropped":
                self.dropped[str(line.get("node", ""))] += int(line["count"])

    def _add_step(self, line: LogLine) -> None:
        job_id = str(line["job"])
        if job_id not in self.steps:
            self.steps[job_id] = _Step(
                str(line["model"]),
                int(line.get("step", 0)),
                line_unix_s(line),
                int(line["items"]),
            )

    def _add_completed(self, job: _Step, line: LogLine) -> None:
        versions = tuple(int(version) for version in line["versions"])
        newest = self._newest_version.get(job.model, max(versions, default=0))
        job.completed[str(line["item"])] = _CompletedItem(
            int(line["tokens"]),
            versions,
            max(0, newest - min(versions, default=newest)),
            line_unix_s(line),
            str(line.get("instance", "")),
        )

    def _add_attempt(self, line: LogLine) -> None:
        route_usage = self.usage_by_route[str(line["route"])]
        request = str(line["request"])
        route_usage.took_s[request] += float(line["took_s"])
        outcome = line["outcome"]
        has_answer = outcome == "whole" or isinstance(outcome, int)
        if has_answer and outcome not in (500, 502, 503, 504):
            route_usage.answered.add(request)


def records_from_logs(lines: Iterable[LogLine]) -> LoggedRecords:
    """Return the records in the lines of all processes, which come sorted by time."""
    reader = _LogReader()
    times: list[float] = []
    for line in lines:
        times.append(line_unix_s(line))
        reader.process_line(line)
    since_s, until_s = min(times, default=0.0), max(times, default=0.0)
    return LoggedRecords(
        tuple(_build_step_record(step) for step in reader.steps.values()),
        tuple(
            _build_usage_record(route, route_usage, since_s, until_s)
            for route, route_usage in sorted(reader.usage_by_route.items())
        ),
        tuple(
            Gap(node, f"{count} log lines were dropped")
            for node, count in sorted(reader.dropped.items())
        ),
        since_s,
        until_s,
    )


def _build_spans(completed: _CompletedItem) -> tuple[VersionSpan, ...]:
    """Return a span for each version of a text.

    Log lines name the versions without their token counts. All tokens of a text are
    therefore attributed to the last version, which keeps the sum correct.
    """
    *earlier, last = completed.versions or (0,)
    return (
        *(VersionSpan(version, 0) for version in earlier),
        VersionSpan(last, completed.tokens),
    )


def _build_step_record(step: _Step) -> StepRecord:
    listed = sorted(step.listed_s.items(), key=lambda item: item[1])
    receipts = tuple(
        Receipt(
            index=position,
            copy_id=item,
            spans=_build_spans(completed),
            staleness_versions=completed.staleness,
            lateness_s=listed_s - step.opened_s,
            agent=completed.instance,
        )
        for position, (item, listed_s) in enumerate(listed)
        if (completed := step.completed.get(item)) is not None
        and item not in step.given_up
    )
    unlisted = sum(
        completed.tokens
        for item, completed in step.completed.items()
        if item not in step.listed_s
    )
    return StepRecord(
        trainer=step.model,
        step=step.step,
        owner=step.owner,
        opened_unix_s=step.opened_s,
        sample_count=step.items,
        receipts=receipts,
        refusals=dict(Counter(f"given up: {why}" for why in step.given_up.values())),
        wasted_tokens={_UNLISTED_REASON: unlisted} if unlisted else {},
    )


def _build_usage_record(
    route: str, route_usage: _RouteUsage, since_s: float, until_s: float
) -> UsageRecord:
    latency = HdrHistogram(*LATENCY_RANGE_US)
    for request in route_usage.answered:
        latency.record_value(
            max(1, int(route_usage.took_s[request] * _MICROSECONDS_PER_S))
        )
    return UsageRecord(
        since_unix_s=since_s,
        until_unix_s=until_s,
        caller=route,
        caller_kind="route",
        answered=len(route_usage.answered),
        refusals=dict(route_usage.refused),
        latency_hdr=latency.encode().decode(),
    )
