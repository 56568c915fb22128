"""Stand-ins for the platform and the upstreams, only for tests and the demo."""

from ._program import main

__all__ = ["main"]
