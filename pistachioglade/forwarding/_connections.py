"""Builds the connection pools of instances and applies the limit of their upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from ..decisions import (
    FULL_POLICY,
    InstanceRecord,
    Mechanism,
    Policy,
    connection_limit,
    prefer_idle_connection,
)
from ..fleet import Configuration, Instance
from ..http1 import CloseReason, Memory, Pool
from ..logs import logger
from ..metrics import Metrics


class _Observer:
    """Logs and counts the connections to one instance."""

    def __init__(self, instance: Instance, metrics: Metrics) -> None:
        self._instance = instance
        self._metrics = metrics
        self._log = logger(__name__)

    def on_opened(self) -> None:
        """Record that a connection was opened."""
        self._metrics.record_connection(self._instance.upstream, "opened")
        self._write("connection-opened")

    def on_reused(self) -> None:
        """Count a reuse; the line of the try that follows names the instance."""
        self._metrics.record_connection(self._instance.upstream, "reused")

    def on_closed(self, reason: CloseReason) -> None:
        """Record that a connection was closed."""
        self._metrics.record_connection(self._instance.upstream, reason.value)
        self._write("connection-closed", reason=reason.value)

    def on_waited(self, waited_s: float, is_reused: bool) -> None:
        """Record that a request waited since it may not open a connection."""
        self._metrics.record_connection(self._instance.upstream, "waited")
        self._write(
            "connection-awaited", waited_s=round(waited_s, 4), is_reused=is_reused
        )

    def _write(self, event: str, **fields: object) -> None:
        instance = self._instance
        self._log.info(
            event, upstream=instance.upstream, instance=instance.id, **fields
        )


class InstanceConnections:
    """What the connections to all instances have in common."""

    def __init__(
        self,
        memory: Memory | None = None,
        metrics: Metrics | None = None,
        policy: Policy = FULL_POLICY,
        count_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self._memory = memory or Memory()
        self._metrics = metrics or Metrics()
        self._has_limits = policy.uses(Mechanism.CONNECTION_LIMITS)
        self._prefers_idle = policy.uses(Mechanism.CONNECTION_REUSE)
        # Returns the number of listed entries, this one included.
        self.count_entries = count_entries
        # The configuration in force; None before the first.
        self.configuration: Configuration | None = None

    def create_pool(self, instance: Instance, record: InstanceRecord) -> Pool:
        """Return the pool of a listed instance."""
        limit = partial(self._limit, instance.upstream, record)
        observer = _Observer(instance, self._metrics)
        return Pool(instance.host, instance.port, self._memory, limit, observer)

    def _limit(self, upstream: str, record: InstanceRecord) -> int | None:
        configuration = self.configuration
        known = configuration.upstreams.get(upstream) if configuration else None
        if known is None or not self._has_limits:
            return None
        now_s = asyncio.get_running_loop().time()
        return connection_limit(
            known.max_connections, self.count_entries(), record.others_load(now_s)
        )

    def prefer_idle(
        self,
        chosen: str | None,
        records: list[tuple[str, InstanceRecord]],
        pools: Callable[[str], Pool | None],
        units: int = 1,
    ) -> str | None:
        """Return the chosen instance, or an equally good one with an idle connection.

        ``units`` is the expected number of events; 1 for a lookup.
        """
        pool = None if chosen is None else pools(chosen)
        if chosen is None or pool is None or not self._prefers_idle:
            return chosen
        if not pool.opened:
            # Otherwise a new or returning instance would get no requests at all while
            # another one has an idle connection.
            return chosen

        def has_idle(name: str) -> bool:
            pool = pools(name)
            return pool is not None and pool.has_usable_idle

        now_s = asyncio.get_running_loop().time()
        return prefer_idle_connection(chosen, records, has_idle, now_s, units)
