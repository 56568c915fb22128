"""Which instances may take samples, worked out once for all samples of one look.

Hundreds of samples wait beside dozens of instances, and most of them need the same: an
upstream, a model and a least weight version.
"""

from __future__ import annotations

import attrs

from ..decisions import InstanceRecord, usual_pace_s
from ..forwarding import FleetView, InstanceHandle


@attrs.frozen
class Need:
    """What samples must share to have the same places."""

    # Upstream.
    upstream: str
    # Model.
    model: str
    # Oldest weight version that may make an event.
    min_version: int


@attrs.frozen
class Places:
    """Instances that fit one need."""

    # All that fit, by id.
    fitting: dict[str, InstanceHandle]
    # Those of them that have room; shrinks as samples are placed.
    with_room: dict[str, InstanceHandle]
    # Usual time between two events there; None while none is known.
    usual_s: float | None

    def records(self) -> list[tuple[str, InstanceRecord]]:
        """Return the records of the instances that have room."""
        return [(name, handle.record) for name, handle in self.with_room.items()]


class PlaceTable:
    """Places by need, as they are at one moment."""

    def __init__(self, view: FleetView, now_s: float) -> None:
        self._view = view
        self._now_s = now_s
        self._open: dict[str, list[InstanceHandle]] = {}
        self._places: dict[Need, Places] = {}

    def of(self, need: Need) -> Places:
        """Return the places that fit a need."""
        places = self._places.get(need)
        if places is None:
            places = self._places[need] = self._find(need)
        return places

    def _find(self, need: Need) -> Places:
        if need.upstream not in self._open:
            self._open[need.upstream] = list(self._view.open_handles(need.upstream))
        fitting = {
            handle.id: handle
            for handle in self._open[need.upstream]
            if self._fits(handle, need)
        }
        with_room = {
            name: handle for name, handle in fitting.items() if self._has_room(handle)
        }
        records = (handle.record for handle in fitting.values())
        return Places(fitting, with_room, usual_pace_s(records, self._now_s))

    def _fits(self, handle: InstanceHandle, need: Need) -> bool:
        known = handle.record.versions.get(need.model, need.min_version)
        is_loading = handle.record.is_loading(need.model, self._now_s)
        return known >= need.min_version and not is_loading

    def _has_room(self, handle: InstanceHandle) -> bool:
        record = handle.record
        return record.room(self._now_s) > 0 and not record.is_resting(self._now_s)

    def placed(self, handle: InstanceHandle) -> None:
        """Take that a sample was placed at an instance."""
        for need, places in self._places.items():
            if not (self._has_room(handle) and self._fits(handle, need)):
                places.with_room.pop(handle.id, None)
