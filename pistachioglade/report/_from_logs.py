"""The report's records from the serving programs' log lines.

Their lines name each job, each try of a sample, each listed batch and each refusal, so
that a day's report needs nothing but the logs of all processes.
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

#: What became of the tokens of a sample that was whole and never listed.
_UNLISTED: Final = "made whole and not listed before the step's end"
_MICROS: Final = 1e6


@attrs.frozen
class LoggedRecords:
    """What log lines say of a span of time."""

    # Steps, one record each.
    steps: tuple[StepRecord, ...]
    # Use of each route by callers.
    usage: tuple[UsageRecord, ...]
    # Lines that are missing.
    gaps: tuple[Gap, ...]
    # Time of the first line.
    since_unix_s: float
    # Time of the last line.
    until_unix_s: float


@attrs.define
class _Made:
    # Tokens of the whole text.
    tokens: int
    # Weight versions that made an event of it.
    versions: tuple[int, ...]
    # Versions that it was behind the newest.
    staleness: int
    # When it was whole.
    made_s: float
    # Instance that made its end.
    instance: str


@attrs.define
class _Step:
    # Trainer's model.
    model: str
    # Number of the step.
    step: int
    # When it was accepted.
    opened_s: float
    # Items that it asked for.
    items: int
    # Entry that ran it last.
    owner: str = ""
    # Whole texts by item.
    made: dict[str, _Made] = attrs.field(factory=dict)
    # When each item was listed.
    listed_s: dict[str, float] = attrs.field(factory=dict)
    # Items that were given up, by reason.
    given_up: dict[str, str] = attrs.field(factory=dict)


@attrs.define
class _Use:
    # Time spent on tries, by request.
    took_s: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))
    # Requests whose last try brought an answer.
    answered: set[str] = attrs.field(factory=set)
    # Refusals by kind and reason.
    refused: Counter[str] = attrs.field(factory=Counter)


def unix_s(line: LogLine) -> float:
    """Return the time of a line, in seconds since the epoch; 0 if it has none."""
    try:
        return datetime.fromisoformat(str(line["timestamp"])).timestamp()
    except (KeyError, ValueError):
        return 0.0


class _Reader:
    """Takes lines in the order of their times."""

    def __init__(self) -> None:
        self.steps: dict[str, _Step] = {}
        self.uses: dict[str, _Use] = defaultdict(_Use)
        self.dropped: Counter[str] = Counter()
        self._newest: dict[str, int] = {}

    def take(self, line: LogLine) -> None:
        job = self.steps.get(str(line.get("job", "")))
        match line["event"]:
            case "job-accepted":
                self._accepted(line)
            case "version-named":
                model, version = str(line["model"]), int(line["version"])
                self._newest[model] = max(version, self._newest.get(model, 0))
            case "job-run-begun" if job is not None:
                job.owner = str(line.get("node", ""))
            case "item-tried" if job is not None and line["outcome"] == "complete":
                self._made(job, line)
            case "results-listed" if job is not None:
                for item in line.get("items", ()):
                    job.listed_s.setdefault(str(item), unix_s(line))
            case "item-given-up" if job is not None:
                job.given_up[str(line["item"])] = str(line["reason"])
            case "call-tried" | "stream-tried":
                self._tried(line)
            case "request-refused":
                use = self.uses[str(line.get("route") or "no route")]
                use.refused[f"{line['kind']}: {line.get('reason', '')}"] += 1
            case "lines-dropped":
                self.dropped[str(line.get("node", ""))] += int(line["count"])

    def _accepted(self, line: LogLine) -> None:
        job_id = str(line["job"])
        if job_id not in self.steps:
            self.steps[job_id] = _Step(
                str(line["model"]),
                int(line.get("step", 0)),
                unix_s(line),
                int(line["items"]),
            )

    def _made(self, job: _Step, line: LogLine) -> None:
        versions = tuple(int(version) for version in line["versions"])
        newest = self._newest.get(job.model, max(versions, default=0))
        job.made[str(line["item"])] = _Made(
            int(line["tokens"]),
            versions,
            max(0, newest - min(versions, default=newest)),
            unix_s(line),
            str(line.get("instance", "")),
        )

    def _tried(self, line: LogLine) -> None:
        use = self.uses[str(line["route"])]
        request = str(line["request"])
        use.took_s[request] += float(line["took_s"])
        outcome = line["outcome"]
        is_answer = outcome == "whole" or isinstance(outcome, int)
        if is_answer and outcome not in (500, 502, 503, 504):
            use.answered.add(request)


def records_from_logs(lines: Iterable[LogLine]) -> LoggedRecords:
    """Return the records that the lines of all processes make up, in time's order."""
    reader = _Reader()
    times: list[float] = []
    for line in lines:
        times.append(unix_s(line))
        reader.take(line)
    since_s, until_s = min(times, default=0.0), max(times, default=0.0)
    return LoggedRecords(
        tuple(_step_record(step) for step in reader.steps.values()),
        tuple(
            _usage_record(route, use, since_s, until_s)
            for route, use in sorted(reader.uses.items())
        ),
        tuple(
            Gap(node, f"{count} log lines were dropped")
            for node, count in sorted(reader.dropped.items())
        ),
        since_s,
        until_s,
    )


def _spans(made: _Made) -> tuple[VersionSpan, ...]:
    """Return a span for each version.

    The lines name versions and not their parts, so that all tokens of a text of two
    versions stand with the last one; the sum is right.
    """
    *earlier, last = made.versions or (0,)
    return (
        *(VersionSpan(version, 0) for version in earlier),
        VersionSpan(last, made.tokens),
    )


def _step_record(step: _Step) -> StepRecord:
    listed = sorted(step.listed_s.items(), key=lambda item: item[1])
    receipts = tuple(
        Receipt(
            index=place,
            copy_id=item,
            spans=_spans(made),
            staleness_versions=made.staleness,
            lateness_s=listed_s - step.opened_s,
            agent=made.instance,
        )
        for place, (item, listed_s) in enumerate(listed)
        if (made := step.made.get(item)) is not None and item not in step.given_up
    )
    unlisted = sum(
        made.tokens for item, made in step.made.items() if item not in step.listed_s
    )
    return StepRecord(
        trainer=step.model,
        step=step.step,
        owner=step.owner,
        opened_unix_s=step.opened_s,
        sample_count=step.items,
        receipts=receipts,
        refusals=dict(Counter(f"given up: {why}" for why in step.given_up.values())),
        wasted_tokens={_UNLISTED: unlisted} if unlisted else {},
    )


def _usage_record(route: str, use: _Use, since_s: float, until_s: float) -> UsageRecord:
    latency = HdrHistogram(*LATENCY_RANGE_US)
    for request in use.answered:
        latency.record_value(max(1, int(use.took_s[request] * _MICROS)))
    return UsageRecord(
        since_unix_s=since_s,
        until_unix_s=until_s,
        caller=route,
        caller_kind="route",
        answered=len(use.answered),
        refusals=dict(use.refused),
        latency_hdr=latency.encode().decode(),
    )
