"""Rollout service for teams that train language models by reinforcement learning.

See :mod:`pistachioglade.entry` and :mod:`pistachioglade.agent` for the two
serving programs, and :mod:`pistachioglade.trainer` for the client library.
"""
