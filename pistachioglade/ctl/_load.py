"""Shows from log lines how the serving programs decide under load.

Each section of the page is built from the lines of a few events. Lines that lack a
field count without it.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Final

from ..report import LogLine, line_unix_s
from ._load_page import (
    ConnectionLoad,
    LoadPage,
    MemoryLoad,
    MoveLoad,
    PaceLoad,
    QueueLoad,
    RefusalLoad,
    ShareLoad,
    Times,
)
from ._log_fields import count_of, number_of, text_of

#: Events of the admission queue.
_QUEUED: Final = "call-queued"
_STARTED: Final = "call-started"
_NOT_ADMITTED: Final = "call-not-admitted"
_LEFT: Final = "call-left"
#: Reason of a refusal by which a more urgent request took the place.
_DISPLACED: Final = "displaced"
#: State of the pace of an instance that is much slower than before.
_SLOWED: Final = "slowed"
#: Most characters of a refusal's reason that are shown; longer ones hold texts of
#: instances or callers, which would widen the whole table.
_REASON_CHARS: Final = 100

#: Lines by event, each list in the order of time.
Events = Mapping[str, list[LogLine]]


def load_page(lines: Iterable[LogLine]) -> LoadPage:
    """Return the page of the lines of all processes, which come sorted by time."""
    events: dict[str, list[LogLine]] = defaultdict(list)
    until_s = 0.0
    for line in lines:
        events[text_of(line, "event")].append(line)
        until_s = max(until_s, line_unix_s(line))
    return LoadPage(
        _queues(events),
        _paces(events, until_s),
        _moves(events),
        len(events["item-waits"]),
        _shares(events, until_s),
        _refusals(events),
        _connections(events),
        _memory(events),
        _dropped(events),
    )


def _group(
    events: Events, names: Iterable[str], *fields: str
) -> dict[tuple[str, ...], dict[str, list[LogLine]]]:
    """Return the lines of some events by the values of fields, then by event."""
    groups: dict[tuple[str, ...], dict[str, list[LogLine]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for name in names:
        for line in events.get(name, ()):
            key = tuple(text_of(line, field) for field in fields)
            groups[key][name].append(line)
    return dict(sorted(groups.items()))


def _queues(events: Events) -> tuple[QueueLoad, ...]:
    names = (_QUEUED, _STARTED, _NOT_ADMITTED, _LEFT)
    groups = _group(events, names, "upstream", "account")
    queued_s = _queued_s(events)
    return tuple(_queue(key, found, queued_s) for key, found in groups.items())


def _queued_s(events: Events) -> Mapping[tuple[str, str], list[float]]:
    """Return the times at which requests began to wait, by node and request."""
    times_s: dict[tuple[str, str], list[float]] = defaultdict(list)
    for line in events.get(_QUEUED, ()):
        key = text_of(line, "node"), text_of(line, "request")
        times_s[key].append(line_unix_s(line))
    return times_s


def _refused_wait_s(
    line: LogLine, queued_s: Mapping[tuple[str, str], list[float]]
) -> float | None:
    """Return how long a refused request has waited; None if its time isn't known."""
    refused_s = line_unix_s(line)
    if not refused_s:
        return None
    key = text_of(line, "node"), text_of(line, "request")
    begun_s = [time_s for time_s in queued_s.get(key, ()) if 0 < time_s <= refused_s]
    return round(refused_s - max(begun_s, default=refused_s), 4)


def _queue(
    key: tuple[str, ...],
    found: Events,
    queued_s: Mapping[tuple[str, str], list[float]],
) -> QueueLoad:
    upstream, account = key
    reasons = Counter(text_of(line, "reason") for line in found[_NOT_ADMITTED])
    refused = (_refused_wait_s(line, queued_s) for line in found[_NOT_ADMITTED])
    sizes = (count_of(line, "waiting") for line in found[_QUEUED])
    return QueueLoad(
        upstream,
        account,
        queued=len(found[_QUEUED]),
        returning=sum(line.get("is_returning") is True for line in found[_QUEUED]),
        started=len(found[_STARTED]),
        refused=reasons.total() - reasons[_DISPLACED],
        displaced=reasons[_DISPLACED],
        left=len(found[_LEFT]),
        reasons={name: count for name, count in reasons.most_common() if count},
        waits=Times.from_lines(found[_STARTED], "waited_s"),
        refused_waits=Times.from_times([time for time in refused if time is not None]),
        most_waiting=max((size for size in sizes if size is not None), default=0),
    )


def _logged_before_s(line: LogLine, until_s: float) -> float | None:
    logged_s = line_unix_s(line)
    return round(until_s - logged_s, 3) if logged_s else None


def _paces(events: Events, until_s: float) -> tuple[PaceLoad, ...]:
    groups = _group(events, ["instance-pace"], "instance")
    return tuple(
        _pace(instance, found["instance-pace"], until_s)
        for (instance,), found in groups.items()
    )


def _pace(instance: str, lines: list[LogLine], until_s: float) -> PaceLoad:
    newest = lines[-1]
    slowed = [line for line in lines if line.get("state") == _SLOWED]
    return PaceLoad(
        instance,
        text_of(newest, "node"),
        text_of(newest, "state"),
        text_of(newest, "basis"),
        number_of(newest, "lasting_s"),
        number_of(newest, "recent_s"),
        number_of(newest, "age_s"),
        _logged_before_s(newest, until_s),
        number_of(newest, "machine_percent"),
        number_of(newest, "percent_age_s"),
        len(slowed),
        len({text_of(line, "node") for line in slowed}),
    )


def _moves(events: Events) -> tuple[MoveLoad, ...]:
    return tuple(
        MoveLoad(
            reason,
            len(found["item-moved"]),
            Times.from_lines(found["item-moved"], "gain_s"),
        )
        for (reason,), found in _group(events, ["item-moved"], "reason").items()
    )


def _trainers(line: LogLine) -> list[LogLine]:
    """Return the trainers that a line about held back samples names."""
    found = line.get("trainers")
    items = found if isinstance(found, list) else []
    return [item for item in items if isinstance(item, dict)]


def _trainer_key(trainer: LogLine, line: LogLine) -> tuple[str, str, str]:
    return (
        text_of(trainer, "upstream"),
        text_of(trainer, "trainer"),
        text_of(line, "node"),
    )


def _shares(events: Events, until_s: float) -> tuple[ShareLoad, ...]:
    lines = events.get("samples-held-back", [])
    newest = {
        _trainer_key(trainer, line): (trainer, line)
        for line in lines
        for trainer in _trainers(line)
    }
    last = {text_of(line, "node"): line for line in lines}
    return tuple(
        ShareLoad(
            *key,
            waiting=count_of(trainer, "waiting"),
            share=number_of(trainer, "share"),
            level_tokens=count_of(trainer, "level_tokens"),
            counted_before_s=number_of(line, "counted_before_s"),
            logged_before_s=_logged_before_s(line, until_s),
            is_held_back=line is last[key[-1]],
        )
        for key, (trainer, line) in sorted(newest.items(), key=lambda item: item[0])
    )


def _refusals(events: Events) -> tuple[RefusalLoad, ...]:
    groups: dict[tuple[str, str], list[LogLine]] = defaultdict(list)
    for line in events.get("request-refused", ()):
        reason = re.sub(r"\d+(\.\d+)?", "N", text_of(line, "reason"))
        groups[text_of(line, "kind"), reason[:_REASON_CHARS]].append(line)
    ordered = sorted(groups.items(), key=lambda item: (-len(item[1]), item[0]))
    return tuple(
        RefusalLoad(
            kind,
            reason,
            len(found),
            sum(line.get("execution") == "not-run" for line in found),
        )
        for (kind, reason), found in ordered
    )


def _connections(events: Events) -> tuple[ConnectionLoad, ...]:
    opened, closed, awaited = (
        "connection-opened",
        "connection-closed",
        "connection-awaited",
    )
    return tuple(
        ConnectionLoad(
            upstream,
            len(found[opened]),
            dict(
                Counter(text_of(line, "reason") for line in found[closed]).most_common()
            ),
            Times.from_lines(found[awaited], "waited_s"),
            sum(line.get("is_reused") is True for line in found[awaited]),
        )
        for (upstream,), found in _group(
            events, (opened, closed, awaited), "upstream"
        ).items()
    )


def _memory(events: Events) -> tuple[MemoryLoad, ...]:
    # Only refusals for lack of memory state the memory in use.
    refused = [
        line for line in events.get("request-refused", ()) if "used_bytes" in line
    ]
    names = ("memory-budget", "memory-near", "memory-eased", "request-refused")
    groups = _group({**events, "request-refused": refused}, names, "node")
    return tuple(_memory_of(node, found) for (node,), found in groups.items())


def _memory_of(node: str, found: Events) -> MemoryLoad:
    lines = [line for group in found.values() for line in group]
    used = [size for line in lines if (size := count_of(line, "used_bytes"))]
    newest = max(lines, key=line_unix_s)
    return MemoryLoad(
        node,
        count_of(newest, "limit_bytes"),
        max(used, default=None),
        len(found["memory-near"]),
        len(found["request-refused"]),
    )


def _dropped(events: Events) -> dict[str, int]:
    dropped: Counter[str] = Counter()
    for line in events.get("lines-dropped", ()):
        dropped[text_of(line, "node")] += count_of(line, "count") or 0
    return dict(sorted(dropped.items()))
