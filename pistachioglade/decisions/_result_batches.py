"""When finished results are written to the store.

Some sixty results of a step finish within two or three seconds, and each write has a
cost. A trainer waits for complete groups and starts its next step only when it has
enough of them; a single result is of no use to it. A step's longest samples leave half
a second of its time, several of them reach their maximum number of tokens within a
tenth of a second, and a trainer that has just read a page reads the next page half a
second later.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import accumulate, takewhile
from typing import Final

import attrs

#: Longest time that a result waits while it completes no group, in seconds. A crash of
#: the node loses at most the results of this time, and repeating them takes about as
#: long.
_IDLE_WAIT_S: Final = 2.0
#: Time for further results to join a batch that completes a group while the trainer
#: still waits for more groups: half of the time between two reads of the trainer.
_GROUP_WAIT_S: Final = 0.8
#: Time before the due time at which the group wait ends at the latest: two reads of a
#: trainer and a write. A longer wait would delay the group and the following steps.
_FINAL_READS_S: Final = 1.2
#: Longest wait of a complete group for samples that are about to end, so that one batch
#: holds them all: a trainer reads a second batch half a second later.
_JOIN_WAIT_S: Final = 0.5
#: The same wait once the group might be read too late. A short wait suffices, since
#: samples that reach their maximum number of tokens end close together.
_LATE_JOIN_WAIT_S: Final = 0.15
#: Time after the due time by which a group must be written to count as on time: the
#: users' grace period less the time of a write and of a read.
_LATENESS_LIMIT_S: Final = 0.5
#: Possible delay of a sample's end beyond the estimate from its pace: events arrive in
#: bursts.
_END_JITTER_S: Final = 0.1


@attrs.frozen
class StepProgress:
    """The progress of a step while some of its results wait for their write.

    Times are in seconds of one monotonic clock.
    """

    # Number of groups whose results are all written or wait for their write.
    complete_groups: int
    # Number of groups that the trainer waits for.
    target_groups: int
    # Time at which the oldest waiting result was finished.
    oldest_s: float
    # Time at which the first group among the waiting results became complete; None
    # without such a group.
    group_complete_s: float | None
    # Time at which the step is due.
    due_s: float
    # Whether every sample of the step is finished.
    is_finished: bool
    # Latest estimated time at which the next unfinished sample ends.
    next_end_s: float


def next_write_s(progress: StepProgress) -> float:
    """Return the time at which to write the waiting results."""
    if progress.is_finished:
        return progress.oldest_s
    if progress.group_complete_s is None:
        return progress.oldest_s + _IDLE_WAIT_S
    if progress.complete_groups >= progress.target_groups:
        return progress.group_complete_s
    last_s = progress.due_s - _FINAL_READS_S
    written_s = min(progress.oldest_s + _GROUP_WAIT_S, last_s)
    return max(
        progress.group_complete_s,
        written_s,
        _join_end_s(progress, progress.group_complete_s),
    )


def _join_end_s(progress: StepProgress, group_complete_s: float) -> float:
    """Return the end of a complete group's wait for a sample that is about to end."""
    remaining_s = progress.due_s + _LATENESS_LIMIT_S - group_complete_s
    until_s = group_complete_s + min(_JOIN_WAIT_S, max(_LATE_JOIN_WAIT_S, remaining_s))
    is_near = progress.next_end_s <= until_s + _END_JITTER_S
    return until_s if is_near else group_complete_s


#: Fraction of an object's size for its contents; names and framing take the remainder.
_CONTENT_FRACTION: Final = 0.95


def count_fitting(sizes: Iterable[int], max_bytes: int) -> int:
    """Return how many of the first values fit into one object, at least 1."""
    limit = max_bytes * _CONTENT_FRACTION
    sums = accumulate(sizes)
    return max(1, sum(1 for _ in takewhile(lambda total: total <= limit, sums)))
