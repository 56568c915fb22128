"""The operators' command line."""

from ._program import main

__all__ = ["main"]
