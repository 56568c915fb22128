"""The facts on every node's blackboard."""

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

#: The root in force here, with its parts; None before there is one.
ROOT: Final = Topic[RootSnapshot | None]("root", None)
#: The configuration that the root names.
CONFIG: Final = Topic[ServiceConfig | None]("config", None)
#: The newest published weights of each model.
NEWEST: Final = Topic[Mapping[str, ModelVersion]]("newest", MappingProxyType({}))
#: Every known member, by node id.
MEMBERS: Final = Topic[Mapping[str, MemberRecord]]("members", MappingProxyType({}))
#: Whether this node is leaving.
LEAVING: Final = Topic[bool]("leaving", False)


def usable_agents(board: Blackboard, upstream: str) -> tuple[MemberRecord, ...]:
    """Return the agents of an upstream that new work may go to.

    Suspected agents are left out while there are others.
    """
    agents = [
        record
        for record in board.read(MEMBERS).values()
        if record.role is NodeRole.AGENT and record.upstream == upstream
    ]
    alive = tuple(item for item in agents if item.state is MemberState.ALIVE)
    suspects = tuple(item for item in agents if item.state is MemberState.SUSPECT)
    return alive or suspects
