"""Controllers that every node runs: membership, configuration, leaving."""

from ._facts import CONFIG, LEAVING, MEMBERS, NEWEST, ROOT, usable_agents
from ._membership import MembershipController
from ._node import Node
from ._root import RootController

__all__ = [
    "CONFIG",
    "LEAVING",
    "MEMBERS",
    "NEWEST",
    "ROOT",
    "MembershipController",
    "Node",
    "RootController",
    "usable_agents",
]
