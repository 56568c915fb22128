"""Tells the entries of the own failure domain which requests this entry has refused.

The caller of a refused request returns once, at another entry of the failure domain,
which then starts the request before new ones.
"""

from __future__ import annotations

import asyncio
from typing import Final

from ..forwarding import AdmissionGate
from ..links import LinkPool
from ..logs import logger
from ..messages import Acknowledged, RequestsRefused
from ._entry_messages import EntryMessages
from ._members import CurrentEntries

#: Time for which refusals are collected into one message. Callers wait longer before
#: they return.
_BATCH_S: Final = 0.05
#: Most digests in one message, and most that wait to be sent; newer ones are dropped.
#: A burst has fewer refusals within a batch.
_MAX_BATCH: Final = 512
#: Time within which an entry has to answer: later, callers have returned already.
_TIMEOUT_S: Final = 0.5


class RefusalReports:
    """Sends and receives the digests of refused requests."""

    def __init__(
        self, peers: CurrentEntries, links: LinkPool, gate: AdmissionGate
    ) -> None:
        self._peers = peers
        self._links = links
        self._returning = gate.returning
        self._log = logger(__name__)
        self._has_refused = asyncio.Event()
        self._digests: list[str] = []
        # Entries that haven't answered the last message yet, with its task.
        self._sending: dict[str, asyncio.Task[None]] = {}
        gate.on_refused.append(self._add)

    def register_messages(self, messages: EntryMessages) -> None:
        """Register the answer to other entries' reports."""
        messages.register(RequestsRefused, self._record)

    def _add(self, digest: str) -> None:
        if len(self._digests) < _MAX_BATCH:
            self._digests.append(digest)
        self._has_refused.set()

    def _record(self, message: RequestsRefused) -> Acknowledged:
        now_s = asyncio.get_running_loop().time()
        self._returning.record(message.request_digests[:_MAX_BATCH], now_s)
        return Acknowledged()

    def _receivers(self) -> list[str]:
        """Return the other entries of the failure domain that answer."""
        own = self._peers.node
        domains = self._peers.domains
        return [
            name
            for name, domain in domains.items()
            if name != own and domain == domains.get(own) and name not in self._sending
        ]

    async def run(self) -> None:
        """Send refusals in batches, while there are any."""
        while True:
            await self._has_refused.wait()
            await asyncio.sleep(_BATCH_S)
            self._has_refused.clear()
            digests, self._digests = tuple(self._digests), []
            message = RequestsRefused(self._peers.node, digests)
            for name in self._receivers():
                task = asyncio.create_task(self._send(name, message))
                self._sending[name] = task

    async def _send(self, name: str, message: RequestsRefused) -> None:
        """Send a message; an entry that doesn't answer gets no other one meanwhile."""
        try:
            address = self._peers.address_of_node(name)
            answer = await self._links.call(address, message, _TIMEOUT_S)
            if not isinstance(answer, Acknowledged):
                self._log.info(
                    "refusals-not-reported",
                    entry=name,
                    count=len(message.request_digests),
                    reason=getattr(answer, "reason", ""),
                )
        finally:
            del self._sending[name]
