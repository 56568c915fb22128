"""Decides when an entry asks other entries for a newer configuration, and how many.

Expected load: a third of the entries loses the store without a sign, the relays of
changes among them, while the operator changes the configuration. The watch of such an
entry returns nothing, and its calls time out one after the other. A change has to be in
force everywhere within a bound that leaves no time for these timeouts.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from ._hashing import rendezvous_order

#: Number of rounds within the time that a configuration may take to come into force.
_ROUNDS_PER_BOUND: Final = 8
#: Rounds between two checks while the store answers. Such a check finds a watch that
#: has stopped without an error.
_ROUNDS_PER_ROUTINE_CHECK: Final = 4
#: Age of the store's last answer, as a fraction of the same time, from which the store
#: may be lost.
_DOUBT_FRACTION: Final = 0.25
#: The same from which the store is lost.
_SILENT_FRACTION: Final = 0.5
#: Entries asked in one round while the store is lost. Any of them may be cut off too.
_ASKED_WHEN_SILENT: Final = 3


@attrs.frozen
class ConfigurationSource:
    """Where an entry's configuration comes from, and how current that source is."""

    # Whether a relay answers the entry's requests for changes.
    is_relayed: bool
    # Seconds since the store's last answer on the entry's own route; None before the
    # first. Answers that other entries relay say nothing of a watch on that route.
    store_age_s: float | None


def round_interval_s(bound_s: float) -> float:
    """Return the time between two rounds.

    ``bound_s`` is the time within which a configuration has to be in force.
    """
    return bound_s / _ROUNDS_PER_BOUND


def entries_to_ask(
    own: str,
    entries: Iterable[str],
    source: ConfigurationSource,
    bound_s: float,
    round_index: int,
) -> Sequence[str]:
    """Return the entries to ask in one round; successive rounds ask all in turn."""
    count = _asked_count(source, bound_s, round_index)
    others = rendezvous_order(own, (name for name in entries if name != own))
    if not count or not others:
        return ()
    start = round_index * count % len(others)
    return (others[start:] + others[:start])[:count]


def _asked_count(source: ConfigurationSource, bound_s: float, round_index: int) -> int:
    if source.is_relayed:
        return 0
    age_s = float("inf") if source.store_age_s is None else source.store_age_s
    if age_s > _SILENT_FRACTION * bound_s:
        return _ASKED_WHEN_SILENT
    is_routine = round_index % _ROUNDS_PER_ROUTINE_CHECK == 0
    return int(is_routine or age_s > _DOUBT_FRACTION * bound_s)
