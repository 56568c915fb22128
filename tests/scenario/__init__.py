"""A language for failure scenarios, and the session that runs its statements."""

from ._grammar import Statement, parse_scenario
from ._session import Session

__all__ = ["Session", "Statement", "parse_scenario"]
