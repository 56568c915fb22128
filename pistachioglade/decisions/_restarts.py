"""Decides when failed background work restarts, and when to give it up.

Prevented fault: background work that a program depends on (a copy of a list, the search
for a route to the store) ended with an unforeseen error, and the program served without
that work for the rest of its life.
"""

from __future__ import annotations

from typing import Final

#: Pause after the first failure. Most failures come from a single answer or object, and
#: callers don't notice if a list is followed again within half a second.
_FIRST_PAUSE_S: Final = 0.1
#: Longest pause. A node's copy of stored state may be that old.
_LONGEST_PAUSE_S: Final = 5.0
#: Run time after which the earlier failures of the work no longer count: longer than
#: all pauses together.
_FAILURE_RESET_S: Final = 30.0
#: Consecutive failures from which work is given up. The process then shuts down in an
#: orderly way, and the platform restarts the process.
_MAX_FAILURES: Final = 8


def consecutive_failures(earlier: int, ran_s: float) -> int:
    """Return the number of consecutive failures after work failed.

    ``earlier`` is the number before, ``ran_s`` the run time of the work in seconds.
    """
    return 1 if ran_s >= _FAILURE_RESET_S else earlier + 1


def should_give_up(failures: int) -> bool:
    """Whether work with this number of consecutive failures is given up."""
    return failures >= _MAX_FAILURES


def restart_pause_s(failures: int, spread: float) -> float:
    """Return the pause before the next start, in seconds.

    ``spread`` is a random number from 0 to 1. The spread keeps nodes whose work failed
    at the same object from calling the store at the same time.
    """
    longest_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2.0 ** (failures - 1))
    return longest_s * (1.0 + spread) / 2.0
