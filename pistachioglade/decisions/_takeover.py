"""Who watches whom among the entries, and when jobs pass on to another one.

The load it answers: a step is due in 7.5 s and an entry may vanish, freeze or lose the
store right after it has accepted one. Each entry watches just the one before it in the
order of names, so that the probes grow with the entries and not with their square; and
running an item twice is harmless, so that being wrong costs little.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

#: Time between two probes of the neighbour.
PROBE_INTERVAL_S: Final = 0.4
#: Time for the answer to a probe.
PROBE_TIMEOUT_S: Final = 0.5
#: Time for the answer to a probe of the neighbour before another is sent.
NEIGHBOUR_TIMEOUT_S: Final = 0.3
#: Silence after which the neighbour's jobs are taken over: two missed probes. A step's
#: longest samples fill its time but for half a second, so that each tenth counts.
_LOST_AFTER_S: Final = 1.0
#: Time for which the answer to a probe of the neighbour counts.
LATE_ANSWER_S: Final = 2.0
#: Times the usual answer time after which a neighbour that answers slowly is lost.
_SLOW_ANSWERS: Final = 4.0
#: Longest silence of a neighbour that answers slowly.
_LONGEST_SILENCE_S: Final = 3.0
#: Silence after which the link to the neighbour is opened anew.
_REOPEN_AFTER_S: Final = 0.6
#: Time between two probes of a neighbour that missed the last one.
_DOUBT_INTERVAL_S: Final = 0.12
#: Connections refused in a row after which a neighbour's process has ended: its machine
#: answers and nobody listens. One alone may fall between two processes.
_LOST_AFTER_REFUSED: Final = 3
#: Time without the store after which an entry can't list results in time.
_STORELESS_AFTER_S: Final = 1.2
#: Time without the store after which an entry leaves the list: longer than an idle one
#: goes without a call.
_STRUCK_OFF_AFTER_S: Final = 2.0
#: Age of the store's last answer up to which an entry takes a job without another look.
_FRESH_S: Final = 0.5


@attrs.frozen
class NeighbourView:
    """What an entry knows of the one that it watches."""

    # When it last answered, or when watching began.
    heard_s: float
    # How long it has been without the store, by its last answer; None if unknown.
    store_age_s: float | None
    # How long this entry has been without the store.
    own_store_age_s: float
    # Connections that its machine has refused since it last answered.
    refused: int = 0
    # How long its answers have taken of late.
    answer_s: float = 0.0


def neighbour_of(name: str, members: Iterable[str]) -> str | None:
    """Return the member that ``name`` watches; None if there is no other."""
    others = sorted(member for member in members if member != name)
    before = [member for member in others if member < name]
    return (before or others)[-1] if others else None


def heir_of(name: str, members: Iterable[str]) -> str | None:
    """Return the member that watches ``name`` and takes its jobs over."""
    others = sorted(member for member in members if member != name)
    behind = [member for member in others if member > name]
    return (behind or others)[0] if others else None


def probe_interval_s(is_in_doubt: bool) -> float:
    """Return the time to the next probe; short while the last one was missed."""
    return _DOUBT_INTERVAL_S if is_in_doubt else PROBE_INTERVAL_S


def is_lost(view: NeighbourView, now_s: float) -> bool:
    """Whether the neighbour has fallen silent, or its process has ended.

    A busy one answers late. Its jobs would make the next entry as busy, whose own
    neighbour would pass them on again.
    """
    slow_s = min(_LONGEST_SILENCE_S, _SLOW_ANSWERS * view.answer_s)
    is_silent = now_s - view.heard_s > max(_LOST_AFTER_S, slow_s)
    return is_silent or view.refused >= _LOST_AFTER_REFUSED


def should_reopen_link(silent_s: float, since_reopened_s: float) -> bool:
    """Whether the link to a silent neighbour is opened anew."""
    return min(silent_s, since_reopened_s) > _REOPEN_AFTER_S


def is_store_fresh(age_s: float | None) -> bool:
    """Whether an entry has heard from the store so lately that it may take a job."""
    return age_s is not None and age_s < _FRESH_S


def is_storeless(view: NeighbourView) -> bool:
    """Whether the neighbour lives without the store while this entry reaches it."""
    return _lacks_store(view, _STORELESS_AFTER_S)


def should_strike_off(view: NeighbourView) -> bool:
    """Whether a neighbour that lives without the store leaves the list of entries.

    New jobs go to listed entries, and each would wait for its refusal. It lists
    itself anew once it reaches the store.
    """
    return _lacks_store(view, _STRUCK_OFF_AFTER_S)


def _lacks_store(view: NeighbourView, after_s: float) -> bool:
    if view.own_store_age_s > _STORELESS_AFTER_S / 2:
        return False
    return view.store_age_s is not None and view.store_age_s > after_s
