"""The load of each agent, as the owner that sends samples there knows it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from ..decisions import AgentView
from ..messages import AgentLoad

#: Slots assumed for an agent that has not reported its load yet.
_FIRST_SLOTS: Final = 4


class AgentLoads:
    """The last load report and the outstanding samples of each agent."""

    def __init__(self) -> None:
        self._loads: dict[str, AgentLoad] = {}
        self._outstanding: dict[str, int] = defaultdict(int)
        self._cooldown_until_s: dict[str, float] = {}

    def record_sent(self, agent: str) -> None:
        """Count a sample that is sent to an agent."""
        self._outstanding[agent] += 1

    def record_returned(self, agent: str) -> None:
        """Count a sample that an agent answered or failed."""
        self._outstanding[agent] -= 1

    def record_report(self, agent: str, load: AgentLoad) -> None:
        """Store an agent's load report."""
        self._loads[agent] = load

    def start_cooldown(self, agent: str, until_s: float) -> None:
        """Send nothing to an agent until the monotonic time ``until_s``."""
        self._cooldown_until_s[agent] = until_s

    def views(self, agents: Iterable[str], now_s: float) -> tuple[AgentView, ...]:
        """Return the placement input for ``agents``."""
        return tuple(self._view(agent, now_s) for agent in agents)

    def _view(self, agent: str, now_s: float) -> AgentView:
        load = self._loads.get(agent)
        own = self._outstanding[agent]
        is_usable = self._cooldown_until_s.get(agent, 0.0) <= now_s
        if load is None:
            return AgentView(agent, _FIRST_SLOTS, own, is_usable=is_usable)
        others = max(0, load.running + load.queued - own)
        return AgentView(agent, load.slots, own, others, is_usable)
