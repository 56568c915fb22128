"""Builds what an entry needs to order engines."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

from ..forwarding import FleetView
from ..http1 import Pool
from ..jobs import JobOwner
from ..leases import DUTY_LEASE_KIND, Duty, Entries, Lease, LeaseTerms, PlatformApi
from ..links import LinkPool
from ..messages import FetchDemand
from ..platform import ProcessSettings
from ..scaling import ScalingController, scaled_upstreams
from ..store import StoreClient
from ._entry_messages import EntryMessages

#: Name of the duty and of its lease.
DUTY_NAME: Final = "scaling"


class ScalingDuty:
    """The orders of engines by one entry; nothing if the platform takes none."""

    def __init__(
        self,
        settings: ProcessSettings,
        boot: str,
        entries: Entries,
        view: FleetView,
        owner: JobOwner,
        store: StoreClient,
        links: LinkPool,
    ) -> None:
        self._view = view
        self._owner = owner
        self._controller: ScalingController | None = None
        # The duty; None if the platform takes no orders.
        self.duty: Duty | None = None
        api = settings.scaling_api
        if api is None:
            return
        # Orders of two holders may not overtake each other where fences aren't checked.
        terms = LeaseTerms(
            DUTY_LEASE_KIND,
            DUTY_NAME,
            settings.lease_s,
            settings.checks_fences,
            may_call_at_once=True,
        )
        lease = Lease(store, terms, settings.node, boot)
        self.duty = Duty(DUTY_NAME, entries, links, lease)
        self._controller = ScalingController(
            entries,
            links,
            PlatformApi(Pool(api.host, api.port)),
            self.duty,
            partial(scaled_upstreams, view),
            self._own_demand,
        )

    def _own_demand(self) -> dict[str, int]:
        """Return the requests of this entry that run or wait, by upstream."""
        demand: dict[str, int] = {}
        for instance_id, record in self._view.records.items():
            upstream = self._view.instances[instance_id].upstream
            demand[upstream] = demand.get(upstream, 0) + record.outstanding
        for run in self._owner.runs.values():
            waiting = sum(sample.is_waiting for sample in run.samples.values())
            demand[run.upstream] = demand.get(run.upstream, 0) + waiting
        return demand

    def register_messages(self, messages: EntryMessages) -> None:
        """Register the answers to the messages about demand."""
        if self._controller is not None:
            messages.register(FetchDemand, self._controller.answer)

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks by name."""
        return {} if self._controller is None else {"scaling": self._controller.run}

    async def stop(self) -> None:
        """Leave the duty to another entry, before a planned stop."""
        if self._controller is not None:
            await self._controller.stop()
