"""When finished results are written to the store.

The load it answers: some sixty results of a step come within two or three seconds; each
write is priced and wakes every node's watch. What a trainer waits for is whole groups,
and its next step starts only when it has enough of them.
"""

from __future__ import annotations

from typing import Final

#: Longest time that a result waits while no group hangs on it: readers come twice a
#: second, so that shorter waits show them nothing earlier.
_IDLE_WAIT_S: Final = 0.6
#: Time for further results of the moment to join a batch that a group hangs on: one
#: or two events.
_GROUP_WAIT_S: Final = 0.06


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
    return _GROUP_WAIT_S * 4 if has_new_group else _IDLE_WAIT_S
