"""Decides whether a sample is fresh enough for its trainer, now or when done."""

from __future__ import annotations

from typing import Final

import attrs

#: Weight of the newest interval in the exponential moving average.
_SMOOTHING: Final = 0.3
#: Longest delay of a step, as a fraction of the interval between versions.
_MAX_HOLD_FRACTION: Final = 0.5
#: Time added to the expected publication, as a fraction of the interval.
_HOLD_SLACK_FRACTION: Final = 0.1


@attrs.frozen
class VersionPace:
    """Average interval between versions, and the time of the newest version."""

    # Moving average of the time between versions, in seconds; None before two versions.
    interval_s: float | None = None
    # Monotonic time of the newest version; None before any.
    last_s: float | None = None

    def after_publication(self, now_s: float) -> VersionPace:
        """Return the pace after the publication of a version."""
        if self.last_s is None:
            return VersionPace(None, now_s)
        gap_s = now_s - self.last_s
        if self.interval_s is None:
            return VersionPace(gap_s, now_s)
        mean_s = self.interval_s + _SMOOTHING * (gap_s - self.interval_s)
        return VersionPace(mean_s, now_s)

    def expected_versions(self, now_s: float, ahead_s: float) -> int:
        """Return the number of versions expected within ``ahead_s``."""
        if self.interval_s is None or self.last_s is None or self.interval_s <= 0:
            return 0
        since_s = min(now_s - self.last_s, self.interval_s)
        return int((since_s + ahead_s) / self.interval_s)


def step_hold_s(pace: VersionPace, now_s: float) -> float:
    """Return how long a step that starts now waits for new weights, in seconds.

    Used where staleness weighs more than idle time: samples are then better made with
    weights that are about to be published. The delay is limited to a fraction of the
    interval, so that a trainer that stops publishing isn't delayed.
    """
    if pace.interval_s is None or pace.last_s is None:
        return 0.0
    remaining_s = pace.interval_s - (now_s - pace.last_s)
    longest_s = _MAX_HOLD_FRACTION * pace.interval_s
    if not 0 < remaining_s <= longest_s:
        return 0.0
    return min(remaining_s + _HOLD_SLACK_FRACTION * pace.interval_s, longest_s)


def is_fresh(oldest_version: int, newest_version: int, bound_versions: int) -> bool:
    """Return whether a sample is within the trainer's staleness bound."""
    return newest_version - oldest_version <= bound_versions


def will_be_fresh(
    start_version: int,
    newest_version: int,
    bound_versions: int,
    expected_versions: int,
) -> bool:
    """Return whether a sample that starts now is expected to be fresh when done."""
    predicted = newest_version + expected_versions
    return is_fresh(start_version, predicted, bound_versions)
