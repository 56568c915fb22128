"""The engine program, which runs beside a model engine and sends its load orders."""

from __future__ import annotations

import asyncio
import secrets
import signal
from typing import Any, Final

from ..decisions import FULL_POLICY, Mechanism, Policy, engine_rank, recently_listed
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Instance
from ..http1 import Pool
from ..leases import ENGINE_LEASE_KIND, Lease, LeaseTerms
from ..links import Identity, LinkServer, Peer
from ..logs import logger
from ..messages import Acknowledged, Probe, VersionNamed
from ..metrics import Metrics
from ..platform import (
    Address,
    Entry,
    ProcessSettings,
    decode_instance,
    decode_version,
    names,
)
from ..store import StoreClient
from ..tasks import Supervisor
from ..weights import EngineOrders, OrderStep, Progress
from ._secret import SHARED_SECRET
from ._settings_watch import SettingsWatch

#: Time between two reads of the named versions. An entry announces them sooner.
_VERSIONS_INTERVAL_S: Final = 2.0
#: Time between two checks of an engine that is behind or loading weights.
_BUSY_INTERVAL_S: Final = 0.2
#: Time between two checks of an engine that is up to date. A check finds an engine that
#: has restarted after an order. Reading a report on the same machine costs nothing.
_IDLE_INTERVAL_S: Final = 2.0
#: Longest pause after a refused lease.
_LONGEST_PAUSE_S: Final = 1.0
#: Time for which the rank of an engine is valid. Engines come and go within seconds. If
#: two engines load out of turn once, this costs one paid load.
_RANK_VALIDITY_S: Final = 4.0


def _pause_s(step: OrderStep) -> float:
    usual_s = (
        _IDLE_INTERVAL_S if step.progress is Progress.CURRENT else _BUSY_INTERVAL_S
    )
    return max(usual_s, min(_LONGEST_PAUSE_S, step.wait_s))


def _host_and_port(address: Address) -> tuple[str, int]:
    return address.host, address.port


class EngineProgram:
    """Keeps one engine's weights at the versions that the trainers have named."""

    def __init__(
        self, watch: SettingsWatch, metrics: Metrics, policy: Policy = FULL_POLICY
    ) -> None:
        settings = watch.settings
        self._watch = watch
        watch.on_change.append(self._apply_settings)
        assert settings.engine is not None
        self._settings = settings
        self._log = logger(__name__)
        self._store = StoreClient(
            settings.store.host, settings.store.port, metrics, policy=policy
        )
        terms = LeaseTerms(
            ENGINE_LEASE_KIND,
            str(settings.engine),
            settings.lease_s,
            settings.checks_fences,
            is_beside=True,
        )
        lease = Lease(self._store, terms, settings.node, secrets.token_hex(4))
        self._orders = EngineOrders(
            Pool(settings.engine.host, settings.engine.port),
            settings.node,
            lease,
            self._current_rank,
            policy.uses(Mechanism.SKIPPED_VERSIONS),
        )
        identity = Identity(settings.node, SHARED_SECRET)
        self._links = LinkServer(identity, self._answer)
        self._last_rank = 0
        self._ranked_s = float("-inf")
        # Monotonic time at which each engine of the upstream was last listed, in
        # seconds, by address.
        self._last_listed_s: dict[str, float] = {}
        self._has_new_version = asyncio.Event()
        self._is_leaving = asyncio.Event()
        # A task that is given up stops the process in order; the platform restarts it.
        self._supervisor = Supervisor(metrics, self._is_leaving.set)

    async def _read_versions(self) -> None:
        """Read all named versions at intervals, forever.

        An entry that watches the versions announces each at once. The reads cover lost
        announcements, so a list that may be stale suffices, at a tenth of the price.
        """
        while True:
            page = await self._store.page(names.VERSION_KIND, "", may_be_stale=True)
            if not isinstance(page, Refusal):
                for entry in page.entries:
                    self._apply_entry(entry)
            await asyncio.sleep(_VERSIONS_INTERVAL_S)

    def _apply_entry(self, entry: Entry) -> None:
        named = decode_version(entry.value)
        if isinstance(named, Refusal):
            self._log.error("version-refused", reason=named.reason)
            return
        self._apply_version(*named, source="store")

    async def _answer(self, message: Any, peer: Peer) -> Any:
        """Answer an entry that announces a version or probes this program."""
        if isinstance(message, Probe):
            return Acknowledged()
        if not isinstance(message, VersionNamed):
            return refuse(ErrorKind.BAD_REQUEST, f"not for engines: {message!r:.80}")
        self._apply_version(message.model, message.version, source=peer.node)
        return Acknowledged()

    def _apply_version(self, model: str, version: int, source: str) -> None:
        if self._orders.record_named_version(model, version):
            self._log.info("version-named", model=model, version=version, source=source)
            self._has_new_version.set()

    async def run(self) -> None:
        """Order the versions that trainers name until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._is_leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.request_reload)
        self._start_tasks()
        address = f"{self._settings.host}:{self._settings.internal_port}"
        await self._links.start(address)
        self._log.info("started", program="engine", engine=str(self._settings.engine))
        await self._is_leaving.wait()
        self._supervisor.stop()
        self._log.info("stopped", program="engine")

    def _start_tasks(self) -> None:
        """Start every background task of the program, each under its own name."""
        self._supervisor.start("versions", self._read_versions)
        self._supervisor.start("engine", self._follow_orders)
        self._supervisor.start("settings", self._watch.run)

    def _apply_settings(self, settings: ProcessSettings) -> None:
        self._settings = settings
        self._store.move_to(settings.store.host, settings.store.port)

    async def _follow_orders(self) -> None:
        while True:
            step = await self._orders.step()
            self._has_new_version.clear()
            try:
                async with asyncio.timeout(_pause_s(step)):
                    await self._has_new_version.wait()
            except TimeoutError:
                continue

    async def _current_rank(self) -> int:
        """Return this engine's rank in its upstream, possibly some seconds old."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._ranked_s < _RANK_VALIDITY_S:
            return self._last_rank
        page = await self._store.page(names.INSTANCE_KIND, "", may_be_stale=True)
        if isinstance(page, Refusal):
            return self._last_rank
        decoded = [decode_instance(entry.name, entry.value) for entry in page.entries]
        listed = [item for item in decoded if isinstance(item, Instance)]
        engine = self._settings.engine
        assert engine is not None
        own_instances = [
            item for item in listed if (item.host, item.port) == _host_and_port(engine)
        ]
        if own_instances:
            peers = [
                f"{item.host}:{item.port}"
                for item in listed
                if item.upstream == own_instances[0].upstream
            ]
            self._last_listed_s = recently_listed(self._last_listed_s, peers, now_s)
            self._last_rank = engine_rank(str(engine), self._last_listed_s)
            self._ranked_s = now_s
        return self._last_rank
