"""Which entry owns a job, and which engines its samples prefer.

Steps of some hundred samples share engines and are submitted to randomly chosen
entries. A single owner of all jobs of an upstream knows each engine's load at once
instead of by reports from other entries, orders all trainers' samples by their due
times, and needs a fraction of the connections. Where one entry lacks the capacity,
several candidates share the jobs, and each prefers some of the engines. A wrong choice
of the owner costs only these advantages: any entry can run any job.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import ceil
from typing import Final

from ._hashing import rendezvous_order

#: Processor load of the samples in one engine slot, in cores.
_CORES_PER_SLOT: Final = 0.003
#: Processor load of an entry that runs no samples, in cores.
_IDLE_CORES: Final = 0.025
#: Fraction of an entry's capacity, less its idle load, that running samples may use.
#: The remainder is for readers, saved texts and jobs that are taken over.
_SAMPLES_FRACTION: Final = 0.5
#: Fraction of the largest entry's capacity that an entry needs to be a candidate.
_MIN_CAPACITY_FRACTION: Final = 0.8
#: Link speed that one core needs to receive events and to send results, in Mbit/s.
_MBPS_PER_CORE: Final = 100.0
#: Engines with consecutive addresses that one candidate prefers. Engines next to each
#: other load weights in turn, so that each candidate keeps an engine that serves.
_ENGINES_PER_BLOCK: Final = 2


def entry_capacity(cores: float, link_mbps: float) -> float:
    """Return an entry's capacity in cores, as its processor or its link limits it."""
    return min(cores, link_mbps / _MBPS_PER_CORE)


def _strong_entries(capacities: Mapping[str, float]) -> list[str]:
    largest = max(capacities.values(), default=0.0)
    return [
        name
        for name, capacity in capacities.items()
        if capacity >= largest * _MIN_CAPACITY_FRACTION
    ]


def owner_candidates(
    upstream: str, slots: int, capacities: Mapping[str, float]
) -> tuple[str, ...]:
    """Return the candidates for owning an upstream's jobs, as many as needed.

    ``slots`` counts the slots of all engines of the upstream. When a candidate is
    lost, only that candidate is replaced.
    """
    strong = _strong_entries(capacities)
    largest = max(capacities.values(), default=0.0)
    usable = max(0.0, largest - _IDLE_CORES) * _SAMPLES_FRACTION
    needed = ceil(slots * _CORES_PER_SLOT / usable) if usable > 0.0 else len(strong)
    candidates: list[str] = []
    for position in range(min(max(1, needed), len(strong))):
        key = upstream if position == 0 else f"{upstream}/{position}"
        order = rendezvous_order(key, strong)
        candidates.append(next(name for name in order if name not in candidates))
    return tuple(candidates)


def choose_job_owner(
    candidates: Sequence[str], models: Sequence[str], model: str, step: int
) -> str | None:
    """Return the owner of one job; consecutive steps of a model alternate owners."""
    if not candidates:
        return None
    position = models.index(model) if model in models else 0
    return candidates[(position + step) % len(candidates)]


def engines_preferred_by_others(
    candidate: str, candidates: Sequence[str], engines: Iterable[str]
) -> frozenset[str]:
    """Return the engines that the other candidates prefer.

    ``engines`` are addresses. The result is empty if ``candidate`` is the only
    candidate or is not a candidate.
    """
    if candidate not in candidates:
        return frozenset()
    position = candidates.index(candidate)
    return frozenset(
        engine
        for rank, engine in enumerate(sorted(engines))
        if rank // _ENGINES_PER_BLOCK % len(candidates) != position
    )
