"""Logs and counts the clients that a server cuts off."""

from __future__ import annotations

import time
from typing import Final

from ..http1 import ClientEnd
from ..logs import logger
from ..metrics import Metrics

#: Shortest time between two log lines for one reason, in seconds.
_LOG_INTERVAL_S: Final = 1.0


class ClientEnds:
    """Records who was cut off at one server, and why."""

    def __init__(self, server: str, metrics: Metrics) -> None:
        self._server = server
        self._metrics = metrics
        self._log = logger(__name__)
        # Monotonic time of the last line about each reason, in seconds.
        self._logged_s: dict[ClientEnd, float] = {}
        # Clients cut off since then.
        self._unlogged: dict[ClientEnd, int] = {}

    def record(self, client: str, end: ClientEnd) -> None:
        """Count a client; a log line names one and counts those since the last line."""
        self._metrics.record_client_end(self._server, end.value)
        count = self._unlogged[end] = self._unlogged.get(end, 0) + 1
        now_s = time.monotonic()
        if now_s - self._logged_s.get(end, float("-inf")) < _LOG_INTERVAL_S:
            return
        self._logged_s[end], self._unlogged[end] = now_s, 0
        self._log.info(
            "client-cut-off",
            server=self._server,
            client=client,
            reason=end.value,
            count=count,
        )
