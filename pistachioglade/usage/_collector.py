"""Collects the counters of a window from all entries, and compares their clocks."""

from __future__ import annotations

import asyncio
from typing import Final

import attrs

from ..decisions import ReportTerms, clock_correction_s
from ..leases import Entries
from ..links import LinkPool
from ..logs import logger
from ..messages import FetchUsage, UsageKnown
from ._clock import Clock
from ._counters import UsageCounters

#: Timeout of one request to an entry.
_CALL_TIMEOUT_S: Final = 0.5
#: Pause before the entries that did not answer are asked again.
_RETRY_PAUSE_S: Final = 0.2
#: Longest time of a request after which its answer shows the other clock.
_MAX_CLOCK_ROUND_TRIP_S: Final = 0.1


@attrs.frozen
class _ClockDifference:
    """How far another entry's clock is ahead of this one's."""

    # Run of the entry's process to which the difference applies.
    run: str
    # The difference, in seconds.
    seconds: float


class UsageCollector:
    """Merges the counters of all entries into this entry's."""

    def __init__(
        self,
        entries: Entries,
        links: LinkPool,
        counters: UsageCounters,
        clock: Clock,
        terms: ReportTerms,
    ) -> None:
        self._entries = entries
        self._links = links
        self._counters = counters
        self._clock = clock
        self._terms = terms
        self._log = logger(__name__)
        # Differences measured in the current collection, by node.
        self._differences: dict[str, _ClockDifference] = {}
        # Corrections that the entries have not been told of, by node.
        self._corrections: dict[str, _ClockDifference] = {}

    async def collect(self, window: int) -> tuple[str, ...]:
        """Collect a window; return the entries that have not answered in time."""
        self._differences.clear()
        missing = {name for name in self._entries.names if name != self._entries.node}
        while True:
            names = tuple(missing)
            answered = await asyncio.gather(
                *(self._ask(name, window) for name in names)
            )
            missing -= {
                name for name, is_known in zip(names, answered, strict=True) if is_known
            }
            missing &= set(self._entries.names)
            if not missing or self._clock.now_s() >= self._terms.wait_until_s(window):
                break
            await asyncio.sleep(_RETRY_PAUSE_S)
        self._correct_clocks()
        return tuple(sorted(missing))

    async def _ask(self, node: str, window: int) -> bool:
        """Ask one entry; return whether it has answered."""
        sent_s = self._clock.now_s()
        correction = self._corrections.pop(node, _ClockDifference("", 0.0))
        answer = await self._links.call(
            self._entries.address_of_node(node),
            FetchUsage(window, correction.run, correction.seconds),
            _CALL_TIMEOUT_S,
        )
        if not isinstance(answer, UsageKnown):
            return False
        for run, counts in answer.runs.items():
            self._counters.merge(run, {window: counts})
        round_trip_s = self._clock.now_s() - sent_s
        if round_trip_s < _MAX_CLOCK_ROUND_TRIP_S:
            ahead_s = answer.unix_s - sent_s - round_trip_s / 2
            self._differences[node] = _ClockDifference(answer.run, ahead_s)
        return True

    def _correct_clocks(self) -> None:
        """Correct this clock by the majority's; note by how much the others are off."""
        measured = self._differences
        own_s = clock_correction_s(item.seconds for item in measured.values())
        if own_s:
            self._clock.correct(own_s)
            self._log.warning(
                "clock-corrected", by_s=round(own_s, 3), source="majority"
            )
        self._corrections = {
            node: _ClockDifference(item.run, own_s - item.seconds)
            for node, item in measured.items()
            if clock_correction_s((item.seconds - own_s,) * 2)
        }

    def answer(self, message: FetchUsage) -> UsageKnown:
        """Answer the entry that reports a window."""
        if message.run == self._counters.run and message.correction_s:
            self._clock.correct(message.correction_s)
            self._log.warning(
                "clock-corrected",
                by_s=round(message.correction_s, 3),
                source="reporting entry",
            )
        return UsageKnown(
            self._counters.known(message.window),
            self._counters.run,
            self._clock.now_s(),
        )
