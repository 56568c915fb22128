"""Prefers an instance with an idle connection among instances that are alike.

Expected load: a few requests per second of each entry to some twenty-five instances,
where opening a connection costs some milliseconds at both ends.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from ._instance_record import InstanceRecord

#: Time to open a connection, in seconds: instances whose expected answers differ by
#: less are alike.
_OPENING_TIME_S: Final = 0.005


def prefer_idle_connection(
    chosen: str,
    records: Iterable[tuple[str, InstanceRecord]],
    has_idle: Callable[[str], bool],
    now_s: float,
    units: int = 1,
) -> str:
    """Return ``chosen``, or an instance that is alike and has an idle connection.

    ``records`` are the instances that may take the request, with ``chosen`` among them.
    ``units`` is the expected number of events; 1 for a lookup.
    """
    known = dict(records)
    best = known.get(chosen)
    if best is None or has_idle(chosen):
        return chosen
    others = (
        name
        for name, record in known.items()
        if name != chosen and _is_alike(record, best, now_s, units) and has_idle(name)
    )
    return min(others, default=chosen)


def _is_alike(
    record: InstanceRecord, best: InstanceRecord, now_s: float, units: int
) -> bool:
    """Whether an instance has as much room as the chosen one and the same pace."""
    if record.is_in_cooldown(now_s) or record.sample_capacity(now_s) <= 0:
        return False
    load, best_load = record.load(now_s), best.load(now_s)
    if record.domain != best.domain or load * best.slots > best_load * record.slots:
        return False
    if record.is_slowed(now_s):
        return False
    gap_s, best_gap_s = record.expected_gap_s(now_s), best.expected_gap_s(now_s)
    if gap_s is None or best_gap_s is None:
        return gap_s is best_gap_s
    return (gap_s - best_gap_s) * max(1, units) <= _OPENING_TIME_S
