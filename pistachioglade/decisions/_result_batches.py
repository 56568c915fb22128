"""When finished results are written to the store.

The load it answers: some sixty results of a step come within two or three seconds, and
each write is paid for. What a trainer waits for is whole groups, and its next step
starts only when it has enough of them; a result alone is worth nothing to it.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import accumulate, takewhile
from typing import Final

#: Longest time that a result waits while no group hangs on it: what a death of the
#: node costs at most, which is made again in about this time.
_IDLE_WAIT_S: Final = 2.0
#: Time for further results to join a batch that completes a group while the trainer
#: still waits for more: half of the time between two of its reads.
_GROUP_WAIT_S: Final = 0.8


def batch_wait_s(
    whole_groups: int, target_groups: int, has_new_group: bool, is_last: bool
) -> float:
    """Return how long the oldest unwritten result may wait.

    ``whole_groups`` counts groups whose results are all written or waiting to be;
    ``has_new_group`` tells whether one of them hangs on the waiting results.
    """
    if is_last:
        return 0.0
    if has_new_group and whole_groups >= target_groups:
        return 0.0
    return _GROUP_WAIT_S if has_new_group else _IDLE_WAIT_S


#: Part of an object that its contents may fill; names and framing take the rest.
_FILL: Final = 0.95


def fitting_count(sizes: Iterable[int], max_bytes: int) -> int:
    """Return how many of the first things one object holds, one at least."""
    limit = max_bytes * _FILL
    sums = accumulate(sizes)
    return max(1, sum(1 for _ in takewhile(lambda total: total <= limit, sums)))
