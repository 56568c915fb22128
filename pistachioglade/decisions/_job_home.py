"""Which entry runs a job, and which engines its samples prefer.

The load it answers: steps of some hundred samples that share engines, submitted at
entries drawn by lot. One entry for all jobs of an upstream knows each engine's load at
once instead of by hearsay, orders all trainers' samples by their due times, and needs a
fraction of the connections. Where one entry can't bear them, several share the jobs,
and each prefers a part of the engines. Being wrong about the owner costs nothing but
that: any entry can run any job.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import ceil
from typing import Final

from ._hashing import rendezvous_order

#: Processor time that the samples in one engine slot take, in cores.
_CORES_PER_SLOT: Final = 0.003
#: Processor time of an entry that runs no samples, in cores.
_IDLE_CORES: Final = 0.025
#: Part of an entry's capacity beyond that which running samples may take; the rest is
#: for readers, saved texts and jobs that are taken over.
_SAMPLES_PART: Final = 0.5
#: Entries with less than this part of the largest entry's capacity are no homes while
#: larger ones are there.
_LEAST_PART: Final = 0.8
#: Link that goes with one core for moving events in and results out.
_MBPS_PER_CORE: Final = 100.0
#: Engines in a row, by address, that belong to one home: neighbours load weights in
#: turn, so that each home keeps one that serves.
_ENGINES_TOGETHER: Final = 2


def capacity_of(cores: float, link_mbps: float) -> float:
    """Return what an entry can bear, in cores; the scarcer of processor and link."""
    return min(cores, link_mbps / _MBPS_PER_CORE)


def _able(capacities: Mapping[str, float]) -> list[str]:
    most = max(capacities.values(), default=0.0)
    return [name for name, part in capacities.items() if part >= most * _LEAST_PART]


def homes_of(
    upstream: str, slots: int, capacities: Mapping[str, float]
) -> tuple[str, ...]:
    """Return the entries that run the jobs of an upstream, as many as it takes.

    ``slots`` are those of all its engines. A home that is lost is replaced alone: all
    others stay homes.
    """
    able = _able(capacities)
    most = max(capacities.values(), default=0.0)
    usable = max(0.0, most - _IDLE_CORES) * _SAMPLES_PART
    needed = ceil(slots * _CORES_PER_SLOT / usable) if usable > 0.0 else len(able)
    homes: list[str] = []
    for place in range(min(max(1, needed), len(able))):
        key = upstream if place == 0 else f"{upstream}/{place}"
        order = rendezvous_order(key, able)
        homes.append(next(name for name in order if name not in homes))
    return tuple(homes)


def home_of(
    homes: Sequence[str], models: Sequence[str], model: str, step: int
) -> str | None:
    """Return the home of one job; consecutive steps of a model have different ones."""
    if not homes:
        return None
    place = models.index(model) if model in models else 0
    return homes[(place + step) % len(homes)]


def engines_of_others(
    home: str, homes: Sequence[str], engines: Iterable[str]
) -> frozenset[str]:
    """Return the engines that other homes prefer; none if ``home`` is alone.

    ``engines`` are addresses.
    """
    if home not in homes:
        return frozenset()
    place = homes.index(home)
    return frozenset(
        engine
        for rank, engine in enumerate(sorted(engines))
        if rank // _ENGINES_TOGETHER % len(homes) != place
    )
