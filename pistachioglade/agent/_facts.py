"""Blackboard topics that only agents have."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import attrs

from ..blackboard import Topic


@attrs.frozen
class InstanceView:
    """The state that an instance last reported."""

    # Instance name.
    name: str
    # Whether the instance answered the last state request.
    healthy: bool
    # Whether the instance takes no new work.
    leaving: bool = False
    # Model to the weight version that generates the next token.
    versions: Mapping[str, int] = attrs.field(factory=dict)


#: Every instance of this agent, by name.
INSTANCES: Final = Topic[Mapping[str, InstanceView]]("instances", MappingProxyType({}))
