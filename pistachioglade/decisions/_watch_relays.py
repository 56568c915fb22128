"""Which entries watch the store for the others, and which one an entry follows.

The load it answers: sixty entries that each watch the same kinds, so that each change
of an instance is paid for sixty times. A few entries watch; the others ask one of those
for what has changed. Asking is cheap and answers are held, but not for long: an entry
whose relay is lost has to notice within the time that the users allow for a change.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import ceil
from typing import Final

from ._hashing import rendezvous_order

#: Entries up to which each watches by itself.
_FEW: Final = 6
#: Entries that follow one relay.
_FOLLOWERS: Final = 16
#: Least relays: one may be lost at any moment.
_LEAST_RELAYS: Final = 2
#: Part of the time that a leaving instance serves in which a relay gathers changes.
RELAY_GATHER_PART: Final = 0.3
#: The same for which a relay holds a question that has no answer yet.
RELAY_HOLD_PART: Final = 0.25
#: Time for the way of a question and its answer.
RELAY_SLACK_S: Final = 0.3
#: The same since the store has last answered a relay for its copy to count. With the
#: hold it is less than that time.
RELAY_AGE_PART: Final = 0.35
#: Time for which a relay that didn't answer isn't asked.
RELAY_REST_S: Final = 5.0


def relays_of(entries: Iterable[str]) -> Sequence[str]:
    """Return the entries that watch for the others; none where each watches."""
    names = tuple(entries)
    if len(names) <= _FEW:
        return ()
    count = max(_LEAST_RELAYS, ceil(len(names) / _FOLLOWERS))
    return rendezvous_order("relays", names)[:count]


def relay_for(own: str, relays: Iterable[str]) -> str | None:
    """Return the relay that an entry follows; None if there is none to follow."""
    return next(iter(rendezvous_order(own, relays)), None)
