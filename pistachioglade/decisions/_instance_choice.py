"""Chooses the instance of an upstream for a request.

Expected load: a few lookups per second beside bursts of about sixty samples that
several nodes send at once, on instances that turn slow, silent or faulty without
warning. A node knows its own requests immediately, and those of other nodes from the
latest load report of the instance.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator, Sequence
from statistics import median_low
from typing import Final

from ._instance_record import InstanceRecord

#: Load added to an engine that another job owner prefers, as a fraction of its slots.
OTHER_OWNER_PENALTY: Final = 0.5
#: Load added to an instance of another failure domain, as a fraction of its slots.
_REMOTE_DOMAIN_PENALTY: Final = 0.34
#: Load subtracted from an instance that runs samples with the same prompt, as a
#: fraction of its slots. With this value samples go elsewhere only once the
#: instance is full.
SHARED_PROMPT_BONUS: Final = 0.6
#: Load added to an instance that is slow, in a cooldown, or full, so that such an
#: instance is chosen only if no other remains.
SLOW_PENALTY: Final = 4.0
_COOLDOWN_PENALTY: Final = 16.0
_FULL_PENALTY: Final = 8.0
#: Ratio of an instance's event gap to the median gap above which the instance is slow.
#: The speeds of healthy instances differ by less than a third.
SLOW_FACTOR: Final = 1.6
#: Fraction of the fastest gap by which an instance's gap may exceed the fastest one
#: without effect. Other requests on an instance and network delays of events change a
#: gap by as much.
_PACE_TOLERANCE: Final = 0.1
#: Delay of a sample at an instance that counts as much as a fully loaded instance.
_FULL_LOAD_DELAY_S: Final = 1.0
#: Ratio of two expected times of a unit up to which they count as alike. Times of a few
#: dozen lookups that vary by a factor of ten differ by as much.
_CALL_PACE_TOLERANCE: Final = 1.25
#: Time that a lookup is expected to wait at a full instance, in times of a response:
#: more than until a slot is free, since the instance may refuse the lookup.
_FULL_WAIT: Final = 1.0
#: Lookups that this node sends at a time to an instance of unknown pace, or to one that
#: was slowed when last observed.
_MAX_UNPROVEN_CALLS: Final = 1


def median_gap_s(records: Iterable[InstanceRecord], now_s: float) -> float | None:
    """Return the median of the known mean gaps; the lower of two middle values.

    While weights load, a job often has only two instances to choose from. The mean of
    the two gaps would hide that one gap is two and a half times as long as the other.
    """
    return _known_median_s(item.recent_gap_s(now_s) for item in records)


def median_expected_gap_s(
    records: Iterable[InstanceRecord], now_s: float
) -> float | None:
    """Return the lower median of the known expected gaps; None if none is known."""
    return _known_median_s(item.expected_gap_s(now_s) for item in records)


def _known_median_s(paces_s: Iterable[float | None]) -> float | None:
    known_s = [pace_s for pace_s in paces_s if pace_s is not None]
    return median_low(known_s) if known_s else None


def _known_paces_s(
    records: Iterable[tuple[str, InstanceRecord]], now_s: float
) -> Iterator[float]:
    known = (record.recent_gap_s(now_s) for _, record in records)
    return (recent_gap_s for recent_gap_s in known if recent_gap_s is not None)


def is_slow(record: InstanceRecord, usual_s: float | None, now_s: float) -> bool:
    """Whether an instance emits events much more slowly than its peers."""
    recent_gap_s = record.recent_gap_s(now_s)
    return (
        recent_gap_s is not None
        and usual_s is not None
        and recent_gap_s > SLOW_FACTOR * usual_s
    )


def choose_for_call(
    records: Sequence[tuple[str, InstanceRecord]],
    own_domain: str,
    now_s: float,
    by_pace: bool = True,
) -> str | None:
    """Return the instance for a lookup: the one with the least expected response time.

    If no pace is known, or without ``by_pace``, instances of the node's own failure
    domain, with free slots and without a cooldown come first. None if there are no
    instances.
    """
    if by_pace and any(item.lasting_gap_s() is not None for _, item in records):
        return _choose_by_pace(records, own_domain, now_s)

    def rank(item: tuple[str, InstanceRecord]) -> tuple[float, str]:
        name, record = item
        load = record.load(now_s) / record.slots
        remote = 0.0 if record.domain == own_domain else _REMOTE_DOMAIN_PENALTY
        full = _FULL_PENALTY if record.free_slots(now_s) <= 0 else 0.0
        cooldown = _COOLDOWN_PENALTY if record.is_in_cooldown(now_s) else 0.0
        return load + remote + full + cooldown, name

    best = min(records, key=rank, default=None)
    return None if best is None else best[0]


def _choose_by_pace(
    records: Sequence[tuple[str, InstanceRecord]],
    own_domain: str,
    now_s: float,
) -> str:
    """Return the instance with the least expected response time.

    Times are relative to a response of the fastest instance. An instance of unknown
    pace is taken for one of the median pace. The less a pace has been observed lately,
    the less it counts.
    """
    known_s = _expected_units_s(records, now_s)
    fastest_s, usual_s = min(known_s), median_low(known_s)
    has_room = any(
        record.pace.is_proven(now_s)
        and not record.is_slowed(now_s)
        and not record.is_in_cooldown(now_s)
        and record.free_slots(now_s) > 0
        for _, record in records
    )

    def rank(item: tuple[str, InstanceRecord]) -> tuple[bool, bool, float, str]:
        name, record = item
        unit_s = record.expected_gap_s(now_s) or usual_s
        ratio = (unit_s / fastest_s) ** record.pace.trust(now_s)
        work = max(1.0, ratio / _CALL_PACE_TOLERANCE)
        load = record.load(now_s) / record.slots
        full = _FULL_WAIT if record.free_slots(now_s) <= 0 else 0.0
        remote = 0.0 if record.domain == own_domain else _REMOTE_DOMAIN_PENALTY
        response = work * (1.0 + load + full) + remote
        is_avoided = has_room and _is_avoided_for_calls(record, now_s)
        return record.is_in_cooldown(now_s), is_avoided, response, name

    return min(records, key=rank)[0]


def _expected_units_s(
    records: Sequence[tuple[str, InstanceRecord]], now_s: float
) -> list[float]:
    """Return the known expected times of a unit; reports count only without others."""
    known = [
        (record.pace.is_settled, unit_s)
        for _, record in records
        if (unit_s := record.expected_gap_s(now_s)) is not None
    ]
    own = [unit_s for is_settled, unit_s in known if is_settled]
    return own or [unit_s for _, unit_s in known]


def _is_avoided_for_calls(record: InstanceRecord, now_s: float) -> bool:
    """Whether an instance gets no lookup while a proven one has room."""
    is_probed = record.outstanding >= _MAX_UNPROVEN_CALLS
    is_unproven = not record.pace.is_proven(now_s)
    return record.is_slowed(now_s) or (is_unproven and is_probed)


def choose_for_sample(
    records: Sequence[tuple[str, InstanceRecord]],
    prompt_holders: Iterable[str],
    avoid: str | None,
    now_s: float,
    events_left: int = 0,
    preferred_by_others: Container[str] = frozenset(),
) -> str | None:
    """Return the instance for a sample; None while no instance has a free slot.

    ``prompt_holders`` run samples of the same group and have its prompt cached.
    ``avoid`` is the instance at which the sample was just lost. ``events_left`` is the
    expected length of the sample: long samples go to fast instances.
    ``preferred_by_others`` are the instances that other job owners prefer.
    """
    usual_s = median_gap_s((record for _, record in records), now_s)
    fastest_s = min(_known_paces_s(records, now_s), default=0.0)
    holders = frozenset(prompt_holders)

    def rank(item: tuple[str, InstanceRecord]) -> tuple[float, str]:
        name, record = item
        load = record.load(now_s) / record.slots
        shared = SHARED_PROMPT_BONUS if name in holders else 0.0
        slow = SLOW_PENALTY if is_slow(record, usual_s, now_s) else 0.0
        behind_s = (record.recent_gap_s(now_s) or fastest_s) - fastest_s
        tolerated_s = _PACE_TOLERANCE * fastest_s
        delay_s = max(0.0, behind_s - tolerated_s) * events_left
        other = OTHER_OWNER_PENALTY if name in preferred_by_others else 0.0
        return load - shared + slow + other + delay_s / _FULL_LOAD_DELAY_S, name

    usable = [
        item
        for item in records
        if item[1].sample_capacity(now_s) > 0
        and not item[1].is_in_cooldown(now_s)
        and item[0] != avoid
    ]
    best = min(usable, key=rank, default=None)
    return None if best is None else best[0]


def should_move(
    record: InstanceRecord,
    others: Iterable[InstanceRecord],
    remaining_events: int | None,
    now_s: float,
) -> bool:
    """Whether a running sample ends sooner at another instance.

    A move costs one processing of the prompt and the text so far, about the time of two
    events. The move has to save more, and an instance that isn't slow has to have a
    free slot.
    """
    peers = list(others)
    usual_s = median_gap_s((*peers, record), now_s)
    if usual_s is None or not is_slow(record, usual_s, now_s):
        return False
    if remaining_events is not None and remaining_events < _MIN_EVENTS_TO_MOVE:
        return False
    return any(
        peer.sample_capacity(now_s) > 0
        and not peer.is_in_cooldown(now_s)
        and not is_slow(peer, usual_s, now_s)
        for peer in peers
    )


#: Remaining events from which a move of a sample saves time.
_MIN_EVENTS_TO_MOVE: Final = 4
