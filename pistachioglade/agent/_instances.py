"""Polls the state of each instance."""

from __future__ import annotations

import asyncio
from types import MappingProxyType
from typing import Any, Final

import attrs

from ..backing import HttpSession, InstanceList
from ..blackboard import Blackboard
from ..config import AgentSettings, EngineSettings
from ..errors import Refusal
from ..telemetry import logger
from ._facts import INSTANCES, InstanceView

_log = logger(__name__)

_STATE_TIMEOUT_S: Final = 1.0
#: Time between two reads of the platform's instance list, in seconds.
_LIST_INTERVAL_S: Final = 5.0


class InstanceWatcher:
    """Polls the instances; the only writer of :data:`INSTANCES`."""

    def __init__(
        self, settings: AgentSettings, board: Blackboard, instances: InstanceList
    ) -> None:
        self._settings = settings
        self._board = board
        self._list = instances
        self._sessions = {
            item.name: HttpSession(item.url, connections=2)
            for item in settings.instances
        }
        self._listed_leaving: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Poll the instances and the instance list until cancelled."""
        watches = [self._watch(item) for item in self._settings.instances]
        await asyncio.gather(self._watch_list(), *watches)

    async def _watch(self, instance: EngineSettings) -> None:
        while True:
            await self.read_state(instance.name)
            await asyncio.sleep(self._settings.state_interval_s)

    async def read_state(self, name: str) -> InstanceView:
        """Read the state of one instance now."""
        session = self._sessions[name]
        reply = await asyncio.to_thread(
            session.request, "GET", "/state", _STATE_TIMEOUT_S
        )
        if isinstance(reply, Refusal) or reply.status != 200:
            view = InstanceView(name, healthy=False)
        else:
            view = _parse_state(name, reply.json())
        if name in self._listed_leaving:
            view = attrs.evolve(view, leaving=True)
        self._publish(view)
        return view

    def _publish(self, view: InstanceView) -> None:
        views = self._board.read(INSTANCES)
        known = views.get(view.name)
        if known is not None and known.healthy != view.healthy:
            _log.warning("instance.health", instance=view.name, healthy=view.healthy)
        self._board.write(INSTANCES, MappingProxyType({**views, view.name: view}))

    async def _watch_list(self) -> None:
        while True:
            listed = await asyncio.to_thread(self._list.read)
            if not isinstance(listed, Refusal):
                self._listed_leaving = frozenset(
                    item.name for item in listed if item.leaving
                )
            await asyncio.sleep(_LIST_INTERVAL_S)


def _parse_state(name: str, fields: dict[str, Any]) -> InstanceView:
    versions = {
        str(model): int(version) for model, version in fields["versions"].items()
    }
    return InstanceView(name, True, bool(fields["leaving"]), versions)
