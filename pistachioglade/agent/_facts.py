"""The facts on an agent's blackboard, besides those of every node."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import attrs

from ..blackboard import Topic


@attrs.frozen
class InstanceView:
    """What an instance last said of itself."""

    # Instance name.
    name: str
    # Whether it answered the last look.
    healthy: bool
    # Whether it takes no new work any more.
    leaving: bool = False
    # Model to the version that its next token would be made with.
    versions: Mapping[str, int] = attrs.field(factory=dict)


#: Every instance of this agent, by name.
INSTANCES: Final = Topic[Mapping[str, InstanceView]]("instances", MappingProxyType({}))
