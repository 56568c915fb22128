"""The store of facts that a process's controllers read and write."""

from ._blackboard import Blackboard, Topic

__all__ = ["Blackboard", "Topic"]
