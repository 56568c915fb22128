"""Chooses the agent that makes a sample.

Samples of a group share a prompt. For the sake of the prefix cache, each group has a
preferred agent, given by rendezvous hashing with bounded loads: no agent is given much
more than the mean load. An agent with room takes samples of its own groups. When none
is left, the agent takes over the fullest group of an agent without free slots. Loads
are the last report plus the samples sent since.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence
from itertools import chain
from typing import Final

import attrs

from ._hashing import rendezvous_order

#: Ratio to the mean load up to which an agent may be given groups.
LOAD_FACTOR: Final = 1.1
#: Number of samples beyond its share that a trainer keeps queued at an agent.
_EXTRA_QUEUED_SAMPLES: Final = 1


@attrs.frozen
class PlacementPolicy:
    """Settings of the placement of one step's samples."""

    # Whether samples of a group prefer one agent.
    group_affinity: bool = True
    # Samples that may be at an agent for each of its slots; None for as many as keep
    # the agent busy and use the trainer's share.
    backlog_factor: float | None = None
    # Share of the trainer, as a fraction of all slots.
    share_fraction: float = 1.0


@attrs.frozen
class AgentView:
    """State of one agent as known to an owner."""

    # Node id.
    agent: str
    # Rollout slots in the agent's last report.
    slots: int
    # Samples of this owner at the agent.
    outstanding: int
    # Samples of other owners at the agent, by its last report.
    others: int = 0
    # Whether samples may be sent to the agent now.
    is_usable: bool = True

    @property
    def load(self) -> float:
        """Number of samples per slot."""
        return (self.outstanding + self.others) / max(1, self.slots)


def available_agents(
    agents: Sequence[AgentView], policy: PlacementPolicy
) -> list[AgentView]:
    """Return the agents that may be sent a sample, the least loaded first."""
    room = [view for view in agents if view.is_usable and _has_room(view, policy)]
    return sorted(room, key=lambda view: (view.load, view.agent))


def _has_room(view: AgentView, policy: PlacementPolicy) -> bool:
    """Return whether one more sample may be sent to an agent.

    One more sample may be sent while the agent has free slots, or while this owner has
    fewer samples at the agent than are needed to use the trainer's share. Further
    samples would wait in the agent's queue while other agents become idle.
    """
    if policy.backlog_factor is not None:
        return view.outstanding < policy.backlog_factor * view.slots
    is_free = view.outstanding + view.others < view.slots
    return (
        is_free
        or view.outstanding < policy.share_fraction * view.slots + _EXTRA_QUEUED_SAMPLES
    )


class GroupAffinity:
    """Holds the preferred agent of each group of a step."""

    def __init__(self, key: str) -> None:
        self._key = key
        self._preferred: dict[int, str] = {}

    def assign(self, waiting: Mapping[int, int], agents: Iterable[AgentView]) -> None:
        """Assign an agent to each group that has no usable agent.

        ``waiting`` is the number of waiting samples, by group.
        """
        slots = {view.agent: max(1, view.slots) for view in agents}
        if not slots:
            return
        unassigned = [
            group for group in waiting if self._preferred.get(group) not in slots
        ]
        if not unassigned:
            return
        loads = self._assigned_samples(waiting, slots)
        bound = LOAD_FACTOR * sum(waiting.values()) / sum(slots.values())
        for group in unassigned:
            order = rendezvous_order(f"{self._key}/{group}", slots)
            fitting = (agent for agent in order if loads[agent] / slots[agent] <= bound)
            preferred = next(
                fitting, min(order, key=lambda item: loads[item] / slots[item])
            )
            self._preferred[group] = preferred
            loads[preferred] += waiting[group]

    def _assigned_samples(
        self, waiting: Mapping[int, int], slots: Iterable[str]
    ) -> dict[str, int]:
        loads = dict.fromkeys(slots, 0)
        assigned = (
            (self._preferred.get(group), count) for group, count in waiting.items()
        )
        for preferred, count in assigned:
            if preferred in loads:
                loads[preferred] += count
        return loads

    def groups_for(
        self, agent: str, waiting: Mapping[int, int], busy: Container[str]
    ) -> list[int]:
        """Return the groups from which an agent with room takes samples.

        An agent without groups of its own takes over the fullest group of a ``busy``
        agent. Groups of agents with free slots are not taken over.
        """
        own = [group for group in waiting if self._preferred.get(group) == agent]
        if own:
            return own
        movable = [group for group in waiting if self._preferred.get(group) in busy]
        if not movable:
            return []
        fullest = max(movable, key=lambda group: (waiting[group], -group))
        self._preferred[fullest] = agent
        return [fullest]


def slow_agents(rates: Mapping[str, Sequence[float]], factor: float) -> frozenset[str]:
    """Return the agents whose mean token rate is below ``factor`` times the median."""
    means = {
        agent: sum(values) / len(values) for agent, values in rates.items() if values
    }
    all_means = list(chain(means.values()))
    if len(all_means) < 2:
        return frozenset()
    median = sorted(all_means)[len(all_means) // 2]
    return frozenset(agent for agent, rate in means.items() if rate < factor * median)
