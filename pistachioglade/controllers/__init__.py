"""Controllers that every node runs: membership, configuration, leaving."""

from ._facts import CONFIG, LEAVING, MEMBERS, NEWEST, ROOT, usable_agents
from ._membership import MembershipController
from ._node import Node
from ._program import EXIT_SETTINGS, run_program
from ._root import RootController

__all__ = [
    "CONFIG",
    "EXIT_SETTINGS",
    "LEAVING",
    "MEMBERS",
    "NEWEST",
    "ROOT",
    "MembershipController",
    "Node",
    "RootController",
    "run_program",
    "usable_agents",
]
