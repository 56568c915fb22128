"""Counters of begun requests, by run of an entry, window and account.

Counters only grow, and two states of a counter merge to the larger one. Repeated, late
and reordered copies are therefore harmless.
"""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import Final

import attrs

#: Largest count that another entry may send.
_MAX_COUNT: Final = 2**53

#: Number of begun requests by account.
Counts = Mapping[str, int]


@attrs.define
class UsageCounters:
    """All counters that an entry knows."""

    # Run of this process.
    run: str
    # Number of the latest windows whose counters are kept.
    kept_windows: int
    # Counters by window and run.
    _windows: defaultdict[int, dict[str, Counter[str]]] = attrs.field(
        factory=lambda: defaultdict(dict)
    )
    # Windows that were counted here since the last copy was sent.
    _changed: set[int] = attrs.field(factory=set)
    _has_changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def count(self, account: str, window: int) -> None:
        """Count one request of an account."""
        self._windows[window].setdefault(self.run, Counter())[account] += 1
        self._changed.add(window)
        self._has_changed.set()
        self._forget_old()

    async def wait_for_change(self) -> None:
        """Wait until there are counts that were not copied."""
        await self._has_changed.wait()

    def take_changed(self) -> dict[int, dict[str, int]]:
        """Return this process's counters of the windows with changes."""
        changed, self._changed = self._changed, set()
        self._has_changed.clear()
        return {
            window: dict(self._windows[window][self.run])
            for window in changed
            if self.run in self._windows.get(window, ())
        }

    def mark_changed(self, windows: Mapping[int, Counts]) -> None:
        """Let the next copy have these windows again, since the last one was lost."""
        self._changed.update(windows)
        self._has_changed.set()

    def merge(self, run: str, windows: Mapping[int, Counts]) -> None:
        """Merge the counters of another run."""
        for window, counts in windows.items():
            known = self._windows[window].setdefault(run, Counter())
            known |= Counter({key: min(n, _MAX_COUNT) for key, n in counts.items()})
        self._forget_old()

    def known(self, window: int) -> dict[str, dict[str, int]]:
        """Return all counters of a window, by run."""
        runs = self._windows.get(window, {})
        return {run: dict(counts) for run, counts in runs.items()}

    def total(self, window: int) -> dict[str, int]:
        """Return the number of requests of each account in a window."""
        runs = self._windows.get(window, {}).values()
        return dict(sum(runs, Counter()))

    def _forget_old(self) -> None:
        for window in sorted(self._windows)[: -self.kept_windows]:
            del self._windows[window]
            self._changed.discard(window)
