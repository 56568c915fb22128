"""Decides which instances of an upstream can take a request now.

Expected load: bursts of lookups from twenty entries that share four instances with six
slots each. An entry sees other entries' requests only in the load reports that come
with its own answers; an instance has a short queue of its own.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Final

import attrs

from ._instance_record import InstanceRecord

#: Places in an instance's own queue that may be used, as a fraction of its slots, so
#: that a slot that becomes free is taken without a round trip to an entry.
_QUEUE_FRACTION: Final = 1.0 / 3.0
#: Part of the latency target that requests may wait in an instance's own queue, where
#: the pace of the instance is known. The rest is left for the answer, which takes about
#: as long, and for the wait at the entry.
_QUEUE_TARGET_FRACTION: Final = 1.0 / 3.0
#: Largest use of an instance's own queue, as a multiple of its slots: under half of the
#: queue of four times the slots that plain services have, so that entries which fill it
#: at the same time, before they see each other's requests, aren't refused.
_MAX_QUEUE_FRACTION: Final = 1.75
#: Time for which a report that showed no room counts against sending several requests
#: at once. Later the entry's own count alone decides.
_FULL_MEMORY_S: Final = 1.0


@attrs.frozen
class Room:
    """How many requests an instance can take now."""

    # Number of requests.
    places: int
    # Whether a single request has to find out if the instance has room.
    is_probe: bool = False


_PROBE: Final = Room(1, is_probe=True)


def usable_places(
    record: InstanceRecord, answer_s: float, aim_s: float, now_s: float
) -> int:
    """Return how many requests an instance may have, running or in its own queue.

    ``answer_s`` is the mean time of its answers, 0 if it is unknown, and ``aim_s`` the
    latency target of the requests. The shorter the answers take, the longer may a queue
    be; long streams get the short one.
    """
    fraction = _QUEUE_FRACTION
    if answer_s > 0.0 and not record.is_slowed(now_s):
        in_time = _QUEUE_TARGET_FRACTION * aim_s / answer_s
        fraction = min(_MAX_QUEUE_FRACTION, max(fraction, in_time))
    return record.slots + max(1, int(record.slots * fraction))


def _looked_full(record: InstanceRecord, places: int, now_s: float) -> bool:
    """Whether a report, not long ago, showed that others alone filled an instance."""
    least_queue = max(1, int(record.slots * _QUEUE_FRACTION))
    was_full = record.reported_others >= places - least_queue
    return was_full and now_s - record.load_reported_s < _FULL_MEMORY_S


def _turn_s(record: InstanceRecord, answer_s: float, places: int) -> float:
    """Return the time after a report at which this entry may send to a full instance.

    It is the time of an answer, which includes the wait in the instance's queue,
    extended steeply the further the instance is above its usable places. Twenty entries
    that each keep one request at a full instance would otherwise fill its queue, and
    all of them would wait there, in no order.
    """
    held = max(record.slots, record.reported_others + record.outstanding)
    excess = held / places
    return answer_s * held / record.slots * excess**2


def _known_room(
    record: InstanceRecord, reserved: int, places: int, now_s: float
) -> Room | None:
    """Return the room of an instance that isn't known to be full."""
    if record.is_in_cooldown(now_s) or _looked_full(record, places, now_s):
        return None
    if record.refusals and record.has_cooldowns:
        return _PROBE
    free = places - record.load(now_s) - reserved
    return Room(free) if free > 0 else None


def _may_have_room(
    record: InstanceRecord, reserved: int, answer_s: float, places: int, now_s: float
) -> bool:
    """Whether an instance that looked full may have room again.

    If this entry's own requests fill it, their ends show when there is room.
    """
    is_full_of_own = record.outstanding + reserved >= places
    if is_full_of_own or record.is_in_cooldown(now_s):
        return False
    return now_s - record.load_reported_s > _turn_s(record, answer_s, places)


def instances_with_room(
    records: Iterable[tuple[str, InstanceRecord]],
    reserved: Mapping[str, int],
    probed: Collection[str],
    answers_s: Mapping[str, float],
    aim_s: float,
    now_s: float,
) -> dict[str, Room]:
    """Return how many requests each instance can take now, by instance id.

    ``reserved`` counts the requests that are about to be sent, by instance. ``probed``
    are the instances at which a single request finds out whether there is room; they
    get no further one. ``answers_s`` is the mean time of an answer by instance, as far
    as it is known, ``aim_s`` the latency target of the requests.

    An instance that has refused gets one request at a time until it answers one. If no
    instance has known room, so do those that looked full, once a slot can have become
    free, and, if there are no others, those in a cooldown after a failure.
    """
    listed = list(records)
    places = {
        name: usable_places(record, answers_s.get(name, 0.0), aim_s, now_s)
        for name, record in listed
    }
    known = {
        name: room
        for name, record in listed
        if (room := _known_room(record, reserved.get(name, 0), places[name], now_s))
        and not (room.is_probe and name in probed)
    }
    if known:
        return known
    idle = [item for item in listed if item[0] not in probed]
    to_probe = {
        name: _PROBE
        for name, record in idle
        if _may_have_room(
            record,
            reserved.get(name, 0),
            answers_s.get(name, 0.0),
            places[name],
            now_s,
        )
    }
    if to_probe or not all(record.is_in_cooldown(now_s) for _, record in idle):
        return to_probe
    return {name: _PROBE for name, record in idle if record.failures}


def faster_by_s(
    record: InstanceRecord, preferred: InstanceRecord, answer_s: float, now_s: float
) -> float:
    """Return by how much sooner the preferred instance is expected to answer.

    ``answer_s`` is the expected time of its answer. 0 if a pace is unknown.
    """
    unit_s, preferred_s = record.expected_gap_s(now_s), preferred.expected_gap_s(now_s)
    if not unit_s or not preferred_s:
        return 0.0
    return answer_s * max(0.0, unit_s / preferred_s - 1.0)


def should_wait_for_faster(
    gain_s: float, wait_s: float, answer_s: float, remaining_s: float
) -> bool:
    """Whether a request waits for a faster instance though a slower one has room.

    ``gain_s`` is by how much sooner the faster instance answers, ``remaining_s`` the
    time until the deadline. The request waits only if it ends sooner that way, and in
    time: one that could be refused as too late takes any room.
    """
    return wait_s < gain_s and wait_s + answer_s <= remaining_s
