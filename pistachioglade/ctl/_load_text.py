"""The page of the ``load`` command as text."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from functools import singledispatch
from typing import Any, Final

from ..report import text_table
from ._load_page import LoadPage, Times
from ._request_history import HistoryLine

#: Text of a cell without a value.
_NOTHING: Final = "-"


@singledispatch
def _cell(value: Any) -> str:
    """Return a value as it stands in a table."""
    return str(value)


@_cell.register
def _text_cell(value: str) -> str:
    # Log lines hold texts of callers, which may contain control characters.
    printable = "".join(char if char.isprintable() else "?" for char in value)
    return printable or _NOTHING


@_cell.register(type(None))
def _empty_cell(_value: None) -> str:
    return _NOTHING


@_cell.register
def _number_cell(value: float) -> str:
    return f"{value:.4f}".rstrip("0").rstrip(".")


@_cell.register(int)
def _count_cell(value: int) -> str:
    return str(value)


@_cell.register(bool)
def _flag_cell(value: bool) -> str:
    return "yes" if value else "no"


@_cell.register(dict)
def _counts_cell(value: Mapping[str, int]) -> str:
    counts = (f"{_cell(name)}: {count}" for name, count in value.items())
    return ", ".join(counts) or _NOTHING


def _times(times: Times) -> tuple[float | None, float | None]:
    return times.mean_s, times.largest_s


def render_load_page(page: LoadPage) -> str:
    """Return the page as tables."""
    sections = (
        _queue_section(page),
        _pace_section(page),
        (
            "Moves of samples",
            ("reason", "moves", "mean gain s", "largest s"),
            [(item.reason, item.moves, *_times(item.gains)) for item in page.moves],
        ),
        (
            "Waits of samples for a faster engine",
            ("waits",),
            [(page.item_waits,)] if page.item_waits else [],
        ),
        _share_section(page),
        (
            "Refusals",
            ("kind", "reason", "requests", "not run"),
            [
                (item.kind, item.reason, item.requests, item.not_run)
                for item in page.refusals
            ],
        ),
        _connection_section(page),
        _memory_section(page),
        (
            "Log lines dropped (the counts above lack them)",
            ("node", "lines"),
            list(page.dropped_lines.items()),
        ),
    )
    return "\n\n".join(_render_section(*section) for section in sections)


_Section = tuple[str, Sequence[str], Sequence[Sequence[Any]]]


def _render_section(
    title: str, header: Sequence[str], rows: Sequence[Sequence[Any]]
) -> str:
    cells = [[_cell(value) for value in row] for row in rows]
    return "\n".join([title, *(text_table(header, cells) if cells else ["none"])])


def _queue_section(page: LoadPage) -> _Section:
    header = (
        *("upstream", "account", "queued", "returning", "started", "refused"),
        *("displaced", "left", "mean wait s", "largest s", "refused after mean s"),
        *("largest s", "most waiting", "reasons"),
    )
    rows = [
        (
            *(item.upstream, item.account, item.queued, item.returning, item.started),
            *(item.refused, item.displaced, item.left, *_times(item.waits)),
            *(*_times(item.refused_waits), item.most_waiting, item.reasons),
        )
        for item in page.queues
    ]
    return "Requests that waited or were refused at a queue", header, rows


def _pace_section(page: LoadPage) -> _Section:
    header = (
        *("instance", "state", "lasting s", "recent s", "basis", "age s", "percent"),
        *("percent age s", "at", "logged s ago", "slowed", "slowed at entries"),
    )
    rows = [
        (
            *(item.instance, item.state, item.lasting_s, item.recent_s, item.basis),
            *(item.age_s, item.machine_percent, item.percent_age_s, item.node),
            *(item.logged_before_s, item.slowed, item.slowed_at),
        )
        for item in page.paces
    ]
    return "Paces (newest line of each instance)", header, rows


def _share_section(page: LoadPage) -> _Section:
    header = (
        *("upstream", "trainer", "owner", "waiting", "share", "level tokens"),
        *("counted s before", "logged s ago", "held back"),
    )
    rows = [
        (
            *(item.upstream, item.trainer, item.node, item.waiting, item.share),
            *(item.level_tokens, item.counted_before_s, item.logged_before_s),
            item.is_held_back,
        )
        for item in page.shares
    ]
    return "Shares of trainers (as last logged)", header, rows


def _connection_section(page: LoadPage) -> _Section:
    header = (
        *("upstream", "opened", "closed", "awaited", "mean wait s", "largest s"),
        *("reused after wait", "closed by reason"),
    )
    rows = [
        (
            *(item.upstream, item.opened, sum(item.closed.values())),
            *(item.awaited.count, *_times(item.awaited), item.reused, item.closed),
        )
        for item in page.connections
    ]
    return "Connections to instances", header, rows


def _memory_section(page: LoadPage) -> _Section:
    header = ("node", "budget bytes", "most used bytes", "near", "refused")
    rows = [
        (item.node, item.limit_bytes, item.most_used_bytes, item.near, item.refused)
        for item in page.memory
    ]
    return "Memory for requests", header, rows


def render_history(lines: Sequence[HistoryLine]) -> list[str]:
    """Return a line of text for each line of a request's history."""
    return [
        " ".join(
            [
                _cell(line.timestamp[11:23]),
                _cell(line.node),
                _cell(line.event),
                *(f"{_cell(name)}={_field(line, name)}" for name in line.fields),
            ]
        )
        for line in lines
    ]


def _field(line: HistoryLine, name: str) -> str:
    value = line.fields[name]
    if value is None:
        # An age of None means that there is no report, which the line has to say.
        return "none"
    return _cell(value if isinstance(value, bool | int | float) else str(value))
