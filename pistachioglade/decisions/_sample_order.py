"""In which order the samples of all jobs of one node start.

Two to four trainers submit steps of some sixty samples at the same time, and a few
samples are ten times as long as the others. The value of a step is the number of groups
that are complete by its due time, and the step ends when nine tenths of its groups are
complete. Samples with a partial text start first, then samples by their latest start
time: the step's due time less the sample's expected duration. A step waits for its long
samples that start late; the short samples of an earlier step can wait for a moment and
fill the slots that become free. Groups carried over from an earlier job are slightly
more urgent, since a trainer always waits for them.

While more samples wait than there are free slots, the groups that the trainer waits for
go first, and the remaining tenth takes the slots that are left. Which groups these are
is decided by remaining work and kept from pass to pass.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final

import attrs

#: Estimated time of one output token, in seconds. The estimate affects only the order.
_TOKEN_S: Final = 0.0007
#: Time by which the samples of a carried-over group are more urgent, in seconds: the
#: duration of a usual sample.
_CARRIED_LEAD_S: Final = 1.0
#: Length of a sample without an estimate, in tokens: a usual sample has some 500 to
#: 1,500.
_USUAL_TOKENS: Final = 1000
#: Longest length that is taken into account, in tokens; estimates come from callers and
#: may be of any size.
_MAX_TOKENS: Final = 10_000_000
#: Factor on the remaining work of a group that has not begun. The estimate of a sample
#: is its median, so that the longest sample of a group that has not begun takes about
#: twice as long as the longest estimate.
_UNBEGUN_FACTOR: Final = 2.0
#: Factor on the remaining work of a group that did not count before, so that groups of
#: similar length don't replace each other at each pass.
_NEWCOMER_FACTOR: Final = 1.5


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
    # Whether the sample's group counts towards its step's target.
    counts_for_target: bool = True
    # Output tokens that the sample is still expected to take.
    remaining_tokens: int = _USUAL_TOKENS


@attrs.frozen
class GroupWork:
    """The unfinished work of one group."""

    # Name of the group.
    group: str
    # Index of the group in the job.
    index: int
    # Whether the group was carried over from an earlier job.
    is_carried_over: bool
    # Whether a sample of the group runs, has a text or has ended.
    is_begun: bool
    # Remaining tokens of the sample that has most of them.
    longest_tokens: int


def remaining_tokens(expected: int | None, done: int, most: int | None) -> int:
    """Return the tokens that a sample with ``done`` tokens is expected to take still.

    ``expected`` is the caller's estimate and ``most`` the caller's limit of the whole
    length. A sample beyond its estimate is expected to take as long again, since a few
    samples are many times as long as their estimates.
    """
    estimate = expected if expected is not None and expected > 0 else _USUAL_TOKENS
    remaining = max(min(estimate, _MAX_TOKENS) - done, done)
    if most is None or most <= 0:
        return remaining
    return max(0, min(remaining, most - done))


def counting_groups(
    groups: Collection[GroupWork],
    target_groups: int,
    complete_groups: int,
    previous: Collection[str] = frozenset(),
) -> frozenset[str]:
    """Return the unfinished groups that count towards a step's target.

    ``complete_groups`` is the number of groups whose samples all have ended, completed
    or given up. ``previous`` are the groups that counted at the last decision. Without
    a target, or with too few groups to reach it, all groups count.
    """
    carried = {work.group for work in groups if work.is_carried_over}
    places = max(0, target_groups - complete_groups - len(carried))
    if target_groups <= 0 or places >= len(groups) - len(carried):
        return frozenset(work.group for work in groups)

    def rank(work: GroupWork) -> tuple[float, int]:
        begun = 1.0 if work.is_begun else _UNBEGUN_FACTOR
        known = 1.0 if work.group in previous else _NEWCOMER_FACTOR
        return work.longest_tokens * begun * known, work.index

    others = sorted((work for work in groups if not work.is_carried_over), key=rank)
    return frozenset((*carried, *(work.group for work in others[:places])))


def start_order(
    samples: Iterable[PendingSample], by_length: bool = True
) -> list[PendingSample]:
    """Return the samples in the order in which they should start.

    Without ``by_length``, samples are ordered by due times and not by latest starts.
    """
    return sorted(samples, key=lambda item: start_key(item, by_length))


def start_key(
    sample: PendingSample, by_length: bool = True
) -> tuple[bool, float, int, int, str]:
    """Return the key by which the samples of all trainers are ordered."""
    return (
        not sample.has_partial_text,
        latest_start_s(sample) if by_length else sample.due_s,
        sample.unfinished_in_group,
        sample.group_index,
        sample.item_id,
    )


def latest_start_s(sample: PendingSample) -> float:
    """Return the latest start time that lets a sample finish by its due time."""
    duration_s = min(sample.expected_tokens or 0, _MAX_TOKENS) * _TOKEN_S
    return (
        sample.due_s - duration_s - (_CARRIED_LEAD_S if sample.is_carried_over else 0.0)
    )
