"""The agent: the only way to the instances that it stands beside."""

from ._program import main

__all__ = ["main"]
