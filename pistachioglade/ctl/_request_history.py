"""The history of one request, with the figures that decided it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

import attrs

from ..report import LogLine, line_unix_s
from ._log_fields import number_of, text_of

#: Fields that come first in a line, the deciding ones first.
_FIRST_FIELDS: Final = (
    "reason",
    "position",
    "expected_wait_s",
    "waited_s",
    "expected_answer_s",
    "deadline_in_s",
    "waiting",
    "starts_per_s",
    "in_flight",
    "instances",
    "newest_report_age_s",
    "oldest_report_age_s",
)
#: Fields that are omitted: each is a column, the same for all lines, or the request.
_OMITTED_FIELDS: Final = frozenset(
    {"timestamp", "node", "program", "event", "level", "module", "request"}
)


@attrs.frozen
class HistoryLine:
    """One log line about a request."""

    # Time as logged.
    timestamp: str
    # Node that logged the line.
    node: str
    # Name of the event.
    event: str
    # The other fields, the deciding ones first. If the line names an instance, fields
    # that begin with ``pace_`` tell what the node had last logged of its pace.
    fields: dict[str, Any]


def request_history(
    lines: Iterable[LogLine], request_id: str
) -> tuple[HistoryLine, ...]:
    """Return the history in the lines of all processes, which come sorted by time."""
    paces: dict[tuple[str, str], LogLine] = {}
    history = []
    for line in lines:
        key = text_of(line, "node"), text_of(line, "instance")
        if line.get("event") == "instance-pace":
            paces[key] = line
        elif line.get("request") == request_id:
            history.append(_history_line(line, paces.get(key)))
    return tuple(history)


def _history_line(line: LogLine, pace: LogLine | None) -> HistoryLine:
    names = [*_FIRST_FIELDS, *(name for name in line if name not in _FIRST_FIELDS)]
    fields = {
        name: line[name]
        for name in names
        if name in line and name not in _OMITTED_FIELDS and line[name] != ""
    }
    return HistoryLine(
        text_of(line, "timestamp"),
        text_of(line, "node"),
        text_of(line, "event"),
        fields | ({} if pace is None else _pace_fields(pace, line)),
    )


def _pace_fields(pace: LogLine, line: LogLine) -> dict[str, Any]:
    """Return what was last logged of a pace, with its age at the time of a line."""
    age_s = number_of(pace, "age_s")
    passed_s = line_unix_s(line) - line_unix_s(pace)
    return {
        "pace_state": text_of(pace, "state"),
        "pace_lasting_s": number_of(pace, "lasting_s"),
        "pace_basis": text_of(pace, "basis"),
        "pace_age_s": None if age_s is None else round(age_s + passed_s, 3),
    }
