"""Copies of this entry's counters at another entry, in case this one is lost."""

from __future__ import annotations

import asyncio
from typing import Final

from ..decisions import copy_holder
from ..errors import Refusal
from ..leases import Entries
from ..links import LinkPool
from ..messages import Acknowledged, UsageCounted
from ._counters import UsageCounters

#: Time for which counts are gathered before they are copied. Counts that die with their
#: entry in this time are lost.
_GATHER_S: Final = 0.1
_CALL_TIMEOUT_S: Final = 0.5
#: Pause before a copy that was lost is sent again.
_RETRY_PAUSE_S: Final = 0.3


class UsageCopies:
    """Sends the counters that change to another entry, and keeps those of others."""

    def __init__(
        self, entries: Entries, links: LinkPool, counters: UsageCounters
    ) -> None:
        self._entries = entries
        self._links = links
        self._counters = counters

    async def run(self) -> None:
        """Copy each change, until cancelled."""
        while True:
            await self._counters.wait_for_change()
            await asyncio.sleep(_GATHER_S)
            changed = self._counters.take_changed()
            if await self._send(UsageCounted(self._counters.run, changed)):
                continue
            self._counters.mark_changed(changed)
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _send(self, message: UsageCounted) -> bool:
        """Send a copy; return whether another entry has it."""
        holder = copy_holder(self._entries.node, self._entries.domains)
        if holder is None:
            return False
        address = self._entries.address_of_node(holder)
        answer = await self._links.call(address, message, _CALL_TIMEOUT_S)
        return not isinstance(answer, Refusal)

    def answer(self, message: UsageCounted) -> Acknowledged:
        """Keep the counters of another entry."""
        self._counters.merge(message.run, message.windows)
        return Acknowledged()
