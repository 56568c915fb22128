"""Exchanges the lasting paces of instances with the ring neighbours."""

from __future__ import annotations

import asyncio
from typing import Final

from ..decisions import (
    FULL_POLICY,
    InstancePace,
    Mechanism,
    PaceOutbox,
    Policy,
    SharedInstance,
    fingers,
    merge_paces,
)
from ..errors import Refusal
from ..forwarding import FleetView
from ..links import LinkPool
from ..logs import logger
from ..messages import Acknowledged, PacesReported, ReportedPace
from ..metrics import Metrics
from ._entry_messages import EntryMessages
from ._members import Members

#: Time between two reports to the neighbours, and the timeout of a report. The next
#: report repeats one that was lost.
_REPORT_INTERVAL_S: Final = 1.0


class PaceReports:
    """Reports paces to the neighbours and takes their reports."""

    def __init__(
        self,
        members: Members,
        view: FleetView,
        links: LinkPool,
        metrics: Metrics,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._is_used = policy.uses(Mechanism.SHARED_PACES)
        self._members = members
        self._view = view
        self._links = links
        self._metrics = metrics
        self._outbox = PaceOutbox()
        self._log = logger(__name__)
        view.on_pace_change.append(self._count_change)

    def register_messages(self, messages: EntryMessages) -> None:
        """Register the answer to the neighbours' reports."""
        messages.register(PacesReported, self.accept)

    async def run(self) -> None:
        """Report new paces to the neighbours, forever."""
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            if self._is_used:
                await self.report()

    async def report(self) -> None:
        """Report to each neighbour the paces that are new to it."""
        peers = self._members.load_peers
        neighbours = fingers(peers.names, peers.node)
        self._outbox.keep_only(neighbours)
        now_s = asyncio.get_running_loop().time()
        instances = self._instances()
        new_paces = {
            node: self._outbox.new_paces(node, instances, now_s) for node in neighbours
        }
        await asyncio.gather(
            *(self._send(node, paces, now_s) for node, paces in new_paces.items())
        )

    async def _send(
        self, node: str, paces: tuple[ReportedPace, ...], now_s: float
    ) -> None:
        address = self._members.address_of_node(node)
        if not paces or not address:
            return
        message = PacesReported(self._members.node, paces)
        answer = await self._links.call(address, message, _REPORT_INTERVAL_S)
        if not isinstance(answer, Refusal):
            self._outbox.record_sent(node, paces, now_s)

    def accept(self, message: PacesReported) -> Acknowledged:
        """Use the paces that a neighbour reports."""
        if not self._is_used:
            return Acknowledged()
        now_s = asyncio.get_running_loop().time()
        merged = merge_paces(self._instances(), message.paces, now_s)
        # The sender needs no report of what it has reported itself.
        used = [item for item in message.paces if item.instance_id in merged.used]
        self._outbox.record_sent(message.sender, used, now_s)
        self._metrics.record_paces_reported("used", len(merged.used))
        self._metrics.record_paces_reported("implausible", len(merged.implausible))
        if merged.used or merged.implausible:
            self._log.info(
                "paces-reported",
                sender=message.sender[:80],
                paces=len(message.paces),
                used=len(merged.used),
                implausible=merged.implausible[:10],
            )
        return Acknowledged()

    def _instances(self) -> dict[str, SharedInstance]:
        view = self._view
        return {
            name: SharedInstance(item.upstream, item.born_ms, view.records[name].pace)
            for name, item in view.instances.items()
        }

    def _count_change(self, _instance_id: str, pace: InstancePace) -> None:
        self._metrics.record_pace_change(pace.state.value)
