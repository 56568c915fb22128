"""Announces the versions that trainers name to whoever orders each engine's weights.

The load it answers: a version each second for twenty engines, of which each would wake
for each with a watch of its own. The home of an upstream's jobs watches for all. An
engine without a live process beside it has an entry that attends it.
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
from ..weights import UnattendedEngines
from ._members import Members

_log = logger(__name__)

#: Time in which named versions are gathered by an entry that announces them.
_GATHER_S: Final = 0.2
#: The same by one that doesn't, so that it knows them when it becomes the home.
_GATHER_ELSEWHERE_S: Final = 8.0
#: Time for an engine's process to answer; it reads the versions in the store as well.
_TELL_TIMEOUT_S: Final = 1.0
#: Time for the process beside an engine to show that it lives.
_PROBE_TIMEOUT_S: Final = 0.5
#: Time for which the process beside an engine is not asked again.
_UNATTENDED_S: Final = 10.0
#: Time between two announcements to entries that attend engines.
_AGAIN_S: Final = 2.0


async def is_attended(links: LinkPool, engine_port: int, instance: Instance) -> bool:
    """Whether the process beside an engine lives."""
    address = f"{instance.host}:{engine_port}"
    answer = await links.call(address, Probe(), _PROBE_TIMEOUT_S)
    return isinstance(answer, Acknowledged)


async def tell_attendant(
    members: Members, links: LinkPool, node: str, message: EngineUnattended
) -> bool:
    """Tell an entry of an engine without a process; return whether it takes it on."""
    address = members.address_of_node(node)
    if not address:
        return False
    answer = await links.call(address, message, _TELL_TIMEOUT_S)
    if isinstance(answer, Refusal):
        _log.info(
            "engine-left-unattended",
            engine=message.instance_id,
            entry=node,
            model=message.model,
            version=message.version,
            reason=answer.reason,
        )
    return isinstance(answer, Acknowledged)


class VersionAnnouncer:
    """Watches named versions, and announces them where this entry is the home."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        members: Members,
        links: LinkPool,
        engine_port: int,
        models_here: Callable[[], Collection[str]],
        unattended: UnattendedEngines,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._announces = policy.uses(Mechanism.TOLD_VERSIONS)
        # Models of the jobs that this entry runs.
        self._models_here = models_here
        self._view = view
        self._members = members
        self._links = links
        self._engine_port = engine_port
        self._unattended = unattended
        # Until when the process beside an engine counts as gone, by the engine's id.
        self._unattended_until_s: dict[str, float] = {}
        # Newest announced version by model.
        self._newest: dict[str, int] = {}
        # Newest version that the process beside an engine was told, by id and model.
        self._told: dict[tuple[str, str], int] = {}
        # Engines and models whose version is being told.
        self._in_progress: set[tuple[str, str]] = set()
        # Named versions by model's object.
        self.mirror = Mirror(
            store,
            names.VERSION_KIND,
            self._take,
            gather_s=self._gather_s,
            may_be_late=self._may_be_late,
        )
        self._is_late = True

    def note_job(self) -> None:
        """Hear of versions at once from now on, since a job begins here.

        A new home that waited for its next look would tell engines seconds late.
        """
        if self._is_late:
            self.mirror.hurry()

    def _may_be_late(self) -> bool:
        self._is_late = not self._is_home()
        return self._is_late

    def _upstreams_at_home(self, model: str) -> list[str]:
        configuration = self._view.configuration
        if configuration is None:
            return []
        runs_it = model in self._models_here()
        return [
            name
            for name, upstream in configuration.upstreams.items()
            if model in upstream.models
            and (runs_it or self._members.is_home(name, model))
        ]

    def _is_home(self) -> bool:
        """Whether this entry announces any model's versions."""
        models = (
            decoded[0]
            for entry in self.mirror.entries.values()
            if not isinstance(decoded := decode_version(entry.value), Refusal)
        )
        return any(self._upstreams_at_home(model) for model in models)

    def _gather_s(self) -> float:
        return _GATHER_S if self._is_home() else _GATHER_ELSEWHERE_S

    def _take(self, entry: Entry, is_removed: bool) -> None:
        named = decode_version(entry.value)
        if is_removed or isinstance(named, Refusal) or not self._announces:
            return
        model, version = named
        self._newest[model] = version
        self._announce_all()

    async def run(self) -> None:
        """Announce again what hasn't reached whoever orders an engine, for good.

        An entry that attends an engine may be lost, and a home takes over from another.
        """
        while True:
            await asyncio.sleep(_AGAIN_S)
            if self._announces:
                self._announce_all()

    def _announce_all(self) -> None:
        for model, version in self._newest.items():
            for upstream in self._upstreams_at_home(model):
                for instance in self._view.open_instances(upstream):
                    told = self._told.get((instance.id, model), 0)
                    if told < version:
                        self._begin(instance, VersionNamed(model, version))
        known = self._view.instances
        self._told = {key: told for key, told in self._told.items() if key[0] in known}

    def _begin(self, instance: Instance, message: VersionNamed) -> None:
        key = instance.id, message.model
        if key in self._in_progress:
            return
        self._in_progress.add(key)
        work = self._announce(instance, message)
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(partial(self._ended, key))

    def _ended(self, key: tuple[str, str], task: asyncio.Task[None]) -> None:
        self._in_progress.discard(key)
        if not task.cancelled() and task.exception() is not None:
            _log.error("version-not-announced", exc_info=task.exception())

    async def _announce(self, instance: Instance, message: VersionNamed) -> None:
        """Tell whoever orders an engine."""
        if await self._tell_beside(instance, message):
            self._told[instance.id, message.model] = message.version
        else:
            await self._tell_attendant(instance, message)

    async def _tell_beside(self, instance: Instance, message: VersionNamed) -> bool:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._unattended_until_s.get(instance.id, now_s):
            return False
        address = f"{instance.host}:{self._engine_port}"
        answer = await self._links.call(address, message, _TELL_TIMEOUT_S)
        if isinstance(answer, Acknowledged):
            self._unattended_until_s.pop(instance.id, None)
            return True
        self._unattended_until_s[instance.id] = now_s + _UNATTENDED_S
        _log.info(
            "engine-not-told",
            engine=address,
            model=message.model,
            version=message.version,
            reason=getattr(answer, "reason", "no engine's process"),
        )
        return False

    async def _tell_attendant(self, instance: Instance, message: VersionNamed) -> None:
        told = EngineUnattended(instance.id, message.model, message.version)
        node = self._members.attendant_of(instance)
        if node == self._members.node:
            self._unattended.take(told)
        elif not await tell_attendant(self._members, self._links, node, told):
            self._members.note_unreached(node)
