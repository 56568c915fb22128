"""Decides which paces an entry reports to its ring neighbours, and takes their reports.

Expected load: two dozen instances that twenty entries observe, some of them only once
in ten seconds; an entry that reports false values, or values of long ago. A report is a
first estimate of the receiver, until it has observed the instance itself.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import isfinite
from statistics import median
from typing import Final

import attrs

from ..messages import ReportedPace
from ._instance_pace import InstancePace

#: Ratio to the other paces of an upstream from which a reported pace is implausible.
_MAX_RATIO: Final = 100.0
#: Time by which an observation has to be newer than the known one. Reports that go
#: round the ring seem newer by their time on the way.
_MIN_NEWER_S: Final = 1.0
#: Ratio to the pace that was sent last from which a pace is new. The estimates of a
#: pace vary by less.
_NEW_RATIO: Final = 1.15
#: Time after which a pace that has been observed again is sent again. The receiver may
#: have restarted, or may have lost its record of the instance.
_RESEND_AFTER_S: Final = 10.0


@attrs.frozen
class SharedInstance:
    """An instance whose pace is shared."""

    # Name of the upstream.
    upstream: str
    # Start of the instance's run, in milliseconds since the epoch; 0 if unknown.
    born_ms: int
    # Pace as this entry knows it.
    pace: InstancePace


@attrs.frozen
class _SentPace:
    """A pace that was sent to a neighbour."""

    # What was sent.
    born_ms: int
    unit_s: float
    # Monotonic time of the observation.
    observed_s: float
    # Monotonic time at which it was sent.
    sent_s: float


class PaceOutbox:
    """The paces that neighbours have been sent."""

    def __init__(self) -> None:
        # What was sent, by neighbour and instance id.
        self._sent: dict[str, dict[str, _SentPace]] = {}

    def keep_only(self, neighbours: Iterable[str]) -> None:
        """Forget what was sent to entries that are no neighbours any more."""
        kept = frozenset(neighbours)
        self._sent = {name: item for name, item in self._sent.items() if name in kept}

    def new_paces(
        self, neighbour: str, instances: Mapping[str, SharedInstance], now_s: float
    ) -> tuple[ReportedPace, ...]:
        """Return the paces that a neighbour should be sent now."""
        sent = self._sent.get(neighbour, {})
        return tuple(
            ReportedPace(name, item.born_ms, unit_s, max(0.0, now_s - observed_s))
            for name, item in instances.items()
            if (shared := item.pace.shared) is not None
            for unit_s, observed_s in (shared,)
            if _is_new(sent.get(name), item.born_ms, unit_s, observed_s, now_s)
        )

    def record_sent(
        self, neighbour: str, paces: Iterable[ReportedPace], now_s: float
    ) -> None:
        """Record that a neighbour has received paces."""
        self._sent.setdefault(neighbour, {}).update(
            {
                item.instance_id: _SentPace(
                    item.born_ms, item.unit_s, now_s - item.age_s, now_s
                )
                for item in paces
            }
        )


def _is_new(
    sent: _SentPace | None,
    born_ms: int,
    unit_s: float,
    observed_s: float,
    now_s: float,
) -> bool:
    if sent is None or sent.born_ms != born_ms:
        return True
    if observed_s - sent.observed_s < _MIN_NEWER_S:
        return False
    ratio = max(unit_s / sent.unit_s, sent.unit_s / unit_s)
    return ratio > _NEW_RATIO or now_s - sent.sent_s >= _RESEND_AFTER_S


@attrs.frozen
class MergedPaces:
    """What became of a report."""

    # Ids of instances whose reported pace is used.
    used: tuple[str, ...]
    # Ids of instances whose reported pace is implausible.
    implausible: tuple[str, ...]


def merge_paces(
    instances: Mapping[str, SharedInstance],
    paces: Iterable[ReportedPace],
    now_s: float,
) -> MergedPaces:
    """Use the reported paces that are newer than the known ones; return their ids.

    Paces of unknown instances and of other runs are ignored. The unit of a plain
    instance depends on the requests that an entry sends, so that reports are scaled by
    the instances that both entries know.
    """
    by_upstream: dict[str, list[ReportedPace]] = {}
    implausible = []
    for item in paces:
        known = instances.get(item.instance_id)
        if known is None or known.born_ms != item.born_ms:
            continue
        if _is_time(item.unit_s) and _is_age(item.age_s):
            by_upstream.setdefault(known.upstream, []).append(item)
        else:
            implausible.append(item.instance_id)
    used = []
    for items in by_upstream.values():
        scale = _scale(instances, items)
        usual_s = _usual_s(instances, items, scale)
        for item in items:
            unit_s = item.unit_s * scale
            if not 1.0 / _MAX_RATIO < unit_s / usual_s < _MAX_RATIO:
                implausible.append(item.instance_id)
            elif _merge(instances[item.instance_id].pace, unit_s, item.age_s, now_s):
                used.append(item.instance_id)
    return MergedPaces(tuple(used), tuple(implausible))


def _is_time(unit_s: float) -> bool:
    return isfinite(unit_s) and unit_s > 0.0


def _is_age(age_s: float) -> bool:
    return isfinite(age_s) and age_s >= 0.0


def _merge(pace: InstancePace, unit_s: float, age_s: float, now_s: float) -> bool:
    observed_s = now_s - age_s
    is_newer = observed_s - pace.reported_s >= _MIN_NEWER_S
    return is_newer and pace.record_report(unit_s, observed_s, now_s)


def _scale(
    instances: Mapping[str, SharedInstance], items: Iterable[ReportedPace]
) -> float:
    """Return the median ratio of this entry's observations to the reported ones."""
    ratios = [
        lasting_s / item.unit_s
        for item in items
        if (pace := instances[item.instance_id].pace).is_settled
        and (lasting_s := pace.lasting_s) is not None
    ]
    return median(ratios) if ratios else 1.0


def _usual_s(
    instances: Mapping[str, SharedInstance],
    items: list[ReportedPace],
    scale: float,
) -> float:
    """Return the median of this entry's own observations; else of all that is known."""
    upstream = instances[items[0].instance_id].upstream
    paces = [item.pace for item in instances.values() if item.upstream == upstream]
    own = [pace.lasting_s for pace in paces if pace.is_settled]
    known = own or [pace.lasting_s for pace in paces]
    known_s = [lasting_s for lasting_s in known if lasting_s is not None]
    if own:
        return median(known_s)
    return median((*known_s, *(item.unit_s * scale for item in items)))
