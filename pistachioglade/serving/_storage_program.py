"""The program on machines with a disk: answers requests to empty such a machine.

Nothing of the product lies on these disks, so a machine is empty when it is asked.
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

#: Time for which a process leaves a request to the machine that is asked; by then it
#: is down, cut off or runs nothing of ours.
_OWN_TURN_S: Final = 1.0
#: Pause before an answer that failed is given again.
_PAUSE_S: Final = 0.3
#: Time that the watch waits. Requests allow seconds, and a silent connection shows
#: itself by its keep-alive.
_WATCH_HOLD_S: Final = 5.0


class StorageProgram:
    """Answers the requests of any machine, its own at once."""

    def __init__(
        self, watch: SettingsWatch, metrics: Metrics, policy: Policy = FULL_POLICY
    ) -> None:
        settings = watch.settings
        self._watch = watch
        watch.on_change.append(self._follow_settings)
        self._settings = settings
        self._log = logger(__name__)
        self._store = StoreClient(
            settings.store.host, settings.store.port, metrics, policy=policy
        )
        self._requests = Mirror(
            self._store, names.RETIREMENT_KIND, self._take, _WATCH_HOLD_S
        )
        self._answering: set[str] = set()
        self._is_leaving = asyncio.Event()
        # Work that is given up ends the process in order: the platform starts it anew.
        self._supervisor = Supervisor(metrics, self._is_leaving.set)

    def _take(self, entry: Entry, is_removed: bool) -> None:
        is_open = not is_removed and is_retirement_open(entry.status)
        if is_open and entry.name not in self._answering:
            self._answering.add(entry.name)
            work = partial(self._answer, entry.name)
            self._supervisor.start("answer", work, may_end=True)

    async def _answer(self, node: str) -> None:
        if node != self._settings.node:
            await asyncio.sleep(_OWN_TURN_S)
        while self._is_open(node):
            refusal = await self._store.set_status(
                names.RETIREMENT_KIND, node, encode_retirement(True)
            )
            outcome = refusal.reason if isinstance(refusal, Refusal) else "emptied"
            self._log.info("retirement-answered", machine=node, outcome=outcome)
            if refusal is None:
                break
            await asyncio.sleep(_PAUSE_S)
        self._answering.discard(node)

    def _is_open(self, node: str) -> bool:
        entry = self._requests.entries.get(node)
        return entry is not None and is_retirement_open(entry.status)

    async def run(self) -> None:
        """Answer until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._is_leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.signal)
        self._start_work()
        self._log.info("started", program="storage")
        await self._is_leaving.wait()
        self._supervisor.stop()
        self._log.info("stopped", program="storage")

    def _start_work(self) -> None:
        """Start all that the program lives by, each under its name."""
        self._supervisor.start("requests", self._requests.run)
        self._supervisor.start("settings", self._watch.run)

    def _follow_settings(self, settings: ProcessSettings) -> None:
        self._settings = settings
        self._store.move_to(settings.store.host, settings.store.port)
