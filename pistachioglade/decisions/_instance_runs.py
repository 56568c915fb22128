"""Which run of an instance an entry of the list tells of.

An instance may start again under its id; it then knows nothing of before, and an entry
of its earlier run may still arrive.
"""

from __future__ import annotations

from enum import Enum


class InstanceRun(Enum):
    """The run that an entry tells of, beside the one that is known."""

    # The known one, or one that can't be told from it.
    KNOWN = "known"
    # A later one: all that is believed of the instance is of a run that is over.
    LATER = "later"
    # An earlier one: the entry comes late.
    EARLIER = "earlier"
    # None: the entry names no birth, though the instance has one.
    UNNAMED = "unnamed"


def run_of(known_born_ms: int, told_born_ms: int) -> InstanceRun:
    """Return the run of an entry, by its birth in Unix milliseconds; 0 for none."""
    if known_born_ms in (0, told_born_ms):
        return InstanceRun.KNOWN
    if not told_born_ms:
        return InstanceRun.UNNAMED
    is_later = told_born_ms > known_born_ms
    return InstanceRun.LATER if is_later else InstanceRun.EARLIER
