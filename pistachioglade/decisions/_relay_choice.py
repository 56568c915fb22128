"""Chooses the entries through which a node calls a store that it can't reach itself.

Expected load: a third of the entries loses the store for 9 to 12 s. Often the names of
these entries follow each other, since the entries stand in one failure domain.
Meanwhile callers go on sending each of the entries its share of submissions, reads and
ends of jobs. An entry that asks only its predecessor in the order of names answers 503
to these calls, half a second late, or runs a step whose results it can't list.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from ._hashing import rendezvous_order

#: Time between two rounds of the search for relays while the store can't be reached. A
#: refused caller retries after half a second.
RELAY_SEARCH_INTERVAL_S: Final = 0.4
#: Time for which an entry's report counts: two rounds and a slow answer.
_REPORT_TTL_S: Final = 1.0
#: Number of entries that are asked in one round.
_ASKED_PER_ROUND: Final = 3
#: Number of entries that are asked in all rounds. Asking all entries would open links
#: between all pairs of entries during an outage of the store.
_MAX_ASKED: Final = 6
#: Number of relays that one call tries. Each may use up the timeout of the call.
_MAX_RELAYS_PER_CALL: Final = 2


@attrs.frozen
class RelayReport:
    """An entry's report on its own route to the store."""

    # Monotonic time of the report.
    reported_s: float
    # Whether the store had answered the entry's last call.
    reaches_store: bool
    # Capacity of the entry in cores; the scarcer of its processor and its link.
    capacity: float = 1.0


def relays_to_ask(own: str, names: Iterable[str], round_index: int) -> Sequence[str]:
    """Return the entries to ask for a report in one round of the search.

    ``round_index`` is the number of the round, from 0.
    """
    order = rendezvous_order(own, (name for name in names if name != own))
    asked = order[:_MAX_ASKED]
    start = round_index * _ASKED_PER_ROUND % max(1, len(asked))
    return (asked[start:] + asked[:start])[:_ASKED_PER_ROUND]


def relays_to_use(reports: Mapping[str, RelayReport], now_s: float) -> list[str]:
    """Return the entries that may relay a call, in descending order of capacity.

    A relayed call crosses the relay's link twice in each direction. The batches of all
    jobs that a large entry runs would fill the link of a small entry and delay the
    small entry's own calls. Of entries with the same capacity, the entry with the
    latest report comes first.
    """
    usable = [
        name
        for name, report in reports.items()
        if report.reaches_store and now_s - report.reported_s < _REPORT_TTL_S
    ]
    usable.sort(key=lambda name: _relay_rank(name, reports[name]))
    return usable[:_MAX_RELAYS_PER_CALL]


def _relay_rank(name: str, report: RelayReport) -> tuple[float, float, str]:
    return -report.capacity, -report.reported_s, name
