"""Submissions of jobs in the platform's format, decoded bit by bit.

A package of its own, since only entries need it and its decoder takes memory.
"""

from ._decode import decode_in_steps, decode_now

__all__ = ["decode_in_steps", "decode_now"]
