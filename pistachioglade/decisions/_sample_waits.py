"""Decides which samples wait for a slot at a faster engine.

Expected load: bursts of more samples than the faster engines have slots. Any sample may
turn out to be a long one, which would end late at a slow engine or would have to move.
At the faster engines slots become free many times a second, so most samples end sooner
after a short wait. Samples that end in time anywhere take the slow engines meanwhile.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Container, Iterable
from typing import Final

import attrs

from ._sample_placement import RESULT_TIME_S, EngineOption, SampleNeeds, duration_s

#: Longest wait of a sample while slots are free: a fifth of a step's usual time.
MAX_SLOT_WAIT_S: Final = 1.5
#: Time by which a sample has to end sooner for its wait. Expected ends of the samples
#: that hold the slots are wrong by as much.
_MIN_GAIN_S: Final = 0.3


def may_end_late(
    needs: SampleNeeds, option: EngineOption, usual_s: float | None, now_s: float
) -> bool:
    """Whether one of 50 such samples would end after the due time at an engine."""
    high_s = duration_s(option.record, needs.high_events, usual_s, now_s)
    return now_s + high_s + RESULT_TIME_S > needs.due_s


@attrs.frozen
class ExpectedEnd:
    """The expected end of a running sample, whose slot another one may take."""

    # Monotonic time in seconds.
    end_s: float
    # Engine that runs the sample.
    option: EngineOption

    @classmethod
    def of(
        cls,
        option: EngineOption,
        needs: SampleNeeds,
        usual_s: float | None,
        now_s: float,
    ) -> ExpectedEnd:
        """Return the end of a sample that runs, or starts now, at an engine."""
        left_s = duration_s(option.record, needs.expected_events, usual_s, now_s)
        return cls(now_s + left_s, option)


class SlotForecast:
    """Slots that are expected to become free, for one scheduling pass.

    Each of them is promised to one waiting sample at most.
    """

    def __init__(self, ends: Iterable[ExpectedEnd], now_s: float) -> None:
        self._now_s = now_s
        self._ends = sorted(ends, key=lambda end: end.end_s)

    def record_start(
        self, needs: SampleNeeds, option: EngineOption, usual_s: float | None
    ) -> None:
        """Add the expected end of a sample that starts in this pass."""
        end = ExpectedEnd.of(option, needs, usual_s, self._now_s)
        insort(self._ends, end, key=lambda end: end.end_s)

    def should_wait(
        self,
        needs: SampleNeeds,
        chosen: EngineOption,
        usual_s: float | None,
        eligible: Container[str],
        waiting_since_s: float | None,
    ) -> bool:
        """Whether a sample waits instead of starting at the chosen engine.

        ``eligible`` are the engines that may run the sample. ``waiting_since_s`` is the
        time since which the sample waits for a faster engine; None if it does not yet.
        """
        now_s = self._now_s
        if waiting_since_s is not None and now_s - waiting_since_s > MAX_SLOT_WAIT_S:
            return False
        if not may_end_late(needs, chosen, usual_s, now_s):
            return False
        latest_s = (
            now_s
            - _MIN_GAIN_S
            + duration_s(chosen.record, needs.expected_events, usual_s, now_s)
        )
        for index, end in enumerate(self._ends):
            if end.end_s >= latest_s:
                return False
            record = end.option.record
            if (
                end.option.id in eligible
                and not record.is_slowed(now_s)
                and not record.is_in_cooldown(now_s)
                and end.end_s
                + duration_s(record, needs.expected_events, usual_s, now_s)
                < latest_s
            ):
                del self._ends[index]
                return True
        return False
