"""Attributes the lost time of late steps and failed calls, from log lines.

The critical sample of a step is the sample that was listed last and, within one
batch, the sample that was completed last. The time from the step's acceptance to its
end is attributed to causes along that sample. Failed attempts of calls are grouped by
route and cause.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum
from itertools import pairwise
from statistics import median
from typing import Final

import attrs

from ._from_logs import LogLine, line_unix_s
from ._text import text_table

#: Least number of generated events for an attempt to count in the usual pace.
_MIN_PACE_EVENTS: Final = 8
#: Time over the usual pace from which an attempt counts as slow, in seconds. Jitter of
#: two events on each of about a hundred stays below this time.
_MIN_SLOW_S: Final = 0.2


class LossCause(Enum):
    """Cause of the time that a step's critical sample took."""

    # Generation of the events at the usual pace.
    LENGTH = "made at the usual pace"
    # No instance had a free slot for the sample.
    WAITED = "waited for an instance"
    # Instances refused the sample because they were full or loading weights.
    REFUSED = "refused by instances"
    # The job failed over to another entry, or the job's entry restarted.
    PASSED_ON = "job passed on"
    # Events were generated a second time after a failed attempt.
    AGAIN = "made again"
    # An instance generated events more slowly than usual, or stalled.
    SLOW = "slow instance"
    # The reward call, and the write of the batch with the sample's result.
    LISTING = "scored and written"
    # The trainer had not yet read the result or not yet ended the step.
    READING = "read by the trainer"


@attrs.frozen
class StepLoss:
    """Causes of the time that one step took."""

    # Model of the trainer.
    trainer: str
    # Number of the step.
    step: int
    # Id of the job; ``ctl story`` shows the job's log lines by this id.
    job: str
    # Critical sample of the step.
    item: str
    # Time from the step's acceptance to its end, in seconds.
    took_s: float
    # Time from the step's acceptance to its due time, in seconds.
    due_s: float
    # Time by cause, in seconds; the times add up to ``took_s``.
    parts_s: dict[LossCause, float]

    @property
    def is_late(self) -> bool:
        """Whether the step ended after its due time."""
        return self.took_s > self.due_s


@attrs.frozen
class CallLoss:
    """Failed attempts of one route with one cause."""

    # Name of the route.
    route: str
    # Reason of the failure, with each number replaced by "N".
    cause: str
    # Number of failed attempts.
    requests: int
    # Number of these attempts whose request got no answer in the end.
    unanswered: int
    # Time spent on these attempts, in seconds.
    lost_s: float


@attrs.frozen
class Losses:
    """Lost time of steps and calls that log lines show."""

    # Steps in the order of their acceptance.
    steps: tuple[StepLoss, ...]
    # Calls by route and cause.
    calls: tuple[CallLoss, ...]


@attrs.frozen
class _Attempt:
    start_s: float
    end_s: float
    outcome: str
    events: int
    # Number of events that the attempt resumed after.
    resumed: int

    @property
    def generated_events(self) -> int:
        return self.events - self.resumed


@attrs.define
class _Job:
    line: LogLine
    accepted_s: float
    due_s: float = float("inf")
    begun_s: list[float] = attrs.field(factory=list)
    attempts: dict[str, list[_Attempt]] = attrs.field(factory=lambda: defaultdict(list))
    listed_s: dict[str, float] = attrs.field(factory=dict)
    ended_s: float | None = None


def losses_from_logs(lines: Iterable[LogLine]) -> Losses:
    """Return the losses in the lines of all processes, which come sorted by time."""
    jobs: dict[str, _Job] = {}
    attempts: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if line["event"] == "job-accepted":
            jobs.setdefault(str(line["job"]), _Job(line, line_unix_s(line)))
        elif line["event"] == "call-tried":
            attempts[str(line["request"])].append(line)
        elif str(line.get("job", "")) in jobs:
            _process_line(jobs[str(line["job"])], line)
    pace_s = _usual_pace_s(jobs.values())
    steps = (_build_step_loss(job_id, job, pace_s) for job_id, job in jobs.items())
    return Losses(
        tuple(step for step in steps if step is not None),
        tuple(_build_call_losses(attempts.values())),
    )


def _process_line(job: _Job, line: LogLine) -> None:
    time_s = line_unix_s(line)
    match line["event"]:
        case "job-run-begun":
            job.begun_s.append(time_s)
            if len(job.begun_s) == 1:
                job.due_s = time_s + float(line["due_in_s"]) - job.accepted_s
        case "item-tried":
            resumed = line["resumed_after"]
            job.attempts[str(line["item"])].append(
                _Attempt(
                    time_s - float(line["took_s"]),
                    time_s,
                    str(line["outcome"]),
                    int(line["events"]),
                    0 if resumed is None else int(resumed) + 1,
                )
            )
        case "results-listed":
            for item in line["items"]:
                job.listed_s.setdefault(str(item), time_s)
        case "job-ended":
            job.ended_s = job.ended_s or time_s


def _usual_pace_s(jobs: Iterable[_Job]) -> float:
    paces = [
        (attempt.end_s - attempt.start_s) / attempt.generated_events
        for job in jobs
        for attempts in job.attempts.values()
        for attempt in attempts
        if attempt.outcome == "complete"
        and attempt.generated_events >= _MIN_PACE_EVENTS
    ]
    return median(paces) if paces else 0.0


def _build_step_loss(job_id: str, job: _Job, pace_s: float) -> StepLoss | None:
    """Return a step's loss; None if the step has no end or no listed sample."""
    if job.ended_s is None:
        return None
    read = {item: at_s for item, at_s in job.listed_s.items() if at_s <= job.ended_s}
    if not read:
        return None
    item = max(read, key=lambda item: (read[item], _completed_s(job.attempts[item])))
    parts_s: dict[LossCause, float] = defaultdict(float)
    for cause, time_s in _attribute_time(job, job.attempts[item], read[item], pace_s):
        parts_s[cause] += time_s
    return StepLoss(
        str(job.line["model"]),
        int(job.line.get("step", 0)),
        job_id,
        item,
        job.ended_s - job.accepted_s,
        job.due_s,
        dict(parts_s),
    )


def _completed_s(attempts: list[_Attempt]) -> float:
    return attempts[-1].end_s if attempts else 0.0


def _attribute_time(
    job: _Job, attempts: list[_Attempt], listed_s: float, pace_s: float
) -> Iterator[tuple[LossCause, float]]:
    """Yield each part of a sample's time with its cause."""
    before = _Attempt(job.accepted_s, job.accepted_s, "", 0, 0)
    for previous, attempt in pairwise((before, *attempts)):
        yield from _attribute_gap(job, previous, attempt, pace_s)
        usual_s = attempt.generated_events * pace_s
        slow_s = attempt.end_s - attempt.start_s - usual_s
        yield LossCause.LENGTH, usual_s + (slow_s if slow_s < _MIN_SLOW_S else 0.0)
        yield LossCause.SLOW, slow_s if slow_s >= _MIN_SLOW_S else 0.0
    completed_s = attempts[-1].end_s if attempts else job.accepted_s
    yield LossCause.LISTING, listed_s - completed_s
    assert job.ended_s is not None
    yield LossCause.READING, job.ended_s - listed_s


def _attribute_gap(
    job: _Job, previous: _Attempt, attempt: _Attempt, pace_s: float
) -> Iterator[tuple[LossCause, float]]:
    """Yield each part of the time between two attempts with its cause."""
    gap_s = attempt.start_s - previous.end_s
    repeated_events = previous.events - attempt.resumed
    if repeated_events > 0:
        # The time of the earlier attempt already includes these events, which the later
        # attempt generates again.
        yield LossCause.AGAIN, repeated_events * pace_s
        yield LossCause.LENGTH, -repeated_events * pace_s
    is_failed_over = any(
        previous.end_s < at_s <= attempt.start_s for at_s in job.begun_s[1:]
    )
    if is_failed_over:
        unlogged_s = max(0, -repeated_events) * pace_s
        yield LossCause.LENGTH, unlogged_s
        yield LossCause.PASSED_ON, gap_s - unlogged_s
    elif previous.outcome == "not-run":
        yield LossCause.REFUSED, gap_s
    else:
        yield LossCause.WAITED, gap_s


def _build_call_losses(requests: Iterable[list[LogLine]]) -> Iterator[CallLoss]:
    failures: dict[tuple[str, str], list[tuple[bool, float]]] = defaultdict(list)
    for attempts in requests:
        outcome = attempts[-1]["outcome"]
        is_answered = isinstance(outcome, int) and outcome < 500
        for line in attempts:
            if isinstance(line["outcome"], int) and line["outcome"] < 500:
                continue
            reason = str(line["reason"] or f"answered {line['outcome']}")
            cause = re.sub(r"\d+(\.\d+)?", "N", reason)
            failure = (not is_answered, float(line["took_s"]))
            failures[str(line["route"]), cause].append(failure)
    for (route, cause), failed in sorted(failures.items()):
        yield CallLoss(
            route,
            cause,
            len(failed),
            sum(is_lost for is_lost, _ in failed),
            sum(took_s for _, took_s in failed),
        )


def render_losses(losses: Losses) -> str:
    """Return tables of late steps, causes by trainer, and calls by route and cause."""
    late = [step for step in losses.steps if step.is_late]
    causes: dict[tuple[str, LossCause], list[float]] = defaultdict(list)
    for step in late:
        for cause, time_s in step.parts_s.items():
            if time_s > 0.0:
                causes[step.trainer, cause].append(time_s)
    steps = [
        [
            step.trainer,
            str(step.step),
            step.job,
            step.item,
            f"{step.took_s:.2f}",
            f"{step.due_s:.2f}",
        ]
        for step in late
    ]
    cause_rows = [
        [trainer, cause.value, str(len(times_s)), f"{sum(times_s):.2f}"]
        for (trainer, cause), times_s in sorted(
            causes.items(), key=lambda item: (item[0][0], -sum(item[1]))
        )
    ]
    calls = [
        [
            call.route,
            call.cause,
            str(call.requests),
            str(call.unanswered),
            f"{call.lost_s:.2f}",
        ]
        for call in losses.calls
    ]
    parts = (
        ("Late steps", _STEP_HEADER, steps),
        ("What they spent their time on", _CAUSE_HEADER, cause_rows),
        ("Calls", _CALL_HEADER, calls),
    )
    return "\n\n".join(
        "\n".join([title, *text_table(header, rows)]) for title, header, rows in parts
    )


_STEP_HEADER: Final = ("trainer", "step", "job", "last sample", "took s", "due s")
_CAUSE_HEADER: Final = ("trainer", "cause", "steps", "s")
_CALL_HEADER: Final = ("route", "cause", "tries", "unanswered", "lost s")
