"""The program beside a model engine, which gives it its orders while it lives."""

from __future__ import annotations

import asyncio
import secrets
import signal
from typing import Any, Final

from ..decisions import FULL_POLICY, Mechanism, Policy, rank_of, remembered_places
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Instance
from ..http1 import Pool
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
from ..weights import EngineOrders, OrderLease, OrderStep, Progress
from ._secret import SHARED_SECRET
from ._settings_watch import SettingsWatch

#: Time between two looks at the named versions; an entry tells them sooner.
_VERSIONS_S: Final = 2.0
#: Time between two looks at an engine that is behind or being loaded.
_LOOK_S: Final = 0.2
#: Time between two looks at an engine that is up to date; an engine that restarted
#: behind an order shows itself by then. A report on its own machine is free.
_IDLE_LOOK_S: Final = 2.0
#: Longest pause behind a refused lease.
_LONGEST_PAUSE_S: Final = 1.0
#: Time for which an engine's place is believed: engines come and go in seconds, and
#: two that load out of turn for once cost one paid load.
_RANK_S: Final = 4.0


def _pause_s(step: OrderStep) -> float:
    usual_s = _IDLE_LOOK_S if step.progress is Progress.CURRENT else _LOOK_S
    return max(usual_s, min(_LONGEST_PAUSE_S, step.wait_s))


def _pair(address: Address) -> tuple[str, int]:
    return address.host, address.port


class EngineProgram:
    """Keeps one engine's weights at the versions that the trainers have named."""

    def __init__(
        self, watch: SettingsWatch, metrics: Metrics, policy: Policy = FULL_POLICY
    ) -> None:
        settings = watch.settings
        self._watch = watch
        watch.on_change.append(self._follow_settings)
        assert settings.engine is not None
        self._settings = settings
        self._log = logger(__name__)
        self._store = StoreClient(
            settings.store.host, settings.store.port, metrics, policy=policy
        )
        lease = OrderLease(
            self._store,
            str(settings.engine),
            settings.node,
            secrets.token_hex(4),
            True,
            settings.lease_s,
            settings.checks_fences,
        )
        self._orders = EngineOrders(
            Pool(settings.engine.host, settings.engine.port),
            settings.node,
            lease,
            self._rank,
            policy.uses(Mechanism.SKIPPED_VERSIONS),
        )
        identity = Identity(settings.node, SHARED_SECRET)
        self._links = LinkServer(identity, self._answer)
        self._last_rank = 0
        self._ranked_s = float("-inf")
        # When each engine of the upstream was last listed, by its address.
        self._places_s: dict[str, float] = {}
        self._has_news = asyncio.Event()
        self._is_leaving = asyncio.Event()
        # Work that is given up ends the process in order: the platform starts it anew.
        self._supervisor = Supervisor(metrics, self._is_leaving.set)

    async def _read_versions(self) -> None:
        """Read all named versions, now and then.

        An entry that watches them tells of each at once. This is for what its word
        does not reach, so a list that may be old will do, at a tenth of the price.
        """
        while True:
            page = await self._store.page(names.VERSION_KIND, "", may_be_old=True)
            if not isinstance(page, Refusal):
                for entry in page.entries:
                    self._take_entry(entry)
            await asyncio.sleep(_VERSIONS_S)

    def _take_entry(self, entry: Entry) -> None:
        named = decode_version(entry.value)
        if isinstance(named, Refusal):
            self._log.error("version-refused", reason=named.reason)
            return
        self._take_version(*named, source="store")

    async def _answer(self, message: Any, peer: Peer) -> Any:
        """Answer an entry that tells of a version, or asks whether this lives."""
        if isinstance(message, Probe):
            return Acknowledged()
        if not isinstance(message, VersionNamed):
            return refuse(ErrorKind.BAD_REQUEST, f"not for engines: {message!r:.80}")
        self._take_version(message.model, message.version, source=peer.node)
        return Acknowledged()

    def _take_version(self, model: str, version: int, source: str) -> None:
        if self._orders.want(model, version):
            self._log.info("version-named", model=model, version=version, source=source)
            self._has_news.set()

    async def run(self) -> None:
        """Follow the trainers until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._is_leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.signal)
        self._start_work()
        address = f"{self._settings.host}:{self._settings.internal_port}"
        await self._links.start(address)
        self._log.info("started", program="engine", engine=str(self._settings.engine))
        await self._is_leaving.wait()
        self._supervisor.stop()
        self._log.info("stopped", program="engine")

    def _start_work(self) -> None:
        """Start all that the program lives by, each under its name."""
        self._supervisor.start("versions", self._read_versions)
        self._supervisor.start("engine", self._follow)
        self._supervisor.start("settings", self._watch.run)

    def _follow_settings(self, settings: ProcessSettings) -> None:
        self._settings = settings
        self._store.move_to(settings.store.host, settings.store.port)

    async def _follow(self) -> None:
        while True:
            step = await self._orders.step()
            self._has_news.clear()
            try:
                async with asyncio.timeout(_pause_s(step)):
                    await self._has_news.wait()
            except TimeoutError:
                continue

    async def _rank(self) -> int:
        """Return this engine's place in its upstream, as of some seconds ago."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._ranked_s < _RANK_S:
            return self._last_rank
        page = await self._store.page(names.INSTANCE_KIND, "", may_be_old=True)
        if isinstance(page, Refusal):
            return self._last_rank
        read = [decode_instance(entry.name, entry.value) for entry in page.entries]
        listed = [item for item in read if isinstance(item, Instance)]
        engine = self._settings.engine
        assert engine is not None
        own = [item for item in listed if (item.host, item.port) == _pair(engine)]
        if own:
            peers = [
                f"{item.host}:{item.port}"
                for item in listed
                if item.upstream == own[0].upstream
            ]
            self._places_s = remembered_places(self._places_s, peers, now_s)
            self._last_rank = rank_of(str(engine), self._places_s)
            self._ranked_s = now_s
        return self._last_rank
