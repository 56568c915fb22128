"""Blackboard topics that every node has."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from ..blackboard import Blackboard, Topic
from ..config import ServiceConfig
from ..messages import (
    MemberRecord,
    MemberState,
    ModelVersion,
    NodeRole,
    RootSnapshot,
)

#: The root in force on this node, with its parts; None before the first root.
ROOT: Final = Topic[RootSnapshot | None]("root", None)
#: The configuration of the root in force; None before the first root.
CONFIG: Final = Topic[ServiceConfig | None]("config", None)
#: The newest published weights of each model.
NEWEST: Final = Topic[Mapping[str, ModelVersion]]("newest", MappingProxyType({}))
#: Every known member, by node id.
MEMBERS: Final = Topic[Mapping[str, MemberRecord]]("members", MappingProxyType({}))
#: Whether this node is leaving.
LEAVING: Final = Topic[bool]("leaving", False)


def usable_agents(board: Blackboard, upstream: str) -> tuple[MemberRecord, ...]:
    """Return the agents of an upstream that may get new work.

    Suspected agents are included only if no agent is alive.
    """
    agents = [
        record
        for record in board.read(MEMBERS).values()
        if record.role is NodeRole.AGENT and record.upstream == upstream
    ]
    alive = tuple(item for item in agents if item.state is MemberState.ALIVE)
    suspects = tuple(item for item in agents if item.state is MemberState.SUSPECT)
    return alive or suspects
