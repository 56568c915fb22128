"""Shows one request's story, or a day's service, from the serving programs' logs."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import attrs

from ..config import SettingsError

LogLine = dict[str, Any]

#: Fields that every line has and that the story shows in columns of their own.
_COLUMNS: Final = frozenset(
    {"timestamp", "node", "program", "event", "level", "module"}
)
#: Fields that name what a line is about.
_SUBJECTS: Final = ("request", "job", "item", "instance", "entry")


def read_log_lines(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of several processes in the order of their times."""
    lines: list[LogLine] = []
    for path in paths:
        try:
            texts = path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            raise SettingsError(f"{path}: {error}") from error
        lines.extend(line for text in texts if (line := _parse(text)) is not None)
    return sorted(lines, key=lambda line: str(line.get("timestamp", "")))


def _parse(text: str) -> LogLine | None:
    """Return a line's fields; None for output that is none of our lines."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    return fields if isinstance(fields, dict) and "event" in fields else None


def story_of(lines: Iterable[LogLine], subject: str) -> Iterator[str]:
    """Return a line for each decision about a request, job, item or instance."""
    for line in lines:
        if subject not in (line.get(name) for name in _SUBJECTS):
            continue
        details = " ".join(
            f"{name}={value}"
            for name, value in line.items()
            if name not in _COLUMNS and value not in ("", None) and value != subject
        )
        time = str(line.get("timestamp", ""))[11:23]
        yield f"{time} {line.get('node', '')} {line['event']} {details}".rstrip()


@attrs.define
class ModelService:
    """What the trainer of one model got."""

    # Steps accepted.
    steps: int = 0
    # Items asked for.
    asked: int = 0
    # Results listed.
    listed: int = 0
    # Items given up, by reason.
    given_up: Counter[str] = attrs.field(factory=Counter)
    # Whole texts by the weight versions that made them.
    versions: Counter[str] = attrs.field(factory=Counter)
    # Whole texts made after their step was due.
    late: int = 0


@attrs.define
class ServiceRecord:
    """What a day's logs say of the service."""

    # By model.
    models: dict[str, ModelService] = attrs.field(
        factory=lambda: defaultdict(ModelService)
    )
    # Refusals by kind.
    refused: Counter[str] = attrs.field(factory=Counter)
    # Lines that processes have dropped, so that counts may be short.
    dropped_lines: int = 0


def service_record(lines: Iterable[LogLine]) -> ServiceRecord:
    """Count who got what, from which versions, how late, what was refused."""
    record = ServiceRecord()
    model_of: dict[str, str] = {}
    seen_jobs: set[str] = set()
    for line in lines:
        job = str(line.get("job", ""))
        match line["event"]:
            case "job-accepted" if job not in seen_jobs:
                seen_jobs.add(job)
                model_of[job] = str(line["model"])
                service = record.models[model_of[job]]
                service.steps += 1
                service.asked += int(line["items"])
            case "results-listed" if job in model_of:
                record.models[model_of[job]].listed += int(line["results"])
            case "item-given-up" if job in model_of:
                record.models[model_of[job]].given_up[str(line["reason"])] += 1
            case "item-tried" if job in model_of and line["outcome"] == "complete":
                service = record.models[model_of[job]]
                service.versions[",".join(map(str, line["versions"]))] += 1
                service.late += float(line["until_due_s"]) < 0.0
            case "request-refused":
                record.refused[str(line["kind"])] += 1
            case "lines-dropped":
                record.dropped_lines += int(line["count"])
    return record


def render_service(record: ServiceRecord) -> Iterator[str]:
    """Return the record as text."""
    for model, service in sorted(record.models.items()):
        yield f"model {model}: {service.steps} steps, {service.asked} samples asked,"
        yield f"  {service.listed} listed, {service.late} made after they were due"
        versions = sorted(service.versions.items())
        yield "  by weight versions: " + ", ".join(f"{v}: {n}" for v, n in versions)
        for reason, count in service.given_up.most_common():
            yield f"  given up: {count} ({reason})"
    for kind, count in record.refused.most_common():
        yield f"refused: {count} {kind}"
    if record.dropped_lines:
        yield f"{record.dropped_lines} log lines were dropped; counts may be short"
