"""When a job's objects leave the store.

The load it answers: a deployment's trainers leave about a megabyte of results in the
store for every step, for good, and every entry remembers each submission.
"""

from __future__ import annotations

from typing import Final

#: Time beyond the promised one, for clocks of nodes that differ by some seconds.
_CLOCK_SLACK_S: Final = 10.0
#: Times the promised one after which a job that its trainer never ended goes as well.
_ABANDONED_TIMES: Final = 5.0


def may_forget(age_s: float, retention_s: float, is_ended: bool) -> bool:
    """Return whether nobody may expect a job's results any more.

    ``age_s`` counts from its submission; its results are promised for ``retention_s``
    and while it is open.
    """
    times = 1.0 if is_ended else _ABANDONED_TIMES
    return age_s > retention_s * times + _CLOCK_SLACK_S
