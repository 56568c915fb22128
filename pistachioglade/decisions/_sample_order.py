"""In which order the samples of all jobs of one node start.

The load it answers: two to four trainers whose steps of some sixty samples arrive
together, of which a few are ten times as long as the others; a step is worth the groups
that are whole by its due time, and is over when nine tenths of them are. Samples that
have begun go first, then the one whose latest start comes first: its step's due time
less its expected length. A long sample that starts late is what a step waits for; the
short ones of an earlier step can wait a moment for it and fill the slots that come
free. Groups that came before count as a little more urgent, since a trainer always
waits for these.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

#: Time of one output token, in seconds; only the order matters.
_TOKEN_S: Final = 0.0007
#: How much more urgent a group is that was left over from an earlier step, in seconds:
#: the length of a usual sample.
_CARRIED_S: Final = 1.0


@attrs.frozen
class PendingSample:
    """A sample that waits for an instance."""

    # Job that it belongs to.
    job_id: str
    # Item in the job.
    item_id: str
    # When the job's results are due, in seconds of the monotonic clock.
    due_s: float
    # Whether its group was left over from an earlier job.
    is_carried: bool
    # Samples of its group that are not finished.
    group_open: int
    # Place of the group in its job.
    group_index: int
    # Output tokens that the caller expects; None if it doesn't say.
    expected_tokens: int | None
    # Whether a part of its text is there already.
    is_begun: bool


def start_order(
    samples: Iterable[PendingSample], by_length: bool = True
) -> list[PendingSample]:
    """Return the samples in the order in which they should start.

    Without ``by_length``, steps go by their due times and samples by their places.
    """
    return sorted(
        samples,
        key=lambda item: (
            not item.is_begun,
            latest_start_s(item) if by_length else item.due_s,
            item.group_open,
            item.group_index,
            item.item_id,
        ),
    )


def latest_start_s(sample: PendingSample) -> float:
    """Return when a sample has to start to be done by its step's due time."""
    length_s = (sample.expected_tokens or 0) * _TOKEN_S
    return sample.due_s - length_s - (_CARRIED_S if sample.is_carried else 0.0)
