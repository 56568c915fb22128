"""Which instances may take samples, computed once per scheduling pass.

Hundreds of samples wait for dozens of instances, and most samples have the same
requirement: an upstream, a model and an oldest weight version. Instances are therefore
filtered once for each requirement, not for each sample.
"""

from __future__ import annotations

import attrs

from ..decisions import InstanceRecord, median_expected_gap_s, median_gap_s
from ..fleet import choose_upstream
from ..forwarding import FleetView, InstanceHandle
from ._job_run import JobRun


@attrs.frozen
class Requirement:
    """What a sample requires of an instance."""

    # Upstream that the instance belongs to.
    upstream: str
    # Model that generates the text.
    model: str
    # Oldest weight version that may generate an event.
    min_version: int


def requirement_of(run: JobRun, item_id: str) -> Requirement:
    """Return what an item of a run requires."""
    upstream = choose_upstream(run.route, item_id)
    return Requirement(upstream, run.job.model, run.job.min_version)


@attrs.frozen
class EligibleInstances:
    """Instances that meet one requirement."""

    # All instances that meet the requirement, by id.
    instances: dict[str, InstanceHandle]
    # Those of them that have room, by id; shrinks as samples are started.
    with_room: dict[str, InstanceHandle]
    # Usual time between two events at these instances, in seconds; None if unknown.
    usual_event_gap_s: float | None
    # Time of an event at an instance whose own pace is unknown, in seconds; None if
    # no pace is known.
    unknown_gap_s: float | None

    def records(self) -> list[tuple[str, InstanceRecord]]:
        """Return the records of the instances that have room."""
        return [
            (instance_id, handle.record)
            for instance_id, handle in self.with_room.items()
        ]


class EligibilityTable:
    """Holds the eligible instances by requirement, for one scheduling pass."""

    def __init__(self, view: FleetView, now_s: float) -> None:
        self._view = view
        self._now_s = now_s
        self._open_handles: dict[str, list[InstanceHandle]] = {}
        self._eligible: dict[Requirement, EligibleInstances] = {}

    def of(self, requirement: Requirement) -> EligibleInstances:
        """Return the instances that meet a requirement."""
        eligible = self._eligible.get(requirement)
        if eligible is None:
            eligible = self._eligible[requirement] = self._find_eligible(requirement)
        return eligible

    def _find_eligible(self, requirement: Requirement) -> EligibleInstances:
        if requirement.upstream not in self._open_handles:
            self._open_handles[requirement.upstream] = list(
                self._view.open_handles(requirement.upstream)
            )
        instances = {
            handle.id: handle
            for handle in self._open_handles[requirement.upstream]
            if self._meets(handle, requirement)
        }
        with_room = {
            instance_id: handle
            for instance_id, handle in instances.items()
            if self._has_room(handle)
        }
        records = [handle.record for handle in instances.values()]
        return EligibleInstances(
            instances,
            with_room,
            median_gap_s(records, self._now_s),
            median_expected_gap_s(records, self._now_s),
        )

    def _meets(self, handle: InstanceHandle, requirement: Requirement) -> bool:
        version = handle.record.versions.get(requirement.model, requirement.min_version)
        is_loading = handle.record.is_loading(requirement.model, self._now_s)
        return version >= requirement.min_version and not is_loading

    def _has_room(self, handle: InstanceHandle) -> bool:
        record = handle.record
        return record.sample_capacity(self._now_s) > 0 and not record.is_in_cooldown(
            self._now_s
        )

    def record_start(self, handle: InstanceHandle) -> None:
        """Drop an instance that a started sample leaves without room."""
        for requirement, eligible in self._eligible.items():
            if not (self._has_room(handle) and self._meets(handle, requirement)):
                eligible.with_room.pop(handle.id, None)
