"""Which agent makes a sample.

Samples of a group share a prompt, so each group has a home agent, for the prefix
cache: by rendezvous hashing, with no home much fuller than the mean (hashing with
bounded loads). An agent with room takes from its own groups; when it has none left
it takes over the fullest group of a home without free slots. Loads are the last report
plus what was sent since.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence
from itertools import chain
from typing import Final

import attrs

from ._hashing import rendezvous_order

#: How much fuller than the mean a home may be.
LOAD_FACTOR: Final = 1.1
#: Samples beyond its share that a trainer keeps waiting at an agent.
_CLAIM: Final = 1


@attrs.frozen
class PlacementPolicy:
    """How placement weighs its wishes."""

    # Whether samples of a group prefer one agent.
    group_affinity: bool = True
    # How many samples may be at an agent for each of its slots; None for as many
    # as keep the agent busy and the trainer's share claimed.
    backlog_factor: float | None = None
    # Share of the trainer, as a part of all slots.
    share_part: float = 1.0


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


def agents_with_room(
    agents: Sequence[AgentView], policy: PlacementPolicy
) -> list[AgentView]:
    """Return the agents that may be sent a sample, the least loaded first."""
    room = [view for view in agents if view.usable and _has_room(view, policy)]
    return sorted(room, key=lambda view: (view.load, view.agent))


def _has_room(view: AgentView, policy: PlacementPolicy) -> bool:
    """Return whether one more sample helps at an agent.

    It does while slots are free, and while fewer wait there than it takes to claim
    the trainer's share. More would only queue there while others fall idle.
    """
    if policy.backlog_factor is not None:
        return view.outstanding < policy.backlog_factor * view.slots
    is_free = view.outstanding + view.others < view.slots
    return is_free or view.outstanding < policy.share_part * view.slots + _CLAIM


class GroupHomes:
    """The home agent of each group of a step."""

    def __init__(self, key: str) -> None:
        self._key = key
        self._homes: dict[int, str] = {}

    def assign(self, waiting: Mapping[int, int], agents: Iterable[AgentView]) -> None:
        """Give a home to each group that has none; ``waiting`` counts samples."""
        slots = {view.agent: max(1, view.slots) for view in agents}
        if not slots:
            return
        homeless = [group for group in waiting if self._homes.get(group) not in slots]
        if not homeless:
            return
        loads = self._loads(waiting, slots)
        bound = LOAD_FACTOR * sum(waiting.values()) / sum(slots.values())
        for group in homeless:
            order = rendezvous_order(f"{self._key}/{group}", slots)
            fitting = (agent for agent in order if loads[agent] / slots[agent] <= bound)
            home = next(fitting, min(order, key=lambda item: loads[item] / slots[item]))
            self._homes[group] = home
            loads[home] += waiting[group]

    def _loads(
        self, waiting: Mapping[int, int], slots: Iterable[str]
    ) -> dict[str, int]:
        loads = dict.fromkeys(slots, 0)
        homed = ((self._homes.get(group), count) for group, count in waiting.items())
        for home, count in homed:
            if home in loads:
                loads[home] += count
        return loads

    def groups_for(
        self, agent: str, waiting: Mapping[int, int], busy: Container[str]
    ) -> list[int]:
        """Return the groups that an agent with room takes from.

        Without groups of its own it takes over the fullest one of a ``busy`` home;
        what waits at a home with free slots is left there.
        """
        own = [group for group in waiting if self._homes.get(group) == agent]
        if own:
            return own
        movable = [group for group in waiting if self._homes.get(group) in busy]
        if not movable:
            return []
        fullest = max(movable, key=lambda group: (waiting[group], -group))
        self._homes[fullest] = agent
        return [fullest]


def slow_agents(rates: Mapping[str, Sequence[float]], factor: float) -> frozenset[str]:
    """Return the agents whose token rate is below ``factor`` of the others' mean."""
    means = {
        agent: sum(values) / len(values) for agent, values in rates.items() if values
    }
    everyone = list(chain(means.values()))
    if len(everyone) < 2:
        return frozenset()
    best = sorted(everyone)[len(everyone) // 2]
    return frozenset(agent for agent, rate in means.items() if rate < factor * best)
