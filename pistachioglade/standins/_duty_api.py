"""Stand-in for the platform's API: usage reports with rising fencing tokens."""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict
from typing import Any

import attrs

from ..http1 import HttpServer, Reply, Request, Response, ServerLimits
from ..platform import names


@attrs.frozen
class UsageReport:
    """A report that was accepted."""

    # Monotonic time of the acceptance, in seconds.
    at_s: float
    # Node that sent the report.
    holder: str
    # Fencing token of the call.
    token: int
    # Number of the window.
    window: int
    # Number of requests by account.
    counts: dict[str, int]


class DutyApiStandin:
    """Accepts usage reports in the process of a test, and keeps them."""

    def __init__(self) -> None:
        self._server = HttpServer(self._handle, ServerLimits())
        self._highest_token = 0
        # Accepted reports in the order of their arrival.
        self.reports: list[UsageReport] = []

    async def start(self) -> int:
        """Listen on a free port; return the port."""
        await self._server.start("127.0.0.1", 0)
        return self._server.port

    def stop(self) -> None:
        """Stop listening and close every connection at once."""
        self._server.stop_listening()
        for connection in tuple(self._server.connections):
            connection.close()

    async def _handle(self, request: Request, reply: Reply) -> None:
        token = int(request.field(names.FENCING_TOKEN) or 0)
        if request.path != names.USAGE_PATH or token < self._highest_token:
            reply.send(Response(409))
            return
        self._highest_token = token
        sent: dict[str, Any] = json.loads(request.body)
        self.reports.append(
            UsageReport(
                asyncio.get_running_loop().time(),
                request.field(names.DUTY_HOLDER) or "",
                token,
                sent["window-number"],
                sent["counts"],
            )
        )
        reply.send(Response(200))

    def by_window(self) -> dict[int, list[UsageReport]]:
        """Return the reports of each window."""
        found: defaultdict[int, list[UsageReport]] = defaultdict(list)
        for report in self.reports:
            found[report.window].append(report)
        return dict(found)

    def contradictions(self, lease_s: float) -> list[str]:
        """Return what breaks a promise: differing reports, tokens or turns.

        ``lease_s`` is the least time between two calls of a holder that enclose a call
        of another one.
        """
        by_token: dict[int, str] = {}
        found = [
            f"window {window} was reported as {first.counts} and {report.counts}"
            for window, (first, *others) in self.by_window().items()
            for report in others
            if report.counts != first.counts
        ]
        for report in self.reports:
            if by_token.setdefault(report.token, report.holder) != report.holder:
                found.append(f"token {report.token} of {report.holder} and another")
        return found + self._turns(lease_s)

    def _turns(self, lease_s: float) -> list[str]:
        last_s: dict[str, float] = {}
        found = []
        previous = ""
        for report in self.reports:
            since_s = report.at_s - last_s.get(report.holder, float("-inf"))
            if report.holder != previous and since_s < lease_s:
                found.append(f"{report.holder} again {since_s:.3f} s after its call")
            last_s[report.holder] = report.at_s
            previous = report.holder
        return found
