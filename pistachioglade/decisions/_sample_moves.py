"""Decides which running samples leave their engine for a better one.

Expected load: some hundred running samples on engines of which a third may always be
slower, and single engines that turn slow for some seconds. Each move closes a
connection and opens another one, and the next engine reads prompt and text again. A
slower engine is no reason to move as long as the sample ends in time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Sequence
from enum import Enum
from typing import Final

import attrs

from ._sample_placement import (
    RESULT_TIME_S,
    EngineOption,
    SampleNeeds,
    duration_s,
)

#: Time that a move costs: prompt and text are read again, and a connection is closed
#: and opened at both ends.
MOVE_COST_S: Final = 0.3
#: Least gain of a move away from an engine that is in order, after the cost of the
#: move. Estimates of the remaining length are wrong by as much.
_MIN_GAIN_S: Final = 2.0 * MOVE_COST_S
#: Time before the last moment of a move at which a sample looks for a free slot.
_SPARE_S: Final = 2.0


class MoveReason(Enum):
    """Why a running sample leaves its engine."""

    # The engine is much slower than it usually is.
    SLOWED = "slowed"
    # The sample is expected to end after its step is due.
    LATE = "late"
    # The sample may end after its step is due, and could soon no longer end in time at
    # the better engine either.
    AT_RISK = "at-risk"


@attrs.frozen
class Move:
    """A running sample leaves its engine."""

    # Why the sample leaves.
    reason: MoveReason
    # Engine that has a slot for the sample.
    target: str
    # Expected end at the present engine, as a monotonic time in seconds.
    end_here_s: float
    # Expected end at the target, with the cost of the move.
    end_there_s: float

    @property
    def gain_s(self) -> float:
        """Time by which the sample is expected to end sooner."""
        return self.end_here_s - self.end_there_s


@attrs.frozen
class _Ends:
    """Expected ends of a running sample at different engines."""

    # What the sample needs until its end.
    needs: SampleNeeds
    # Time of an event at an engine of unknown pace, in seconds; None if all are.
    usual_s: float | None
    # Monotonic time in seconds.
    now_s: float

    def _after_s(self, option: EngineOption, events: float) -> float:
        return self.now_s + duration_s(option.record, events, self.usual_s, self.now_s)

    def expected_s(self, option: EngineOption) -> float:
        """Return the expected end."""
        return self._after_s(option, self.needs.expected_events)

    def high_s(self, option: EngineOption) -> float:
        """Return the time by which 49 of 50 such samples end."""
        return self._after_s(option, self.needs.high_events)

    def is_late(self, end_s: float, margin_s: float) -> bool:
        """Whether an end leaves less than a margin until the step is due."""
        return end_s + margin_s > self.needs.due_s

    def move(self, here: EngineOption, there: EngineOption) -> Move | None:
        """Return the move to another engine; None if the sample stays for now."""
        if here.record.is_slowed(self.now_s):
            reason, is_high, least_gain_s = MoveReason.SLOWED, False, 0.0
        elif self.is_late(self.expected_s(here), RESULT_TIME_S):
            reason, is_high, least_gain_s = MoveReason.LATE, False, _MIN_GAIN_S
        elif self.is_late(self.high_s(there), RESULT_TIME_S + MOVE_COST_S + _SPARE_S):
            reason, is_high, least_gain_s = MoveReason.AT_RISK, True, _MIN_GAIN_S
        else:
            return None
        end_s = self.high_s if is_high else self.expected_s
        move = Move(reason, there.id, end_s(here), end_s(there) + MOVE_COST_S)
        return move if move.gain_s > least_gain_s else None


class MovePlan:
    """The moves of one scheduling pass.

    No more samples leave for an engine than it has free slots.
    """

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s
        # Samples that leave for an engine in this pass.
        self._leaving_for: Counter[str] = Counter()

    def consider(
        self,
        needs: SampleNeeds,
        here: EngineOption,
        others: Sequence[EngineOption],
        avoided: Container[str],
        usual_s: float | None,
    ) -> Move | None:
        """Return the move of a running sample; None if it stays.

        ``avoided`` are the engines that the sample has left before. ``usual_s`` is the
        time of an event at an engine whose own pace is unknown.
        """
        ends = _Ends(needs, usual_s, self._now_s)
        is_slowed = here.record.is_slowed(self._now_s)
        if not is_slowed and not ends.is_late(ends.high_s(here), RESULT_TIME_S):
            return None
        targets = [
            option
            for option in others
            if option.id not in avoided and self._has_room(option, needs)
        ]
        best = min(targets, key=lambda item: (ends.high_s(item), item.id), default=None)
        if best is None:
            return None
        move = ends.move(here, best)
        if move is not None:
            self._leaving_for[best.id] += 1
        return move

    def _has_room(self, option: EngineOption, needs: SampleNeeds) -> bool:
        record = option.record
        free = record.sample_capacity(self._now_s) - self._leaving_for[option.id]
        return (
            free > 0
            and not record.is_in_cooldown(self._now_s)
            and not record.is_slowed(self._now_s)
            and option.missing_tokens(needs) == 0.0
        )
