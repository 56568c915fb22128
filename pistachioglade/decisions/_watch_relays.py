"""Chooses the entries that watch the store for the others, and whom an entry follows.

Expected load: sixty entries that each watch the same kinds, so that each change of an
instance is charged for sixty times. Instead a few entries, the relays, watch; the
others ask a relay for changes. A request to a relay is cheap. The relay holds the
request until there is a change, but not for long: an entry whose relay is lost has to
notice within the time that the users allow for a change.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import ceil
from typing import Final

from ._hashing import rendezvous_order

#: Number of entries up to which each entry watches the store itself.
_MAX_DIRECT_WATCHERS: Final = 6
#: Number of entries for each relay.
_ENTRIES_PER_RELAY: Final = 16
#: Minimum number of relays. One relay may be lost at any time.
_MIN_RELAYS: Final = 2
#: Time for which a relay collects changes, as a fraction of the time for which a
#: leaving instance still serves.
RELAY_GATHER_FRACTION: Final = 0.3
#: Longest time for which a relay holds a request while there are no changes, as a
#: fraction of the same time.
RELAY_HOLD_FRACTION: Final = 0.25
#: Time for the transfer of a request and its answer.
RELAY_TRANSFER_S: Final = 0.3
#: Longest time since the store's last answer to a relay for which the relay's copy is
#: valid, as a fraction of the same time. Together with the hold, less than that time.
RELAY_AGE_FRACTION: Final = 0.35
#: Cooldown of a relay that didn't answer.
RELAY_COOLDOWN_S: Final = 5.0


def relays_of(entries: Iterable[str]) -> Sequence[str]:
    """Return the entries that watch for the others; none if each entry watches."""
    names = tuple(entries)
    if len(names) <= _MAX_DIRECT_WATCHERS:
        return ()
    count = max(_MIN_RELAYS, ceil(len(names) / _ENTRIES_PER_RELAY))
    return rendezvous_order("relays", names)[:count]


def relay_for(own: str, relays: Iterable[str]) -> str | None:
    """Return the relay that an entry follows; None without relays."""
    return next(iter(rendezvous_order(own, relays)), None)
