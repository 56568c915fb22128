"""Failure detection among the entries, and failover of their jobs.

A step is due in 7.5 s, and an entry may vanish, freeze or lose the store right after
it has accepted a step. Each entry probes only its neighbour, the entry before it in the
order of names, so that the number of probes grows linearly with the number of entries
instead of quadratically. Items are idempotent, so that a false detection costs little.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

#: Interval between two probes of the neighbour.
PROBE_INTERVAL_S: Final = 0.4
#: Timeout of a short call to any other entry.
ENTRY_CALL_TIMEOUT_S: Final = 0.5
#: Wait for the answer to a probe of the neighbour before the next probe is sent.
NEIGHBOUR_ANSWER_WAIT_S: Final = 0.3
#: Silence after which the neighbour's jobs are taken over: two missed probes. A step's
#: longest samples leave half a second of its time, so that each tenth of a second
#: counts.
_LOST_AFTER_S: Final = 1.0
#: Time after a probe of the neighbour within which a late answer still counts.
LATE_ANSWER_TIMEOUT_S: Final = 2.0
#: Multiple of the recent answer time after which a slow neighbour is lost.
_SLOW_ANSWER_FACTOR: Final = 4.0
#: Silence after which even a slow neighbour is lost.
_MAX_SILENCE_S: Final = 3.0
#: Silence after which the link to the neighbour is reopened.
_REOPEN_AFTER_S: Final = 0.6
#: Interval between two probes of a neighbour that has not answered the last probe.
_MISSED_PROBE_INTERVAL_S: Final = 0.12
#: Consecutive refused connections after which the neighbour's process has ended: its
#: machine answers, but no process listens. A single refusal can occur while one process
#: replaces another.
_LOST_AFTER_REFUSED: Final = 3
#: Time without the store after which an entry can't write results in time.
_STORE_LOST_AFTER_S: Final = 1.2
#: Time without the store after which an entry is removed from the list of entries:
#: longer than the time between two store calls of an idle entry.
_UNLIST_AFTER_S: Final = 2.0
#: Age of the store's last answer below which an entry accepts a job without another
#: store read.
_FRESH_STORE_AGE_S: Final = 0.5


@attrs.frozen
class NeighbourView:
    """The state of the neighbour as the entry that probes it knows it."""

    # Time of the neighbour's last answer, or the start of the probing, in seconds.
    last_answer_s: float
    # Age of the store's last answer to the neighbour, in seconds, as its last probe
    # answer says; None if unknown.
    store_age_s: float | None
    # Age of the store's last answer to this entry, in seconds.
    own_store_age_s: float
    # Connections that the neighbour's machine has refused since its last answer.
    refused_connections: int = 0
    # Decaying maximum of the neighbour's answer times, in seconds.
    recent_answer_time_s: float = 0.0


def neighbour_of(name: str, members: Iterable[str]) -> str | None:
    """Return the member that ``name`` probes; None if there is no other."""
    others = sorted(member for member in members if member != name)
    before = [member for member in others if member < name]
    return (before or others)[-1] if others else None


def successor_of(name: str, members: Iterable[str]) -> str | None:
    """Return the member that probes ``name`` and takes over its jobs."""
    others = sorted(member for member in members if member != name)
    behind = [member for member in others if member > name]
    return (behind or others)[0] if others else None


def probe_interval_s(has_missed_probe: bool) -> float:
    """Return the time to the next probe; shorter if the last probe got no answer."""
    return _MISSED_PROBE_INTERVAL_S if has_missed_probe else PROBE_INTERVAL_S


def is_lost(view: NeighbourView, now_s: float) -> bool:
    """Return whether the neighbour is silent for too long or its process has ended.

    A busy neighbour answers late and is not lost: its jobs would make the next entry
    as busy, and that entry's jobs would be passed on in turn.
    """
    slow_s = min(_MAX_SILENCE_S, _SLOW_ANSWER_FACTOR * view.recent_answer_time_s)
    is_silent = now_s - view.last_answer_s > max(_LOST_AFTER_S, slow_s)
    return is_silent or view.refused_connections >= _LOST_AFTER_REFUSED


def should_reopen_link(silent_s: float, since_reopened_s: float) -> bool:
    """Return whether to reopen the link to a silent neighbour."""
    return min(silent_s, since_reopened_s) > _REOPEN_AFTER_S


def is_store_fresh(age_s: float | None) -> bool:
    """Return whether the store's last answer is recent enough to accept a job."""
    return age_s is not None and age_s < _FRESH_STORE_AGE_S


def has_lost_store(view: NeighbourView) -> bool:
    """Return whether the neighbour has lost the store while this entry reaches it."""
    return _has_lost_store(view, _STORE_LOST_AFTER_S)


def should_remove_listing(view: NeighbourView) -> bool:
    """Return whether to remove a neighbour without the store from the list of entries.

    New jobs go to listed entries, and each job would wait for the neighbour's refusal.
    The neighbour lists itself again once it reaches the store.
    """
    return _has_lost_store(view, _UNLIST_AFTER_S)


def _has_lost_store(view: NeighbourView, after_s: float) -> bool:
    if view.own_store_age_s > _STORE_LOST_AFTER_S / 2:
        return False
    return view.store_age_s is not None and view.store_age_s > after_s
