"""Which engines load a weight version that a trainer has named.

The load it answers: a version of each model every four seconds, of which each load
stops an engine's new work for a second, empties its cache and is paid for, while
trainers take samples that are one version old. So each engine skips every other version
of a model: half of the engines stay in service while the other half loads, and no
engine is more than one version behind. With more than two models, an engine serves two.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

#: Versions that an engine may be behind: trainers take the newest and the one before.
MAX_LAG: Final = 1
#: Models that one engine keeps up to date, so that the loads of all engines together
#: are as many as one for each engine and version of a single model.
MODELS_PER_ENGINE: Final = 2
#: Time for which an engine that has left the list keeps its place: one that restarts or
#: lapses is back by then, and without its place all engines behind it would change
#: turns and load at once.
_PLACE_S: Final = 20.0


def remembered_places(
    seen_s: Mapping[str, float], listed: Iterable[str], now_s: float
) -> dict[str, float]:
    """Return when each engine of an upstream was last listed, by its address.

    ``seen_s`` is what was returned the last time.
    """
    recent = {
        address: last_s
        for address, last_s in seen_s.items()
        if now_s - last_s < _PLACE_S
    }
    return recent | dict.fromkeys(listed, now_s)


def rank_of(address: str, places: Iterable[str]) -> int:
    """Return an engine's place among those of its upstream; 0 while it has none."""
    ordered = sorted(places)
    return ordered.index(address) if address in ordered else 0


def should_load(
    rank: int, models: Sequence[str], model: str, named: int, loaded: int
) -> bool:
    """Return whether an engine loads ``named`` now.

    ``rank`` is its place among the engines of its upstream, ``models`` all models
    there in a fixed order.
    """
    lag = named - loaded
    if lag <= 0 or model not in models:
        return lag > 0
    if not serves(rank, models, model):
        return False
    if lag > MAX_LAG:
        return True
    if len(models) == 1:
        return (rank + named) % 2 == 0
    return models[(rank + named % 2) % len(models)] == model


def serves(rank: int, models: Sequence[str], model: str) -> bool:
    """Return whether an engine keeps a model up to date."""
    count = len(models)
    own = {models[(rank + place) % count] for place in range(MODELS_PER_ENGINE)}
    return model in own
