"""By way of which entries a store is called that a node can't reach itself.

The load it answers: a third of the entries loses the store for 9 to 12 s, often those
that follow each other in the order of names since they stand in one failure domain,
while callers go on sending each of them their share of jobs, reads and ends. One that
asks only the entry before it answers 503 to these, half a second late, or runs a step
whose results it can't list.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from ._hashing import rendezvous_order

#: Time between two looks for ways while the store isn't reached: a caller that is
#: refused comes again half a second later.
RELAY_LOOK_S: Final = 0.4
#: Time for which an entry's word counts: two looks and a slow answer.
_WORD_S: Final = 1.0
#: Entries that are asked in one look.
_ASKED_AT_ONCE: Final = 3
#: Entries that are ever asked: asking all would open links of each to each while the
#: store itself is away.
_MOST_ASKED: Final = 6
#: Ways that one call tries: each may cost the call its whole time.
_MOST_WAYS: Final = 2


@attrs.frozen
class RelayWord:
    """What an entry said of its own way to the store."""

    # When it said so.
    heard_s: float
    # Whether the store had answered its last call.
    reaches_store: bool
    # What the entry can bear, in cores; the scarcer of its processor and its link.
    capacity: float = 1.0


def relays_to_ask(own: str, names: Iterable[str], look: int) -> Sequence[str]:
    """Return the entries that the look with this number asks for their way."""
    order = rendezvous_order(own, (name for name in names if name != own))
    asked = order[:_MOST_ASKED]
    start = look * _ASKED_AT_ONCE % max(1, len(asked))
    return (asked[start:] + asked[:start])[:_ASKED_AT_ONCE]


def relays_to_use(words: Mapping[str, RelayWord], now_s: float) -> list[str]:
    """Return the entries by way of which a call may go, the ablest first.

    What goes around passes an entry's link twice in each direction: the batches of all
    jobs that a large entry runs fill a small one's, and its own calls find no room. Of
    like ones the latest word is first.
    """
    usable = [
        name
        for name, word in words.items()
        if word.reaches_store and now_s - word.heard_s < _WORD_S
    ]
    usable.sort(key=lambda name: _relay_rank(name, words[name]))
    return usable[:_MOST_WAYS]


def _relay_rank(name: str, word: RelayWord) -> tuple[float, float, str]:
    return -word.capacity, -word.heard_s, name
