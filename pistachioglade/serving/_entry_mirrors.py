"""An entry's copies of the configuration, the list of instances and the jobs."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

import attrs

from ..decisions import RELAY_GATHER_FRACTION
from ..errors import Refusal
from ..forwarding import FleetView
from ..jobs import JOB_KIND, JobLedger, JobOwner
from ..platform import EntryChanges, names
from ..store import Mirror, StoreClient
from ._watch_relays import WatchRelays

#: Delay between watches of the configuration, so that one watch returns several
#: changes. A change may take seconds to come into force.
_CONFIGURATIONS_GATHER_S: Final = 0.3
#: Delay between watches of the instances, as a fraction of the time for which a leaving
#: instance serves. Each load of weights changes the list. The rest of that time is left
#: for the watch call, which takes a few tenths of a second when the store is slow.
_INSTANCES_GATHER_FRACTION: Final = 0.6
#: The same delay in seconds while jobs run here, which need the loaded versions sooner.
_INSTANCES_GATHER_WITH_JOBS_S: Final = 0.4
#: Delay between watches of submissions, owners and ends of jobs. Owners are notified
#: over links at once; the watch covers lost notifications, and those of an entry that
#: dies before it sends them.
_JOBS_GATHER_S: Final = 1.0


@attrs.frozen
class MirrorBounds:
    """Times for which an entry may use old copies, in seconds."""

    # Time within which a configuration takes effect.
    configuration_s: float
    # Time for which a leaving instance serves.
    instances_s: float
    # Time within which the end of a job takes effect.
    jobs_s: float


class EntryMirrors:
    """Keeps the copies current, from the store or from an entry that watches it."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        ledger: JobLedger,
        owner: JobOwner,
        relays: WatchRelays,
        bounds: Callable[[], MirrorBounds],
    ) -> None:
        self._owner = owner
        self._relays = relays
        # Returns the bounds of the settings in force.
        self._bounds = bounds
        self.configurations = Mirror(
            store,
            names.CONFIGURATION_KIND,
            view.apply_configuration,
            batch_window_s=lambda: _CONFIGURATIONS_GATHER_S,
            follow=relays.fetch_changes,
            bound_s=lambda: bounds().configuration_s,
        )
        self.instances = Mirror(
            store,
            names.INSTANCE_KIND,
            view.apply_instance,
            batch_window_s=self.instances_gather_s,
            follow=self._follow_while_idle,
            bound_s=lambda: bounds().instances_s,
        )
        self.jobs = Mirror(
            store,
            JOB_KIND,
            ledger.apply_entry,
            batch_window_s=lambda: _JOBS_GATHER_S,
            may_be_stale=lambda: not owner.runs,
            follow=self._follow_while_idle,
            bound_s=lambda: bounds().jobs_s if owner.runs else None,
        )
        owner.on_run_started.append(self.jobs.require_current)

    @property
    def by_kind(self) -> Mapping[str, Mirror]:
        """The copies by the kind of their objects."""
        return MappingProxyType(
            {
                names.CONFIGURATION_KIND: self.configurations,
                names.INSTANCE_KIND: self.instances,
                JOB_KIND: self.jobs,
            }
        )

    def instances_gather_s(self) -> float:
        """Return the delay between watches of the list of instances, in seconds."""
        if self._owner.runs:
            return _INSTANCES_GATHER_WITH_JOBS_S
        is_relay = self._relays.is_relay
        fraction = RELAY_GATHER_FRACTION if is_relay else _INSTANCES_GATHER_FRACTION
        return fraction * self._bounds().instances_s

    async def _follow_while_idle(
        self, kind: str, revision: int
    ) -> EntryChanges | Refusal | None:
        """Follow a relay, except while jobs run here.

        Jobs need changes of the instances sooner, and their owner has to know of their
        ends and of another owner within a bounded time.
        """
        if self._owner.runs:
            return None
        return await self._relays.fetch_changes(kind, revision)
