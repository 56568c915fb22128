"""Which engines load a weight version that a trainer has named.

The load it answers: a version of each model every four seconds, of which each load
stops an engine's new work for a second, empties its cache and is paid for, while
trainers take samples that are one version old. So each engine skips every other version
of a model: half of the engines stay in service while the other half loads, and no
engine is more than one version behind. With more than two models, an engine serves two.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

#: Versions that an engine may be behind: trainers take the newest and the one before.
MAX_LAG: Final = 1
#: Models that one engine keeps up to date, so that the loads of all engines together
#: are as many as one for each engine and version of a single model.
MODELS_PER_ENGINE: Final = 2


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
