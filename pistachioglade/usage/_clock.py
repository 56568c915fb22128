"""The time of day, unmoved by steps of the machine's clock."""

from __future__ import annotations

import time
from collections.abc import Callable


def _steady_s() -> float:
    """Return a steady time that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """Reads the time of day once, and goes on from there by the steady clock.

    A machine whose clock had been moved when the process started is corrected by the
    clocks of the other entries.
    """

    def __init__(
        self,
        steady_s: Callable[[], float] = _steady_s,
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        self._steady_s = steady_s
        self._offset_s = unix_s() - steady_s()

    def now_s(self) -> float:
        """Return the time of day, in seconds since the epoch."""
        return self._steady_s() + self._offset_s

    def correct(self, difference_s: float) -> None:
        """Advance the clock by a difference in seconds, which may be negative."""
        self._offset_s += difference_s
