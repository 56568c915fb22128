"""The in-process store of values that controllers share."""

from ._blackboard import Blackboard, Topic

__all__ = ["Blackboard", "Topic"]
