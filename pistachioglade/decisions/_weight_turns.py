"""Decides which engines load a weight version that a trainer has named.

Expected load: a version of each model every four seconds, while trainers accept samples
that are one version old. Each load stops an engine's new work for a second, empties its
cache and is charged for. Therefore each engine skips every other version of a model:
half of the engines stay in service while the other half loads, and no engine is more
than one version behind. With more than two models, an engine serves two of them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

#: Number of versions that an engine may be behind: trainers accept the newest version
#: and the version before.
MAX_LAG_VERSIONS: Final = 1
#: Number of models that one engine keeps up to date. All engines together then load as
#: often as if each engine loaded every version of a single model.
MODELS_PER_ENGINE: Final = 2
#: Time for which an engine that has left the list keeps its rank. An engine that
#: restarts, or whose entry lapses, is listed again by then. Otherwise all
#: engines after it would change their turn and load at the same time.
_RANK_RETENTION_S: Final = 20.0


def recently_listed(
    seen_s: Mapping[str, float], listed: Iterable[str], now_s: float
) -> dict[str, float]:
    """Return the time each engine of an upstream was last listed, by its address.

    ``seen_s`` is the result of the previous call.
    """
    recent = {
        address: last_s
        for address, last_s in seen_s.items()
        if now_s - last_s < _RANK_RETENTION_S
    }
    return recent | dict.fromkeys(listed, now_s)


def engine_rank(address: str, engines: Iterable[str]) -> int:
    """Return the index of an engine among those of its upstream; 0 if not known."""
    ordered = sorted(engines)
    return ordered.index(address) if address in ordered else 0


def should_load(
    rank: int, models: Sequence[str], model: str, named: int, loaded: int
) -> bool:
    """Return whether an engine loads the version ``named`` now.

    ``rank`` is the engine's index among the engines of its upstream, ``models`` are all
    models of the upstream in a fixed order, ``loaded`` is the engine's version.
    """
    lag = named - loaded
    if lag <= 0 or model not in models:
        return lag > 0
    if not _is_assigned(rank, models, model):
        return False
    if lag > MAX_LAG_VERSIONS:
        return True
    if len(models) == 1:
        return (rank + named) % 2 == 0
    return models[(rank + named % 2) % len(models)] == model


def _is_assigned(rank: int, models: Sequence[str], model: str) -> bool:
    """Return whether an engine keeps a model up to date."""
    count = len(models)
    assigned = {models[(rank + offset) % count] for offset in range(MODELS_PER_ENGINE)}
    return model in assigned
