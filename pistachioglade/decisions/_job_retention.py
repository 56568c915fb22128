"""When a job's objects are removed from the store.

Without removal, trainers leave about a megabyte of results in the store for every step,
and every entry keeps each submission in memory.
"""

from __future__ import annotations

from typing import Final

#: Time beyond the promised retention, since the nodes' clocks differ by some seconds.
_CLOCK_SLACK_S: Final = 10.0
#: Multiple of the promised retention after which a job is removed although its trainer
#: never ended it.
_ABANDONED_FACTOR: Final = 5.0


def has_retention_expired(age_s: float, retention_s: float, is_ended: bool) -> bool:
    """Return whether a job's retention has expired.

    ``age_s`` counts from the job's submission. Results are promised for ``retention_s``
    and while the job is open.
    """
    factor = 1.0 if is_ended else _ABANDONED_FACTOR
    return age_s > retention_s * factor + _CLOCK_SLACK_S
