"""The agent: the only process that sends requests to its instances."""

from ._program import main

__all__ = ["main"]
