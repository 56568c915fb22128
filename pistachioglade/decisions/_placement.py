"""Which agent makes a sample.

Samples of a group share a prompt, so they prefer one agent, by rendezvous
hashing, for the prefix cache. The preference gives way once that agent has more
than a bounded multiple of the mean load (hashing with bounded loads). Loads are
the last report plus what was sent since.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import attrs

from ._hashing import rendezvous_order

#: How much fuller than the mean a preferred agent may be.
LOAD_FACTOR: Final = 1.25
#: Part of its slots that a preferred agent may always fill.
_FREE_PART: Final = 0.5


@attrs.frozen
class PlacementPolicy:
    """How placement weighs its wishes."""

    # Whether samples of a group prefer one agent.
    group_affinity: bool = True
    # How many samples may be at an agent for each of its slots.
    backlog_factor: float = 1.5


@attrs.frozen
class AgentView:
    """What an owner knows of one agent."""

    # Node id.
    agent: str
    # Rollout slots that it reported last.
    slots: int
    # Samples that this owner has there.
    outstanding: int
    # Samples of others there, by its last report.
    others: int = 0
    # Whether it may be used now.
    usable: bool = True

    @property
    def load(self) -> float:
        """Samples for each slot."""
        return (self.outstanding + self.others) / max(1, self.slots)


def choose_agent(
    agents: Sequence[AgentView], group_key: str, policy: PlacementPolicy
) -> str | None:
    """Return the agent for the next sample of a group, or None if all are full."""
    room = [
        view
        for view in agents
        if view.usable and view.outstanding < policy.backlog_factor * view.slots
    ]
    if not room:
        return None
    if not policy.group_affinity:
        return min(room, key=lambda view: (view.load, view.agent)).agent
    return _by_affinity(agents, room, group_key)


def _by_affinity(
    agents: Sequence[AgentView], room: Sequence[AgentView], group_key: str
) -> str:
    usable = [view for view in agents if view.usable]
    total = sum(view.outstanding + view.others for view in usable) + 1
    slots = sum(max(1, view.slots) for view in usable)
    bound = LOAD_FACTOR * total / slots
    by_name = {view.agent: view for view in room}
    order = rendezvous_order(group_key, by_name)
    fitting = (
        name
        for name in order
        if (by_name[name].outstanding + by_name[name].others + 1)
        <= max(_FREE_PART, bound) * max(1, by_name[name].slots)
    )
    return next(fitting, min(room, key=lambda view: (view.load, view.agent)).agent)
