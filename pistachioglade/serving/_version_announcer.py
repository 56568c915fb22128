"""Announces the versions that trainers name to the processes that order weight loads.

Trainers may name a version each second for twenty engines. If each engine program
watched the versions itself, each version would wake all of them. Instead, the entry
that owns an upstream's jobs watches for all engines of the upstream; this entry is the
announcer. If the engine program beside an engine can't be reached, the announcer
notifies the engine's fallback entry, which sends the engine's load orders.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from functools import partial
from typing import Final

from ..decisions import FULL_POLICY, Mechanism, Policy
from ..errors import Refusal
from ..fleet import Instance
from ..forwarding import FleetView
from ..links import LinkPool
from ..logs import logger
from ..messages import Acknowledged, EngineUnattended, Probe, VersionNamed
from ..platform import Entry, decode_version, names
from ..store import Mirror, StoreClient
from ..weights import FallbackEngineOrders
from ._members import Members

_log = logger(__name__)

#: Delay between watches of named versions at an announcer.
_GATHER_AS_ANNOUNCER_S: Final = 0.2
#: The same delay at other entries, which need the versions once they become announcer.
_GATHER_ELSEWHERE_S: Final = 8.0
#: Timeout for a notification. An engine program that misses a notification finds the
#: version in the store.
_NOTIFY_TIMEOUT_S: Final = 1.0
#: Timeout for a probe of the engine program beside an engine.
_PROBE_TIMEOUT_S: Final = 0.5
#: Cooldown of an engine program after a failed notification.
_ENGINE_PROGRAM_COOLDOWN_S: Final = 10.0
#: Time between two attempts to announce versions that were not acknowledged.
_RETRY_INTERVAL_S: Final = 2.0


async def is_program_alive(
    links: LinkPool, engine_port: int, instance: Instance
) -> bool:
    """Whether the engine program beside an engine answers a probe."""
    address = f"{instance.host}:{engine_port}"
    answer = await links.call(address, Probe(), _PROBE_TIMEOUT_S)
    return isinstance(answer, Acknowledged)


async def notify_fallback(
    members: Members, links: LinkPool, node: str, message: EngineUnattended
) -> bool:
    """Ask an entry to send an engine's load orders; return whether it accepts."""
    address = members.address_of_node(node)
    if not address:
        return False
    answer = await links.call(address, message, _NOTIFY_TIMEOUT_S)
    if isinstance(answer, Refusal):
        _log.info(
            "fallback-entry-refused",
            engine=message.instance_id,
            entry=node,
            model=message.model,
            version=message.version,
            reason=answer.reason,
        )
    return isinstance(answer, Acknowledged)


class VersionAnnouncer:
    """Watches named versions, and announces them where this entry is announcer."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        members: Members,
        links: LinkPool,
        engine_port: int,
        models_run: Callable[[], Collection[str]],
        fallback_orders: FallbackEngineOrders,
        bound_s: float,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._is_enabled = policy.uses(Mechanism.TOLD_VERSIONS)
        # Models of the jobs that this entry runs.
        self._models_run = models_run
        self._view = view
        self._members = members
        self._links = links
        self._engine_port = engine_port
        self._fallback_orders = fallback_orders
        # Monotonic time until which an engine program is not notified, in seconds, by
        # the engine's id.
        self._cooldown_until_s: dict[str, float] = {}
        # Newest named version by model.
        self._newest: dict[str, int] = {}
        # Newest version that the engine program has acknowledged, by the engine's id
        # and model.
        self._acknowledged: dict[tuple[str, str], int] = {}
        # Engine ids and models with an announcement in progress.
        self._in_progress: set[tuple[str, str]] = set()
        # Copy of the store's objects of named versions.
        self.mirror = Mirror(
            store,
            names.VERSION_KIND,
            self._apply_change,
            batch_window_s=self._gather_s,
            may_be_stale=lambda: not self._is_announcer(),
            # A version has to be known as soon as a configuration.
            bound_s=lambda: bound_s if self._is_announcer() else None,
        )

    def refresh_for_job(self) -> None:
        """Watch versions without delay from now on, since a job begins here.

        Otherwise a new announcer would wait for its current watch to end, and would
        notify engines seconds late.
        """
        self.mirror.require_current()

    def _announced_upstreams(self, model: str) -> list[str]:
        configuration = self._view.configuration
        if configuration is None:
            return []
        runs_model = model in self._models_run()
        return [
            name
            for name, upstream in configuration.upstreams.items()
            if model in upstream.models
            and (runs_model or self._members.is_announcer(name, model))
        ]

    def _is_announcer(self) -> bool:
        """Whether this entry announces any model's versions."""
        models = (
            decoded[0]
            for entry in self.mirror.entries.values()
            if not isinstance(decoded := decode_version(entry.value), Refusal)
        )
        return any(self._announced_upstreams(model) for model in models)

    def _gather_s(self) -> float:
        return _GATHER_AS_ANNOUNCER_S if self._is_announcer() else _GATHER_ELSEWHERE_S

    def _apply_change(self, entry: Entry, is_removed: bool) -> None:
        named = decode_version(entry.value)
        if is_removed or isinstance(named, Refusal) or not self._is_enabled:
            return
        model, version = named
        self._newest[model] = version
        self._announce_all()

    async def run(self) -> None:
        """Retry announcements that no engine program has acknowledged, forever.

        Retries are needed since a fallback entry may be lost, and since another entry
        may become announcer.
        """
        while True:
            await asyncio.sleep(_RETRY_INTERVAL_S)
            if self._is_enabled:
                self._announce_all()

    def _announce_all(self) -> None:
        for model, version in self._newest.items():
            for upstream in self._announced_upstreams(model):
                for instance in self._view.open_instances(upstream):
                    acknowledged = self._acknowledged.get((instance.id, model), 0)
                    if acknowledged < version:
                        self._start_announcement(instance, VersionNamed(model, version))
        known = self._view.instances
        self._acknowledged = {
            key: acknowledged
            for key, acknowledged in self._acknowledged.items()
            if key[0] in known
        }

    def _start_announcement(self, instance: Instance, message: VersionNamed) -> None:
        key = instance.id, message.model
        if key in self._in_progress:
            return
        self._in_progress.add(key)
        work = self._announce(instance, message)
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(partial(self._finish_announcement, key))

    def _finish_announcement(
        self, key: tuple[str, str], task: asyncio.Task[None]
    ) -> None:
        self._in_progress.discard(key)
        if not task.cancelled() and task.exception() is not None:
            _log.error("version-not-announced", exc_info=task.exception())

    async def _announce(self, instance: Instance, message: VersionNamed) -> None:
        """Notify an engine program, or else the engine's fallback entry."""
        if await self._notify_engine_program(instance, message):
            self._acknowledged[instance.id, message.model] = message.version
        else:
            await self._notify_fallback_entry(instance, message)

    async def _notify_engine_program(
        self, instance: Instance, message: VersionNamed
    ) -> bool:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._cooldown_until_s.get(instance.id, now_s):
            return False
        address = f"{instance.host}:{self._engine_port}"
        answer = await self._links.call(address, message, _NOTIFY_TIMEOUT_S)
        if isinstance(answer, Acknowledged):
            self._cooldown_until_s.pop(instance.id, None)
            return True
        self._cooldown_until_s[instance.id] = now_s + _ENGINE_PROGRAM_COOLDOWN_S
        _log.info(
            "engine-program-not-notified",
            engine=address,
            model=message.model,
            version=message.version,
            reason=getattr(answer, "reason", "no engine's process"),
        )
        return False

    async def _notify_fallback_entry(
        self, instance: Instance, message: VersionNamed
    ) -> None:
        request = EngineUnattended(instance.id, message.model, message.version)
        node = self._members.choose_fallback_entry(instance)
        if node == self._members.node:
            self._fallback_orders.accept_engine(request)
        elif not await notify_fallback(self._members, self._links, node, request):
            self._members.record_unreachable(node)
