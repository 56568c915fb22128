"""Fetches a newer configuration from other entries while the store is silent."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import Final

from ..decisions import (
    FULL_POLICY,
    ConfigurationSource,
    Mechanism,
    Policy,
    entries_to_ask,
    round_interval_s,
)
from ..leases import Entries
from ..links import LinkPool
from ..logs import logger
from ..messages import Acknowledged, FetchNewer, StoredRecord
from ..platform import Entry, names
from ..store import Mirror, StoreClient

#: Timeout of one request. The next round asks other entries.
_CALL_TIMEOUT_S: Final = 0.5


class ConfigurationCheck:
    """Compares this entry's configuration with those of other entries.

    A revision of the store orders the configurations, so that an older one never
    replaces a newer one.
    """

    def __init__(
        self,
        entries: Entries,
        links: LinkPool,
        store: StoreClient,
        mirror: Mirror,
        bound_s: float,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._entries = entries
        self._links = links
        self._store = store
        self._mirror = mirror
        # Time within which a configuration has to be in force, in seconds.
        self._bound_s = bound_s
        self._is_enabled = policy.uses(Mechanism.CONFIGURATION_CHECK)
        self._log = logger(__name__)
        self._requests: set[asyncio.Task[None]] = set()

    @property
    def _revision(self) -> int:
        entry = self._mirror.entries.get(names.CONFIGURATION_NAME)
        return 0 if entry is None else entry.revision

    async def run(self) -> None:
        """Check in rounds, forever."""
        if not self._is_enabled:
            return
        for index in count():
            await asyncio.sleep(round_interval_s(self._bound_s))
            source = ConfigurationSource(
                self._mirror.is_relayed, self._store.direct_answer_age_s
            )
            asked = entries_to_ask(
                self._entries.node, self._entries.names, source, self._bound_s, index
            )
            # A round doesn't wait for the answers: an entry that is cut off as well
            # would delay the next round.
            for name in asked:
                request = asyncio.get_running_loop().create_task(self._ask(name))
                self._requests.add(request)
                request.add_done_callback(self._requests.discard)

    async def _ask(self, node: str) -> None:
        message = FetchNewer(
            names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, self._revision
        )
        address = self._entries.address_of_node(node)
        answer = await self._links.call(address, message, _CALL_TIMEOUT_S)
        if isinstance(answer, StoredRecord) and answer.revision > self._revision:
            self._log.info(
                "configuration-fetched",
                source=node,
                revision=answer.revision,
                earlier=self._revision,
                store_age_s=self._store.direct_answer_age_s,
            )
            self._mirror.add_relayed(
                Entry(answer.name, answer.revision, answer.value, None)
            )

    def answer(self, message: FetchNewer) -> StoredRecord | Acknowledged:
        """Answer another entry with a configuration that is newer than its own."""
        is_kind = message.kind == names.CONFIGURATION_KIND
        entry = self._mirror.entries.get(message.name) if is_kind else None
        if entry is None or entry.revision <= message.revision:
            return Acknowledged()
        return StoredRecord(entry.name, entry.revision, entry.value)
