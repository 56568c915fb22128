"""Compares the run of an instance in an entry of the list with the known run.

An instance may restart under the same id. The new run has no state of the earlier run,
and a list entry of the earlier run may still arrive later.
"""

from __future__ import annotations

from enum import Enum


class InstanceRun(Enum):
    """How the run in a list entry relates to the known run."""

    # The known run, or a run that can't be distinguished from the known run.
    KNOWN = "known"
    # A later run: all that is known of the instance belongs to a run that has ended.
    LATER = "later"
    # An earlier run: the entry arrives late.
    EARLIER = "earlier"
    # No run: the entry has no birth time, though the known run has a birth time.
    UNNAMED = "unnamed"


def classify_run(known_born_ms: int, entry_born_ms: int) -> InstanceRun:
    """Return how an entry's run relates to the known run.

    Both runs are given by their birth time in Unix milliseconds; 0 if unknown.
    """
    if known_born_ms in (0, entry_born_ms):
        return InstanceRun.KNOWN
    if not entry_born_ms:
        return InstanceRun.UNNAMED
    is_later = entry_born_ms > known_born_ms
    return InstanceRun.LATER if is_later else InstanceRun.EARLIER
