"""Which entry runs a job.

The load it answers: steps of sixty samples that share engines, submitted at entries
drawn by lot. With one entry for all jobs of an upstream, that entry knows each engine's
load at once instead of by hearsay, orders all trainers' samples by their due times, and
needs a fourth of the connections. Being wrong about the home costs nothing but that:
any entry can run any job.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from ._hashing import rendezvous_order

#: Engines that one entry feeds: 114 slots at 26 events a second are 3,000 events, about
#: a quarter of a core. Beyond it, each model of the upstream has a home of its own.
_ENGINES_PER_HOME: Final = 24
#: Entries with less than this part of the largest entry's processor are no homes while
#: larger ones are there.
_LEAST_PART: Final = 0.5


def home_key(upstream: str, model: str, engine_count: int) -> str:
    """Return what jobs must share to have the same home."""
    return upstream if engine_count <= _ENGINES_PER_HOME else f"{upstream}/{model}"


def home_of(key: str, cores_by_entry: Mapping[str, float]) -> str | None:
    """Return the entry that runs the jobs of a key; None if there is none."""
    most = max(cores_by_entry.values(), default=0.0)
    able = [
        name for name, cores in cores_by_entry.items() if cores >= most * _LEAST_PART
    ]
    return next(iter(rendezvous_order(key, able)), None)
