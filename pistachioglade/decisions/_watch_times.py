"""Sets how long a watch of the store is held, and when the watch counts as lost.

Expected load: the store is silent for a few tenths of a second. It reads the watches
that arrive in that time and never answers them. Other calls are answered before and
after the silence, so that nothing else shows the loss. In a simulation, each entry
waited for such a watch for 11 s, and handled requests by an older configuration.

A watch without changes is a confirmation that a copy is current. The holds are so short
that a lost confirmation is noticed within the time for which an old copy may be used.
"""

from __future__ import annotations

from typing import Final

#: Age of a copy at which the store ends a watch without changes, as a fraction of the
#: time for which an old copy may be used.
_HOLD_FRACTION: Final = 0.5
#: Shortest hold as a fraction of the same time. A watch is held even if the copy is
#: older, since a watch that returns at once would be followed by the next one.
_MIN_HOLD_FRACTION: Final = 0.05
#: Time for the answer after the hold, as a fraction of the same time. Together with the
#: hold it leaves a quarter for the next watch.
_ANSWER_FRACTION: Final = 0.25
#: Age from which a copy may lack changes, as a fraction of the same time: the hold and
#: a slow answer.
_CURRENT_FRACTION: Final = 0.65


def watch_hold_s(bound_s: float, age_s: float) -> float:
    """Return the hold of a watch, in seconds.

    ``bound_s`` is the time for which an old copy may be used, and ``age_s`` the time
    since the copy was last confirmed.
    """
    return max(_MIN_HOLD_FRACTION * bound_s, _HOLD_FRACTION * bound_s - age_s)


def watch_answer_time_s(bound_s: float) -> float:
    """Return the time for a watch's answer after the hold, in seconds."""
    return _ANSWER_FRACTION * bound_s


def is_copy_current(bound_s: float, age_s: float) -> bool:
    """Whether a copy of this age may be passed on as current."""
    return age_s <= _CURRENT_FRACTION * bound_s
