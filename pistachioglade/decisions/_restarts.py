"""When background work that failed starts again, and when it is given up.

The fault it answers: work that a program lives by (a copy of a list, the look for the
store) ended with an unforeseen error, and the program served on without it for the rest
of its life.
"""

from __future__ import annotations

from typing import Final

#: Pause behind the first failure: most come from one answer or one object, and a list
#: that is followed again within half a second is news for no caller.
_FIRST_PAUSE_S: Final = 0.1
#: Longest pause: what a node believes may be that old.
_LONGEST_PAUSE_S: Final = 5.0
#: Time for which work has to have run for its earlier failures to be forgotten: longer
#: than all pauses together.
_SOUND_S: Final = 30.0
#: Failures in a row at which work is given up. The process ends in order then, and the
#: platform starts it anew.
_MOST_FAILURES: Final = 8


def failures_in_a_row(earlier: int, ran_s: float) -> int:
    """Return the failures in a row once work that ran so long has failed."""
    return 1 if ran_s >= _SOUND_S else earlier + 1


def is_hopeless(failures: int) -> bool:
    """Whether work that has failed so often in a row is given up."""
    return failures >= _MOST_FAILURES


def restart_pause_s(failures: int, spread: float) -> float:
    """Return the pause before the next start.

    ``spread`` is a random number from 0 to 1: nodes that one object has stopped don't
    come back to the store in the same moment.
    """
    longest_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2.0 ** (failures - 1))
    return longest_s * (1.0 + spread) / 2.0
