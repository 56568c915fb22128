"""What an owner knows of the agents that it sends samples to."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from ..decisions import AgentView
from ..messages import AgentLoad

#: Slots of an agent that has not answered yet.
_FIRST_SLOTS: Final = 4


class AgentLoads:
    """The last report of each agent, plus what was sent there since."""

    def __init__(self) -> None:
        self._loads: dict[str, AgentLoad] = {}
        self._outstanding: dict[str, int] = defaultdict(int)
        self._resting_until_s: dict[str, float] = {}

    def sent(self, agent: str) -> None:
        """Count a sample that goes out."""
        self._outstanding[agent] += 1

    def returned(self, agent: str) -> None:
        """Count a sample that came back, or its failure."""
        self._outstanding[agent] -= 1

    def report(self, agent: str, load: AgentLoad) -> None:
        """Take an agent's report."""
        self._loads[agent] = load

    def rest(self, agent: str, until_s: float) -> None:
        """Send nothing to an agent for a while."""
        self._resting_until_s[agent] = until_s

    def views(self, agents: Iterable[str], now_s: float) -> tuple[AgentView, ...]:
        """Return what placement needs to know of ``agents``."""
        return tuple(self._view(agent, now_s) for agent in agents)

    def _view(self, agent: str, now_s: float) -> AgentView:
        load = self._loads.get(agent)
        own = self._outstanding[agent]
        usable = self._resting_until_s.get(agent, 0.0) <= now_s
        if load is None:
            return AgentView(agent, _FIRST_SLOTS, own, usable=usable)
        others = max(0, load.running + load.queued - own)
        return AgentView(agent, load.slots, own, others, usable)
