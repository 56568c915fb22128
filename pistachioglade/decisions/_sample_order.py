"""In which order the samples of all jobs of one node start.

The load it answers: two to four trainers whose steps of some sixty samples arrive
together, of which a few are ten times as long as the others; a step is worth the groups
that are whole by its due time, and is over when nine tenths of them are. The step that
is due first goes first; in it, groups that came before (a trainer always waits for
these); then the longest sample first, since a long one that starts late is what a step
waits for, while the short ones fill the slots that come free.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs


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


def start_order(samples: Iterable[PendingSample]) -> list[PendingSample]:
    """Return the samples in the order in which they should start."""
    return sorted(
        samples,
        key=lambda item: (
            not item.is_begun,
            item.due_s,
            not item.is_carried,
            -(item.expected_tokens or 0),
            item.group_open,
            item.group_index,
            item.item_id,
        ),
    )
