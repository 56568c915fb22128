"""Counters, gauges and timers for statsd; docs/OPERATIONS.md explains the names."""

from __future__ import annotations

import statsd


class Metrics:
    """A statsd client that sends nothing if the address is empty."""

    def __init__(self, address: str, node: str) -> None:
        prefix = f"pistachioglade.{node.replace('.', '_')}"
        self._client: statsd.StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration, which is sent in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_s * 1000.0)
