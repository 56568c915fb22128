"""Reads the serving programs' logs and shows the lines about one subject."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final

from ..config import SettingsError
from ..report import LogLine

#: Fields that are omitted from a line's details: each is a column or the same for
#: every line of a program.
_OMITTED_FIELDS: Final = frozenset(
    {"timestamp", "node", "program", "event", "level", "module"}
)
#: Fields that name the subject of a line.
_SUBJECT_FIELDS: Final = ("request", "job", "item", "instance", "entry")


def read_log_lines(paths: Iterable[Path]) -> list[LogLine]:
    """Return the log lines of several processes, sorted by time."""
    lines: list[LogLine] = []
    for path in paths:
        try:
            texts = path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            raise SettingsError(f"{path}: {error}") from error
        lines.extend(line for text in texts if (line := _parse_line(text)) is not None)
    return sorted(lines, key=lambda line: str(line.get("timestamp", "")))


def _parse_line(text: str) -> LogLine | None:
    """Return a line's fields; None for output that is not a log line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except (ValueError, RecursionError):
        # Not JSON, cut off, or nested more deeply than the decoder follows.
        return None
    return fields if isinstance(fields, dict) and "event" in fields else None


def render_story(lines: Iterable[LogLine], subject: str) -> Iterator[str]:
    """Return a line for each decision about a request, job, item or instance."""
    for line in lines:
        if subject not in (line.get(name) for name in _SUBJECT_FIELDS):
            continue
        details = " ".join(
            f"{name}={value}"
            for name, value in line.items()
            if name not in _OMITTED_FIELDS
            and value not in ("", None)
            and value != subject
        )
        time = str(line.get("timestamp", ""))[11:23]
        yield f"{time} {line.get('node', '')} {line['event']} {details}".rstrip()
