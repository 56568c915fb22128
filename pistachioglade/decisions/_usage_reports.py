"""Decides when usage is reported, by which entry, and what the time of day is.

Expected load: some thousand requests of a hundred accounts in a window of a few
seconds, each report due some seconds after its window, while entries are killed, cut
off from the store or from the platform's API, and clocks are moved by seconds. A report
that is late or off by one request of a small account counts as missing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import ceil
from statistics import median
from typing import Final

import attrs

from ._hashing import rendezvous_order

#: Time from a window's end to its report, as a fraction of the time until the report
#: is due. Requests that began in the window end before; the rest of the time is left
#: for an outage of a few seconds.
_REPORT_FRACTION: Final = 0.3
#: Time for which the report waits for entries that don't answer, as such a fraction.
_WAIT_FRACTION: Final = 0.5
#: Time by which each further entry waits longer before it takes the duty over, as such
#: a fraction.
_RANK_FRACTION: Final = 0.12
#: Time without success after which a holder leaves the duty to another entry, as such a
#: fraction.
_GIVE_UP_FRACTION: Final = 0.2
#: Windows that the ledger keeps. A window whose report may still be repeated is one of
#: the latest.
MAX_LEDGER_WINDOWS: Final = 8
#: Windows after which a report that is overdue is not made any more.
_OVERDUE_WINDOWS: Final = 4
#: Largest difference between two clocks that is not corrected, in seconds.
_CLOCK_TOLERANCE_S: Final = 0.02


@attrs.frozen
class ReportTerms:
    """Windows and due times of the reports."""

    # Length of a window, in seconds.
    window_s: float
    # Time after a window's end by which its report is due, in seconds.
    delay_s: float

    def window_at(self, unix_s: float) -> int:
        """Return the number of the window that contains a time of day."""
        return int(unix_s // self.window_s)

    def end_s(self, window: int) -> float:
        """Return the end of a window, in seconds since the epoch."""
        return (window + 1) * self.window_s

    def due_s(self, window: int) -> float:
        """Return the time by which a window's report is due."""
        return self.end_s(window) + self.delay_s

    def report_s(self, window: int, rank: int) -> float:
        """Return the time at which the entry of a rank reports a window."""
        fraction = _REPORT_FRACTION + rank * _RANK_FRACTION
        return self.end_s(window) + fraction * self.delay_s

    def wait_until_s(self, window: int) -> float:
        """Return the time until which a report waits for entries without an answer."""
        return self.end_s(window) + _WAIT_FRACTION * self.delay_s

    def is_overdue(self, window: int, now_s: float) -> bool:
        """Return whether a window's report is too late to be made."""
        return now_s - self.due_s(window) > _OVERDUE_WINDOWS * self.window_s

    @property
    def kept_windows(self) -> int:
        """Number of the latest windows whose counters may still be reported."""
        return ceil(self.delay_s / self.window_s) + _OVERDUE_WINDOWS + 2

    @property
    def give_up_after_s(self) -> float:
        """Time without success after which a holder leaves the duty, in seconds."""
        return _GIVE_UP_FRACTION * self.delay_s


def copy_holder(own: str, domains: Mapping[str, str]) -> str | None:
    """Return the entry that keeps a copy of an entry's counters; None without another.

    ``domains`` has the failure domain of each entry. Another domain is preferred.
    """
    order = rendezvous_order(own, (name for name in domains if name != own))
    own_domain = domains.get(own, "")
    elsewhere = (name for name in order if domains[name] != own_domain)
    return next(elsewhere, next(iter(order), None))


def clock_correction_s(differences_s: Iterable[float]) -> float:
    """Return by how much this node's clock is behind the majority's, in seconds.

    ``differences_s`` are the other clocks less this one. A minority of clocks that have
    been moved by seconds doesn't change the median.
    """
    correction_s = median((0.0, *differences_s))
    return correction_s if abs(correction_s) > _CLOCK_TOLERANCE_S else 0.0
