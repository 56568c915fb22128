"""Background work that is watched over."""

from ._supervisor import Supervisor, Work

__all__ = ["Supervisor", "Work"]
