"""Whether the store itself was away, or only this node's own way to it.

The load it answers: single entries lose their way to the store for ten seconds and
more, or are refused by it, while it serves all others and while they read it by way of
these. Instances leave the list in that time, and such an entry must drop them like any
other: one that took its own way for the store sent requests to an instance for 18 s
behind its leaving, played in virtual time. In an outage of the store, though, entries
of living instances lapse: dropping those would leave callers with no instance for two
seconds.
"""

from __future__ import annotations

from typing import Final

import attrs

#: Time behind the store's return for which an instance that has left the list stays in
#: use: those that live are back within about two seconds.
_LAPSE_GRACE_S: Final = 2.2
#: Time for which calls have to go unanswered by every way: one that was lost or refused
#: on the way says nothing of the store, and entries lapse only after three heartbeats.
_LEAST_OUTAGE_S: Final = 0.5


@attrs.define
class StoreOutage:
    """What a node has seen of the store's outages, by all of its ways together."""

    # When a call was last answered; minus infinity before any.
    answered_s: float = float("-inf")
    # When the first of the calls began that no way has answered; None while one does.
    unanswered_since_s: float | None = None
    # When the store was taken for away; None if it isn't.
    away_since_s: float | None = None
    # When it was back from its last outage; None if it had none.
    returned_s: float | None = None

    @property
    def is_away(self) -> bool:
        """Whether the store is away."""
        return self.away_since_s is not None

    def answered(self, asked_s: float, now_s: float) -> None:
        """Take an answer, by whichever way, to a call that began then."""
        if self.away_since_s is not None and not self._was_doubt(asked_s, now_s):
            self.returned_s = now_s
        self.answered_s = now_s
        self.unanswered_since_s = None
        self.away_since_s = None

    def _was_doubt(self, asked_s: float, now_s: float) -> bool:
        """Whether the call that made the store seem away was answered after all.

        Two refusals a second apart, with no other call between them, look like an
        outage until the second call has gone by another way.
        """
        since_s = self.away_since_s
        assert since_s is not None
        return asked_s <= since_s and now_s - since_s < _LEAST_OUTAGE_S

    def unanswered(self, begun_s: float, now_s: float) -> None:
        """Take that no way answered a call that was made then.

        Others may have been answered while it waited.
        """
        if self.unanswered_since_s is None:
            self.unanswered_since_s = max(begun_s, self.answered_s)
        is_long = now_s - self.unanswered_since_s >= _LEAST_OUTAGE_S
        if is_long and self.away_since_s is None:
            self.away_since_s = now_s

    def age_s(self, now_s: float) -> float | None:
        """Return the seconds since the last outage, 0 in one; None if none was."""
        if self.is_away:
            return 0.0
        return None if self.returned_s is None else now_s - self.returned_s


def may_have_lapsed(outage_age_s: float | None) -> bool:
    """Whether an instance that left the list may live and soon be back on it."""
    return outage_age_s is not None and outage_age_s < _LAPSE_GRACE_S
