"""Distinguishes an outage of the store from the loss of this node's route to it.

Expected load: single entries lose their route to the store for ten seconds and more, or
are refused by the store, while the store serves all other entries and while the cut-off
entries reach the store through the others. Instances leave the list in that time, and a
cut-off entry must drop them as any other entry does. In a simulation, an entry that
took the loss of its own route for an outage sent requests to an instance for 18 s after
the instance had left. In an outage of the store, however, the list entries of living
instances lapse. Dropping those instances would leave callers without an instance for
two seconds.
"""

from __future__ import annotations

from typing import Final

import attrs

#: Time after the end of an outage for which an instance that has left the list stays in
#: use. Living instances are listed again within about two seconds.
_LAPSE_GRACE_S: Final = 2.2
#: Time for which calls have to be unanswered on all routes. A single call that is lost
#: or refused on its route doesn't indicate an outage, and list entries lapse only after
#: three heartbeats.
_MIN_OUTAGE_S: Final = 0.5


@attrs.define
class StoreOutage:
    """State of the store as a node observes it, on all its routes together."""

    # Monotonic time of the last answer; minus infinity before any.
    answered_s: float = float("-inf")
    # Monotonic time since which no route has answered a call; None after an answer.
    unanswered_since_s: float | None = None
    # Monotonic time at which the outage was detected; None without an outage.
    unavailable_since_s: float | None = None
    # Monotonic time at which the last outage ended; None before any outage ended.
    ended_s: float | None = None

    @property
    def is_unavailable(self) -> bool:
        """Whether the store is in an outage."""
        return self.unavailable_since_s is not None

    def record_answer(self, asked_s: float, now_s: float) -> None:
        """Record an answer, on any route, to a call that began at ``asked_s``."""
        if self.unavailable_since_s is not None and not self._was_false_alarm(
            asked_s, now_s
        ):
            self.ended_s = now_s
        self.answered_s = now_s
        self.unanswered_since_s = None
        self.unavailable_since_s = None

    def _was_false_alarm(self, asked_s: float, now_s: float) -> bool:
        """Whether the call at which the outage was detected has been answered.

        Two refusals a second apart, without another call between them, look like an
        outage until the second call has been sent on another route.
        """
        since_s = self.unavailable_since_s
        assert since_s is not None
        return asked_s <= since_s and now_s - since_s < _MIN_OUTAGE_S

    def record_unanswered(self, begun_s: float, now_s: float) -> None:
        """Record that no route answered a call that began at ``begun_s``.

        Other calls may have been answered while this call waited.
        """
        if self.unanswered_since_s is None:
            self.unanswered_since_s = max(begun_s, self.answered_s)
        is_long = now_s - self.unanswered_since_s >= _MIN_OUTAGE_S
        if is_long and self.unavailable_since_s is None:
            self.unavailable_since_s = now_s

    def age_s(self, now_s: float) -> float | None:
        """Return the seconds since the last outage.

        0 during an outage; None if there was no outage.
        """
        if self.is_unavailable:
            return 0.0
        return None if self.ended_s is None else now_s - self.ended_s


def may_have_lapsed(outage_age_s: float | None) -> bool:
    """Whether an instance that left the list may be alive and be listed again soon."""
    return outage_age_s is not None and outage_age_s < _LAPSE_GRACE_S
