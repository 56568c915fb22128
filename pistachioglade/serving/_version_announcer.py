"""Tells the processes beside engines at once of versions that trainers have named.

The load it answers: a version each second for twenty engines, of which each would wake
for each with a watch of its own. The home of an upstream's jobs watches for all.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Final

from ..decisions import FULL_POLICY, Mechanism, Policy
from ..errors import Refusal
from ..forwarding import FleetView
from ..links import LinkPool
from ..logs import logger
from ..messages import VersionNamed
from ..platform import Entry, decode_version, names
from ..store import Mirror, StoreClient
from ._members import Members

#: Time in which named versions are gathered by an entry that tells them on.
_GATHER_S: Final = 0.2
#: The same by one that doesn't, so that it knows them when it becomes the home.
_GATHER_ELSEWHERE_S: Final = 8.0
#: Time for an engine's process to answer; a version that it doesn't hear of here it
#: reads in the store 2 s later.
_TELL_TIMEOUT_S: Final = 1.0


class VersionHerald:
    """Watches named versions, and tells the engines whose home this entry is."""

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        members: Members,
        links: LinkPool,
        engine_port: int,
        models_here: Callable[[], Collection[str]],
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._tells = policy.uses(Mechanism.TOLD_VERSIONS)
        # Models of the jobs that this entry runs.
        self._models_here = models_here
        self._view = view
        self._members = members
        self._links = links
        self._engine_port = engine_port
        self._log = logger(__name__)
        self._tellings: set[asyncio.Task[None]] = set()
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

        A new home that waited for its next look told engines of a version 2.2 s after
        it was named, in a log of an entry that left in the middle of a step.
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
        """Whether this entry tells engines of any model's versions."""
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
        if is_removed or isinstance(named, Refusal) or not self._tells:
            return
        message = VersionNamed(*named)
        for upstream in self._upstreams_at_home(message.model):
            for instance in self._view.open_instances(upstream):
                work = self._tell(instance.host, message)
                task = asyncio.get_running_loop().create_task(work)
                self._tellings.add(task)
                task.add_done_callback(self._tellings.discard)

    async def _tell(self, host: str, message: VersionNamed) -> None:
        address = f"{host}:{self._engine_port}"
        answer = await self._links.call(address, message, _TELL_TIMEOUT_S)
        if isinstance(answer, Refusal):
            self._log.info(
                "engine-not-told",
                engine=address,
                model=message.model,
                version=message.version,
                reason=answer.reason,
            )
