"""Stand-ins for the platform and the upstreams, for tests and the demo only."""

from ._program import main

__all__ = ["main"]
