"""In which order the samples of all jobs of one node start.

Two to four trainers submit steps of some sixty samples at the same time, and a few
samples are ten times as long as the others. The value of a step is the number of groups
that are complete by its due time, and the step ends when nine tenths of its groups are
complete. Samples with a partial text start first, then samples by their latest start
time: the step's due time less the sample's expected duration. A step waits for its long
samples that start late; the short samples of an earlier step can wait for a moment and
fill the slots that become free. Groups carried over from an earlier job are slightly
more urgent, since a trainer always waits for them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

#: Estimated time of one output token, in seconds. The estimate affects only the order.
_TOKEN_S: Final = 0.0007
#: Time by which the samples of a carried-over group are more urgent, in seconds: the
#: duration of a usual sample.
_CARRIED_LEAD_S: Final = 1.0


@attrs.frozen
class PendingSample:
    """A sample that waits for an instance."""

    # Id of the sample's job.
    job_id: str
    # Id of the sample's item in the job.
    item_id: str
    # Monotonic time at which the job's results are due, in seconds.
    due_s: float
    # Whether the sample's group was carried over from an earlier job.
    is_carried_over: bool
    # Number of unfinished samples in the sample's group.
    unfinished_in_group: int
    # Index of the group in the job.
    group_index: int
    # Output tokens that the caller expects; None without an estimate.
    expected_tokens: int | None
    # Whether the sample has a partial text already.
    has_partial_text: bool


def start_order(
    samples: Iterable[PendingSample], by_length: bool = True
) -> list[PendingSample]:
    """Return the samples in the order in which they should start.

    Without ``by_length``, samples are ordered by due times and not by latest starts.
    """
    return sorted(
        samples,
        key=lambda item: (
            not item.has_partial_text,
            latest_start_s(item) if by_length else item.due_s,
            item.unfinished_in_group,
            item.group_index,
            item.item_id,
        ),
    )


def latest_start_s(sample: PendingSample) -> float:
    """Return the latest start time that lets a sample finish by its due time."""
    duration_s = (sample.expected_tokens or 0) * _TOKEN_S
    return (
        sample.due_s - duration_s - (_CARRIED_LEAD_S if sample.is_carried_over else 0.0)
    )
