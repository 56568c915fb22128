"""Divides the connections that an instance accepts among the entries.

Expected load: some twenty entries that share about 200 connections to an instance. Most
of them need one or two at a time, and in a burst one of them may need most. An entry
knows its own connections, the number of listed entries, and from load reports how many
requests of others the instance has.
"""

from __future__ import annotations

from typing import Final

#: Connections that are left to each other entry beyond its requests at the instance:
#: the one that it keeps idle or opens for its next request.
_SPARE_PER_ENTRY: Final = 1
#: Fraction of the connections that no entry takes beyond its fair part. Load reports
#: don't show yet what other entries have opened in the last tenths of a second, each of
#: them two or so.
_MARGIN_FRACTION: Final = 0.15
#: Time to the deadline from which a request opens a connection regardless, in seconds:
#: the time to open one and for the longest usual answer of a lookup.
_DEADLINE_NEAR_S: Final = 0.25
#: Longest time for which a request waits for an idle connection, in seconds. Longer
#: than lookups take; a request that may wait longer would occupy a place elsewhere.
_LONGEST_WAIT_S: Final = 1.0


def connection_limit(
    max_connections: int, entries: int, others_in_use: int | None
) -> int | None:
    """Return the number of connections that an entry may open; None for no limit.

    ``others_in_use`` is the number of other entries' requests at the instance; None if
    there is no recent report. The others are then expected to use half of their parts.
    """
    if max_connections <= 0:
        return None
    if entries <= 1:
        return max_connections
    fair = max(1, max_connections // entries)
    if others_in_use is None:
        others_in_use = (entries - 1) * fair // 2
    kept = (entries - 1) * _SPARE_PER_ENTRY + int(max_connections * _MARGIN_FRACTION)
    return max(fair, max_connections - others_in_use - kept)


def connection_wait_s(time_left_s: float) -> float:
    """Return how long a request waits for an idle connection at the limit.

    Zero or less if its deadline is so near that it opens a connection regardless.
    """
    return min(_LONGEST_WAIT_S, time_left_s - _DEADLINE_NEAR_S)
