"""Which instance of an upstream gets a request, and which are left alone for a while.

The load it answers: a few lookups a second beside bursts of some sixty samples from
several nodes at once, on instances that turn slow, silent or wrong without warning.
Each node sees its own requests at once and those of others by the instance's last word.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator, Sequence
from statistics import median_low
from typing import Final

import attrs

from ._instance_refusals import InstanceRefusal

#: Time for which an instance's word on its load is believed: about the work of two
#: lookups, or a tenth of a sample.
_LOAD_WORD_S: Final = 0.3
#: Time for which another home's samples count that it told of.
_TOLD_S: Final = 0.6
#: What leaving an engine to the home that prefers it is worth, as a part of the slots.
_PART_WORTH: Final = 0.5
#: First rest of an instance that failed; an instance that only dropped one answer is
#: back before the next burst.
_FIRST_REST_S: Final = 0.25
#: Longest rest: the list of instances drops a dead one within three heartbeats.
_LONGEST_REST_S: Final = 3.0
#: First pause of an instance that refused: about the time until one of its slots is
#: free.
_FIRST_PAUSE_S: Final = 0.06
#: Longest such pause: the end of a load of weights should be seen soon.
_LONGEST_PAUSE_S: Final = 0.25
#: Load, as a part of the slots, that staying in the failure domain may cost.
_DOMAIN_WORTH: Final = 0.34
#: What sharing a prompt with running samples is worth, as a part of the slots: a home
#: is left only once it is full.
_GROUP_WORTH: Final = 0.6
#: Added to the load of an instance that rests, is slow, or is full, so that such a one
#: is taken only if no other is left.
_SLOW_PENALTY: Final = 4.0
_REST_PENALTY: Final = 16.0
_FULL_PENALTY: Final = 8.0
#: An instance is slow when its events take so many times as long as the median's: the
#: speeds of sound instances differ by less than a third.
SLOW_FACTOR: Final = 1.6
#: Part by which an instance's pace may lie behind the fastest one's before it counts:
#: neighbours on an instance and the way of an event move it by as much.
_PACE_TOLERANCE: Final = 0.1
#: Time that a sample would lose at an instance that weighs as much as a full load.
_FULL_LOAD_WORTH_S: Final = 1.0
#: Weight of the newest gap in an instance's pace.
_PACE_WEIGHT: Final = 0.2
#: A gap so many times the pace is a halt (new weights, a preemption), not a pace.
_HALT_FACTOR: Final = 12.0
#: Time for which a pace is believed.
_PACE_WORD_S: Final = 6.0


def _refusal_pause_s(earlier: int) -> float:
    """Return the pause behind a refusal that so many others went before."""
    return float(min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2.0**earlier))


@attrs.define
class InstanceRecord:
    """What this node knows of one instance's load and conduct."""

    # Failure domain.
    domain: str
    # Requests that it runs at once.
    slots: int
    # Requests of this node there now.
    outstanding: int = 0
    # Samples of other homes, by home, with when they told of them.
    told: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    # Requests of other nodes, by the instance's last load report.
    others: int = 0
    # When it said so.
    others_s: float = float("-inf")
    # Failures since the last good answer.
    failures: int = 0
    # Refusals since the last good answer.
    refusals: int = 0
    # Until when it rests.
    rests_until_s: float = float("-inf")
    # Time between two events of a stream; None before any.
    event_gap_s: float | None = None
    # When the pace was last seen.
    paced_s: float = float("-inf")
    # Weight version that it was last seen with, by model.
    versions: dict[str, int] = attrs.field(factory=dict)
    # Until when it is taken to load a model's weights, by model.
    loads_until_s: dict[str, float] = attrs.field(factory=dict)
    # Refusals of a model since its last good answer, by model.
    load_refusals: dict[str, int] = attrs.field(factory=dict)
    # Whether it is left alone for a moment after a failure.
    may_rest: bool = True
    # Whether it has answered since it was listed, so that it is where the list says.
    has_answered: bool = True

    def load(self, now_s: float) -> int:
        """Return the requests that are there as far as this node can tell."""
        is_believed = now_s - self.others_s < _LOAD_WORD_S
        told = sum(
            count for count, told_s in self.told.values() if now_s - told_s < _TOLD_S
        )
        return self.outstanding + max(self.others if is_believed else 0, told)

    def free_slots(self, now_s: float) -> int:
        """Return the slots that are free as far as this node can tell."""
        return self.slots - self.load(now_s)

    def room(self, now_s: float) -> int:
        """Return the samples that it may be sent now.

        One that hasn't answered yet gets a single sample: a list may be of a time
        before all its instances were replaced.
        """
        free = self.free_slots(now_s)
        return free if self.has_answered else min(free, 1 - self.outstanding)

    def is_resting(self, now_s: float) -> bool:
        """Whether it failed a moment ago."""
        return self.may_rest and now_s < self.rests_until_s

    def told_load(self, running: int, waiting: int, now_s: float) -> None:
        """Take the instance's word on its load."""
        self.others = max(0, running + waiting - self.outstanding)
        self.others_s = now_s

    def refused(
        self, kind: InstanceRefusal, now_s: float, model: str | None = None
    ) -> None:
        """Count a refusal, of a model's requests where it loads weights."""
        if kind is InstanceRefusal.LOADING and model is not None:
            earlier = self.load_refusals.get(model, 0)
            self.load_refusals[model] = earlier + 1
            self.loads_until_s[model] = now_s + _refusal_pause_s(earlier)
            return
        pause_s = _refusal_pause_s(self.refusals)
        self.refusals += 1
        self.rests_until_s = max(self.rests_until_s, now_s + pause_s)

    def sent(self, model: str, now_s: float) -> None:
        """Take that a request of a model goes there.

        Where the last one was refused for a load, others wait for this one's answer.
        """
        if self.load_refusals.get(model):
            self.loads_until_s[model] = now_s + _LONGEST_PAUSE_S

    def is_loading(self, model: str, now_s: float) -> bool:
        """Whether it refused this model's requests a moment ago."""
        return now_s < self.loads_until_s.get(model, now_s)

    def answered(self, model: str | None = None) -> None:
        """Count a good answer, to a request of a model where it has one."""
        self.has_answered = True
        self.failures = 0
        self.refusals = 0
        self.rests_until_s = float("-inf")
        if model is not None:
            self.loaded(model)

    def loaded(self, model: str) -> None:
        """Take that it runs a request of a model."""
        self.load_refusals.pop(model, None)
        self.loads_until_s.pop(model, None)

    def failed(self, now_s: float) -> None:
        """Count a failure; each that follows doubles the rest."""
        rest_s = min(_LONGEST_REST_S, _FIRST_REST_S * 2.0**self.failures)
        self.failures += 1
        self.rests_until_s = max(self.rests_until_s, now_s + rest_s)

    def paced(self, gap_s: float, now_s: float) -> None:
        """Take the time between two events of one stream."""
        known_s = self.event_gap_s
        is_old = now_s - self.paced_s > _PACE_WORD_S
        self.paced_s = now_s
        if known_s is None or is_old:
            self.event_gap_s = gap_s
        elif gap_s < known_s * _HALT_FACTOR:
            self.event_gap_s = known_s + _PACE_WEIGHT * (gap_s - known_s)

    def pace_s(self, now_s: float) -> float | None:
        """Return the pace, unless it is too old to tell anything."""
        return self.event_gap_s if now_s - self.paced_s < _PACE_WORD_S else None


def usual_pace_s(records: Iterable[InstanceRecord], now_s: float) -> float | None:
    """Return the median pace of the instances that have one; of two, the faster's.

    While weights load, a job often has two instances to choose from: their mean would
    hide that one of them takes two and a half times as long as the other.
    """
    paces = [pace for item in records if (pace := item.pace_s(now_s)) is not None]
    return median_low(paces) if paces else None


def _paces(
    records: Iterable[tuple[str, InstanceRecord]], now_s: float
) -> Iterator[float]:
    known = (record.pace_s(now_s) for _, record in records)
    return (pace_s for pace_s in known if pace_s is not None)


def is_slow(record: InstanceRecord, usual_s: float | None, now_s: float) -> bool:
    """Whether an instance makes events much more slowly than its peers."""
    pace_s = record.pace_s(now_s)
    return pace_s is not None and usual_s is not None and pace_s > SLOW_FACTOR * usual_s


def choose_for_call(
    records: Sequence[tuple[str, InstanceRecord]], own_domain: str, now_s: float
) -> str | None:
    """Return the instance for a lookup: near, sound and with room."""

    def rank(item: tuple[str, InstanceRecord]) -> tuple[float, str]:
        name, record = item
        load = record.load(now_s) / record.slots
        far = 0.0 if record.domain == own_domain else _DOMAIN_WORTH
        full = _FULL_PENALTY if record.free_slots(now_s) <= 0 else 0.0
        rest = _REST_PENALTY if record.is_resting(now_s) else 0.0
        return load + far + full + rest, name

    best = min(records, key=rank, default=None)
    return None if best is None else best[0]


def choose_for_sample(
    records: Sequence[tuple[str, InstanceRecord]],
    homes: Iterable[str],
    avoid: str | None,
    now_s: float,
    events_left: int = 0,
    others: Container[str] = frozenset(),
) -> str | None:
    """Return the instance for a sample, None while none has a free slot.

    ``homes`` run samples of the same group and hold its prompt. ``avoid`` is the
    instance that the sample has just been lost at. ``events_left`` is the length that
    is expected of it: long ones go to fast instances. ``others`` are instances that
    other homes prefer.
    """
    usual_s = usual_pace_s((record for _, record in records), now_s)
    fastest_s = min(_paces(records, now_s), default=0.0)
    preferred = frozenset(homes)

    def rank(item: tuple[str, InstanceRecord]) -> tuple[float, str]:
        name, record = item
        load = record.load(now_s) / record.slots
        home = _GROUP_WORTH if name in preferred else 0.0
        slow = _SLOW_PENALTY if is_slow(record, usual_s, now_s) else 0.0
        behind_s = (record.pace_s(now_s) or fastest_s) - fastest_s
        tolerated_s = _PACE_TOLERANCE * fastest_s
        lost_s = max(0.0, behind_s - tolerated_s) * events_left
        part = _PART_WORTH if name in others else 0.0
        return load - home + slow + part + lost_s / _FULL_LOAD_WORTH_S, name

    able = [
        item
        for item in records
        if item[1].room(now_s) > 0
        and not item[1].is_resting(now_s)
        and item[0] != avoid
    ]
    best = min(able, key=rank, default=None)
    return None if best is None else best[0]


def should_move(
    record: InstanceRecord,
    others: Iterable[InstanceRecord],
    remaining_events: int | None,
    now_s: float,
) -> bool:
    """Whether a running sample gains by going on at another instance.

    A move costs one reading of the prompt and the text so far, about two events'
    time; so it must save more, and a place must be free at an instance of usual pace.
    """
    peers = list(others)
    usual_s = usual_pace_s((*peers, record), now_s)
    if usual_s is None or not is_slow(record, usual_s, now_s):
        return False
    if remaining_events is not None and remaining_events < _LEAST_MOVED_EVENTS:
        return False
    return any(
        peer.room(now_s) > 0
        and not peer.is_resting(now_s)
        and not is_slow(peer, usual_s, now_s)
        for peer in peers
    )


#: Events that a sample must still have before it for a move to pay.
_LEAST_MOVED_EVENTS: Final = 4
