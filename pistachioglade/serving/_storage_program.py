"""The storage program, which answers requests to empty a machine with a disk.

This system stores nothing on these disks, so a machine is always empty.
"""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from typing import Final

from ..decisions import FULL_POLICY, Policy
from ..errors import Refusal
from ..logs import logger
from ..metrics import Metrics
from ..platform import (
    Entry,
    ProcessSettings,
    encode_retirement,
    is_retirement_open,
    names,
)
from ..store import Mirror, StoreClient
from ..tasks import Supervisor
from ._settings_watch import SettingsWatch

#: Delay before a process answers a request for another machine. A machine that hasn't
#: answered for itself by then is down, cut off or runs none of this system's programs.
_OTHER_MACHINE_DELAY_S: Final = 1.0
#: Pause before a failed answer is retried.
_RETRY_PAUSE_S: Final = 0.3
#: Time for which the store holds a watch. Requests may be answered after seconds, and a
#: silent connection is detected by its keep-alive.
_WATCH_HOLD_S: Final = 5.0


class StorageProgram:
    """Answers requests for any machine: its own at once, the others after a delay."""

    def __init__(
        self, watch: SettingsWatch, metrics: Metrics, policy: Policy = FULL_POLICY
    ) -> None:
        settings = watch.settings
        self._watch = watch
        watch.on_change.append(self._apply_settings)
        self._settings = settings
        self._log = logger(__name__)
        self._store = StoreClient(
            settings.store.host, settings.store.port, metrics, policy=policy
        )
        self._requests = Mirror(
            self._store, names.RETIREMENT_KIND, self._apply_request, _WATCH_HOLD_S
        )
        self._answering: set[str] = set()
        self._is_leaving = asyncio.Event()
        # A task that is given up stops the process in order; the platform restarts it.
        self._supervisor = Supervisor(metrics, self._is_leaving.set)

    def _apply_request(self, entry: Entry, is_removed: bool) -> None:
        is_open = not is_removed and is_retirement_open(entry.status)
        if is_open and entry.name not in self._answering:
            self._answering.add(entry.name)
            work = partial(self._answer_request, entry.name)
            self._supervisor.start("answer", work, may_end=True)

    async def _answer_request(self, node: str) -> None:
        if node != self._settings.node:
            await asyncio.sleep(_OTHER_MACHINE_DELAY_S)
        while self._is_open(node):
            refusal = await self._store.set_status(
                names.RETIREMENT_KIND, node, encode_retirement(True)
            )
            outcome = refusal.reason if isinstance(refusal, Refusal) else "emptied"
            self._log.info("retirement-answered", machine=node, outcome=outcome)
            if refusal is None:
                break
            await asyncio.sleep(_RETRY_PAUSE_S)
        self._answering.discard(node)

    def _is_open(self, node: str) -> bool:
        entry = self._requests.entries.get(node)
        return entry is not None and is_retirement_open(entry.status)

    async def run(self) -> None:
        """Answer requests until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._is_leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.request_reload)
        self._start_tasks()
        self._log.info("started", program="storage")
        await self._is_leaving.wait()
        self._supervisor.stop()
        self._log.info("stopped", program="storage")

    def _start_tasks(self) -> None:
        """Start every background task of the program, each under its own name."""
        self._supervisor.start("requests", self._requests.run)
        self._supervisor.start("settings", self._watch.run)

    def _apply_settings(self, settings: ProcessSettings) -> None:
        self._settings = settings
        self._store.move_to(settings.store.host, settings.store.port)
