"""The entry: HTTP for callers, trainers and operators; keeps no durable state."""

from ._keys import format_key, parse_key
from ._program import main

__all__ = ["format_key", "main", "parse_key"]
