"""Supervision of background work."""

from ._supervisor import Supervisor, Work

__all__ = ["Supervisor", "Work"]
