"""What the ``load`` command shows of the decisions under load."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Self

import attrs

from ..report import LogLine
from ._log_fields import number_of


@attrs.frozen
class Times:
    """Number, mean and maximum of times."""

    # Number of times.
    count: int = 0
    # Mean in seconds; None without any time.
    mean_s: float | None = None
    # Maximum in seconds; None without any time.
    largest_s: float | None = None

    @classmethod
    def from_lines(cls, lines: Iterable[LogLine], name: str) -> Self:
        """Return the times that a field of the lines states."""
        times_s = [
            time_s for line in lines if (time_s := number_of(line, name)) is not None
        ]
        return cls.from_times(times_s)

    @classmethod
    def from_times(cls, times_s: Sequence[float]) -> Self:
        """Return the summary of times in seconds."""
        if not times_s:
            return cls()
        return cls(len(times_s), sum(times_s) / len(times_s), max(times_s))


@attrs.frozen
class QueueLoad:
    """Waits of an account's lookups and streams for an upstream.

    Requests that start at once are not logged; a request that is tried again may wait
    again.
    """

    # Name of the upstream.
    upstream: str
    # Name of the account; empty without one.
    account: str
    # Requests that began to wait.
    queued: int
    # Of these, requests that returned after a refusal.
    returning: int
    # Requests that started after a wait.
    started: int
    # Requests that were refused, by a reason other than displacement.
    refused: int
    # Requests that were refused since a more urgent request arrived.
    displaced: int
    # Requests whose callers left while they waited.
    left: int
    # Refused and displaced requests by reason.
    reasons: dict[str, int]
    # Waits of the requests that started.
    waits: Times
    # Waits of the refused and displaced requests, by the times of their lines; those
    # that were refused at once have waited 0 s.
    refused_waits: Times
    # Most requests, of all accounts, that waited at one entry.
    most_waiting: int


@attrs.frozen
class PaceLoad:
    """What the newest line tells of the pace of an instance."""

    # Id of the instance.
    instance: str
    # Entry that logged the line.
    node: str
    # State: usual or slowed.
    state: str
    # Basis: own observations, or the report of another entry.
    basis: str
    # Time of a unit of work in seconds, lastingly; None if unknown.
    lasting_s: float | None
    # Time of a unit of work in seconds, recently; None if unknown.
    recent_s: float | None
    # Age of the observation when the line was logged, in seconds.
    age_s: float | None
    # Time from the line to the last line of the logs, in seconds.
    logged_before_s: float | None
    # Last PERCENT of the machine; None if unknown.
    machine_percent: float | None
    # Age of the PERCENT when the line was logged, in seconds.
    percent_age_s: float | None
    # Lines, of all entries, that the instance is slowed.
    slowed: int
    # Number of entries with such a line.
    slowed_at: int


@attrs.frozen
class MoveLoad:
    """Running samples that left their engines for one reason."""

    # Reason.
    reason: str
    # Number of moves.
    moves: int
    # Expected gains, in seconds.
    gains: Times


@attrs.frozen
class ShareLoad:
    """What a job owner last logged of a trainer whose samples waited."""

    # Name of the upstream.
    upstream: str
    # Name of the trainer.
    trainer: str
    # Entry that owns the jobs.
    node: str
    # Samples that wait.
    waiting: int | None
    # Part of the slots that the trainer is due, from 0 to 1.
    share: float | None
    # Tokens of the window divided by the weight.
    level_tokens: int | None
    # Time since tokens were last counted when the line was logged, in seconds.
    counted_before_s: float | None
    # Time from the line to the last line of the logs, in seconds.
    logged_before_s: float | None
    # Whether the owner's last line names the trainer.
    is_held_back: bool


@attrs.frozen
class RefusalLoad:
    """Requests that callers saw refused with one kind and reason."""

    # Kind of the refusal.
    kind: str
    # Reason, with each number replaced by "N".
    reason: str
    # Number of refused requests.
    requests: int
    # Of these, requests that are known not to have run.
    not_run: int


@attrs.frozen
class ConnectionLoad:
    """Connections to the instances of an upstream."""

    # Name of the upstream.
    upstream: str
    # Connections that were opened.
    opened: int
    # Connections that were closed, by reason.
    closed: dict[str, int]
    # Waits for a connection at the limit.
    awaited: Times
    # Of these waits, those that ended with an idle connection.
    reused: int


@attrs.frozen
class MemoryLoad:
    """The memory budget of an entry."""

    # Name of the entry.
    node: str
    # Budget in bytes; None without a bound, or if no line tells it.
    limit_bytes: int | None
    # Largest use that a line states, in bytes.
    most_used_bytes: int | None
    # Lines that the use is near the budget.
    near: int
    # Requests that were refused for lack of memory.
    refused: int


@attrs.frozen
class LoadPage:
    """Decisions under load that log lines show."""

    # Waits by upstream and account.
    queues: tuple[QueueLoad, ...]
    # Paces by instance.
    paces: tuple[PaceLoad, ...]
    # Moves by reason.
    moves: tuple[MoveLoad, ...]
    # Samples that waited for a faster engine.
    item_waits: int
    # Shares by upstream, trainer and owner.
    shares: tuple[ShareLoad, ...]
    # Refusals by kind and reason.
    refusals: tuple[RefusalLoad, ...]
    # Connections by upstream.
    connections: tuple[ConnectionLoad, ...]
    # Memory by entry.
    memory: tuple[MemoryLoad, ...]
    # Lines that the programs dropped, by node; all counts are too low by these.
    dropped_lines: dict[str, int]
