"""When finished results are written to the store.

The load it answers: some sixty results of a step come within two or three seconds, and
each write is paid for. What a trainer waits for is whole groups, and its next step
starts only when it has enough of them; a result alone is worth nothing to it. A step's
longest samples take all of its time but for half a second, several of them end within
a tenth of a second at the most tokens that they may have, and a trainer that has just
read a page reads the next one half a second later.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import accumulate, takewhile
from typing import Final

import attrs

#: Longest time that a result waits while no group hangs on it: what a death of the
#: node costs at most, which is made again in about this time.
_IDLE_WAIT_S: Final = 2.0
#: Time for further results to join a batch that completes a group while the trainer
#: still waits for more: half of the time between two of its reads.
_GROUP_WAIT_S: Final = 0.8
#: Time before a step is due at which no whole group waits any longer: two reads of a
#: trainer and a write. Waiting on would make the group late, and the steps behind it.
_LAST_READS_S: Final = 1.2
#: Longest time for samples that are about to end to join the batch of a group that the
#: trainer waits for: of two batches, a trainer reads the second half a second later.
_TOGETHER_S: Final = 0.5
#: The same once the group could be read too late: samples that end at their most tokens
#: end close together.
_TOGETHER_LATE_S: Final = 0.15
#: Time behind the due time at which a group still has to be written to count as on
#: time: the users' grace less a write and a reader's way.
_STILL_ON_TIME_S: Final = 0.5
#: How far the end of a sample may be behind what its pace says: events come in bursts.
_END_JITTER_S: Final = 0.1


@attrs.frozen
class StepProgress:
    """How far a step is when some of its results wait for their write.

    Times are in seconds of one monotonic clock.
    """

    # Groups whose results are all written or waiting to be.
    whole_groups: int
    # Groups that the trainer waits for.
    target_groups: int
    # When the oldest waiting result was finished.
    oldest_s: float
    # When the first group that hangs on waiting results became whole; None without one.
    whole_s: float | None
    # When the step is due.
    due_s: float
    # Whether no sample is open any more.
    is_last: bool
    # When the next open sample ends at the latest, as far as that is known.
    next_end_s: float


def write_time_s(progress: StepProgress) -> float:
    """Return when the waiting results are written."""
    if progress.is_last:
        return progress.oldest_s
    if progress.whole_s is None:
        return progress.oldest_s + _IDLE_WAIT_S
    if progress.whole_groups >= progress.target_groups:
        return progress.whole_s
    last_s = progress.due_s - _LAST_READS_S
    written_s = min(progress.oldest_s + _GROUP_WAIT_S, last_s)
    return max(progress.whole_s, written_s, _together_s(progress, progress.whole_s))


def _together_s(progress: StepProgress, whole_s: float) -> float:
    """Return until when a whole group waits for a sample that is about to end."""
    left_s = progress.due_s + _STILL_ON_TIME_S - whole_s
    until_s = whole_s + min(_TOGETHER_S, max(_TOGETHER_LATE_S, left_s))
    is_near = progress.next_end_s <= until_s + _END_JITTER_S
    return until_s if is_near else whole_s


#: Part of an object that its contents may fill; names and framing take the rest.
_FILL: Final = 0.95


def fitting_count(sizes: Iterable[int], max_bytes: int) -> int:
    """Return how many of the first things one object holds, one at least."""
    limit = max_bytes * _FILL
    sums = accumulate(sizes)
    return max(1, sum(1 for _ in takewhile(lambda total: total <= limit, sums)))
