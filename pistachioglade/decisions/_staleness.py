"""Whether a sample is, and will still be, fresh enough for its trainer."""

from __future__ import annotations

from typing import Final

import attrs

#: Weight of the newest interval in the running mean.
_SMOOTHING: Final = 0.3
#: Longest hold, as a part of the interval between versions.
_HOLD_PART: Final = 0.5
#: Time beyond the expected publication, as a part of the interval.
_HOLD_SLACK: Final = 0.1


@attrs.frozen
class VersionPace:
    """How fast versions follow each other."""

    # Running mean of the time between versions; None before two were seen.
    interval_s: float | None = None
    # Time of the newest version; None before one was seen.
    last_s: float | None = None

    def published(self, now_s: float) -> VersionPace:
        """Return the pace after a publication."""
        if self.last_s is None:
            return VersionPace(None, now_s)
        gap_s = now_s - self.last_s
        if self.interval_s is None:
            return VersionPace(gap_s, now_s)
        mean_s = self.interval_s + _SMOOTHING * (gap_s - self.interval_s)
        return VersionPace(mean_s, now_s)

    def expected_versions(self, now_s: float, ahead_s: float) -> int:
        """Return how many versions will come within ``ahead_s``."""
        if self.interval_s is None or self.last_s is None or self.interval_s <= 0:
            return 0
        since_s = min(now_s - self.last_s, self.interval_s)
        return int((since_s + ahead_s) / self.interval_s)


def hold_s(pace: VersionPace, now_s: float) -> float:
    """Return how long a step that starts now does well to wait for new weights.

    Where staleness weighs more than idle time, samples are better made with weights
    that are about to come. The wait is bounded by a part of the interval, so that a
    trainer that publishes no more is not held up.
    """
    if pace.interval_s is None or pace.last_s is None:
        return 0.0
    remaining_s = pace.interval_s - (now_s - pace.last_s)
    longest_s = _HOLD_PART * pace.interval_s
    if not 0 < remaining_s <= longest_s:
        return 0.0
    return min(remaining_s + _HOLD_SLACK * pace.interval_s, longest_s)


def is_fresh(oldest_version: int, newest_version: int, bound_versions: int) -> bool:
    """Return whether a sample may be taken now."""
    return newest_version - oldest_version <= bound_versions


def will_be_fresh(
    start_version: int,
    newest_version: int,
    bound_versions: int,
    expected_versions: int,
) -> bool:
    """Return whether a sample that starts now would still be fresh when done."""
    predicted = newest_version + expected_versions
    return is_fresh(start_version, predicted, bound_versions)
