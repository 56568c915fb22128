"""Chooses the engine at which a sample is expected to end soonest.

Expected load: bursts of some hundred samples with a long tail of lengths, on engines of
which a third may always take a multiple of the others' time per event. A long sample
that starts at a slow engine ends after its step is due, or has to move; a short one
ends in time anywhere. Engines are shared with other job owners, whose starts become
known late, so free slots are spread among engines that are alike.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Sequence
from typing import Final

import attrs

from ._instance_choice import (
    OTHER_OWNER_PENALTY,
    SHARED_PROMPT_BONUS,
    SLOW_PENALTY,
)
from ._instance_record import InstanceRecord

#: Fraction of the shortest duration by which an engine's duration may exceed it without
#: effect. Other requests on an engine and network delays change an event gap by as
#: much.
_DURATION_TOLERANCE: Final = 0.1
#: Delay of a sample at an engine that counts as much as a fully loaded engine.
_FULL_LOAD_DELAY_S: Final = 1.0
#: Time to read a group's prompt, which an engine that has the prompt cached saves.
_PROMPT_READ_S: Final = 0.02
#: Time for which the present speed of an engine's machine is expected to last. Machines
#: that are shared with other work change their speed about twice a second.
_PRESENT_PACE_S: Final = 0.6
#: Time from the end of a text until its result can be read: a reward call and a write.
RESULT_TIME_S: Final = 0.4


@attrs.frozen
class SampleNeeds:
    """What a sample is expected to need of an engine."""

    # Expected remaining events.
    expected_events: float
    # Remaining events that 49 of 50 such samples don't exceed.
    high_events: float
    # Expected tokens of prompt and output at the sample's end.
    tokens: float = 0.0
    # Monotonic time at which the sample's step is due, in seconds; infinity without a
    # due time.
    due_s: float = float("inf")


@attrs.frozen
class EngineOption:
    """An engine that may run a sample."""

    # Id of the instance.
    id: str
    # Load and pace of the instance.
    record: InstanceRecord
    # Memory that the expected tokens of the samples there leave, in tokens; None if the
    # memory is unknown.
    free_tokens: float | None = None

    def missing_tokens(self, needs: SampleNeeds) -> float:
        """Return the tokens of a sample for which the memory has no room."""
        if self.free_tokens is None:
            return 0.0
        return max(0.0, needs.tokens - self.free_tokens)


def duration_s(
    record: InstanceRecord, events: float, usual_s: float | None, now_s: float
) -> float:
    """Return the expected time of some events at an engine; 0 if no pace is known.

    ``usual_s`` is the time of an event at an engine whose own pace is unknown. The
    present pace counts for as long as it usually lasts, then the lasting pace; at an
    engine with a fault, whose end is unknown, the present pace counts throughout.
    """
    present_s = record.expected_gap_s(now_s)
    if present_s is None:
        present_s = record.lasting_gap_s() or usual_s
    if not present_s:
        return 0.0
    lasting_s = record.lasting_gap_s()
    if lasting_s is None or record.is_slowed(now_s):
        return events * present_s
    present_events = min(events, _PRESENT_PACE_S / present_s)
    return present_events * present_s + (events - present_events) * lasting_s


def fastest_engines(
    options: Iterable[EngineOption],
    needs: SampleNeeds,
    avoided: Container[str],
    usual_s: float | None,
    now_s: float,
) -> frozenset[str]:
    """Return the engines with a free slot at which a long sample ends soonest.

    Moves compare the same durations, so that a sample that moves for its due time does
    not start at an engine from which it would have to move again.
    """
    durations_s = {
        option.id: duration_s(option.record, needs.high_events, usual_s, now_s)
        for option in options
        if option.record.sample_capacity(now_s) > 0
        and not option.record.is_in_cooldown(now_s)
        and option.id not in avoided
    }
    longest_s = (1.0 + _DURATION_TOLERANCE) * min(durations_s.values(), default=0.0)
    return frozenset(
        name for name, time_s in durations_s.items() if time_s <= longest_s
    )


def choose_engine(
    options: Sequence[EngineOption],
    needs: SampleNeeds,
    prompt_holders: Iterable[str],
    avoided: Container[str],
    usual_s: float | None,
    now_s: float,
    preferred_by_others: Container[str] = frozenset(),
) -> str | None:
    """Return the engine for a sample; None while no engine has a free slot.

    ``prompt_holders`` run samples of the same group and have its prompt cached.
    ``avoided`` are the engines that the sample has left or was lost at. ``usual_s`` is
    the time of an event at an engine whose own pace is unknown.
    ``preferred_by_others`` are the engines that other job owners prefer.
    """
    usable = [
        option
        for option in options
        if option.record.sample_capacity(now_s) > 0
        and not option.record.is_in_cooldown(now_s)
        and option.id not in avoided
    ]
    durations_s = {
        option.id: duration_s(option.record, needs.expected_events, usual_s, now_s)
        for option in usable
    }
    longest_alike_s = (1.0 + _DURATION_TOLERANCE) * min(
        durations_s.values(), default=0.0
    )
    holders = frozenset(prompt_holders)

    def rank(option: EngineOption) -> tuple[bool, float, str]:
        record = option.record
        missing_tokens = option.missing_tokens(needs)
        delay_s = max(0.0, durations_s[option.id] - longest_alike_s)
        shared = 0.0
        if option.id in holders:
            is_alike = delay_s == 0.0
            shared = (
                SHARED_PROMPT_BONUS if is_alike else _PROMPT_READ_S / _FULL_LOAD_DELAY_S
            )
        cost = (
            record.load(now_s) / record.slots
            - shared
            + (SLOW_PENALTY if record.is_slowed(now_s) else 0.0)
            + (OTHER_OWNER_PENALTY if option.id in preferred_by_others else 0.0)
            + delay_s / _FULL_LOAD_DELAY_S
            + (missing_tokens / needs.tokens if missing_tokens else 0.0)
        )
        return missing_tokens > 0.0, cost, option.id

    best = min(usable, key=rank, default=None)
    return None if best is None else best.id
