"""When results are written, and when a trainer reads them."""

from __future__ import annotations

import pytest

from .. import StepProgress, next_write_s


def _progress(**fields: object) -> StepProgress:
    usual = {
        "complete_groups": 3,
        "target_groups": 12,
        "oldest_s": 2.0,
        "group_complete_s": 2.0,
        "due_s": 7.5,
        "is_finished": False,
        "next_end_s": float("inf"),
    }
    return StepProgress(**(usual | fields))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("progress", "expected_s"),
    [
        (_progress(), 2.8),
        (_progress(complete_groups=12), 2.0),
        (_progress(complete_groups=13), 2.0),
        (_progress(complete_groups=12, group_complete_s=None), 4.0),
        (_progress(is_finished=True), 2.0),
        # The group is complete after the longest wait of the oldest result.
        (_progress(oldest_s=1.0, group_complete_s=2.5), 2.5),
        # The trainer still waits for groups, and the step is nearly due or late.
        (_progress(oldest_s=6.2, group_complete_s=6.2), 6.3),
        (_progress(oldest_s=7.9, group_complete_s=7.9), 7.9),
        # Another sample ends soon; the wait is shorter once the step is late.
        (_progress(oldest_s=6.8, group_complete_s=6.8, next_end_s=7.2), 7.3),
        (_progress(oldest_s=6.8, group_complete_s=6.8, next_end_s=7.35), 7.3),
        (_progress(oldest_s=6.8, group_complete_s=6.8, next_end_s=7.5), 6.8),
        (_progress(oldest_s=7.4, group_complete_s=7.6, next_end_s=7.7), 8.0),
        (_progress(oldest_s=7.4, group_complete_s=7.6, next_end_s=8.1), 8.0),
        (_progress(oldest_s=7.4, group_complete_s=7.6, next_end_s=8.2), 7.6),
        (_progress(oldest_s=7.4, group_complete_s=7.95, next_end_s=8.0), 8.1),
        (_progress(oldest_s=7.4, group_complete_s=7.95, next_end_s=8.3), 7.95),
        # The trainer waits for no further group.
        (_progress(complete_groups=12, next_end_s=2.1), 2.0),
    ],
)
def test_results_wait_unless_the_trainer_waits_for_them(
    progress: StepProgress, expected_s: float
) -> None:
    assert next_write_s(progress) == pytest.approx(expected_s)


def _reads_s(group_complete_s: list[float], target: int, due_s: float) -> list[float]:
    """Simulate the writes and reads of a step; return each group's read time.

    One result completes each group, at the times in ``group_complete_s``. A read waits
    until there is a result, and the next read follows half a second after a page.
    """
    written: list[float] = []
    unwritten: list[float] = []
    for position, (finished_s, next_s) in enumerate(
        zip(group_complete_s, [*group_complete_s[1:], float("inf")], strict=True)
    ):
        unwritten.append(finished_s)
        progress = _progress(
            complete_groups=position + 1,
            target_groups=target,
            oldest_s=unwritten[0],
            group_complete_s=unwritten[0],
            due_s=due_s,
            is_finished=position + 1 == len(group_complete_s),
            next_end_s=next_s,
        )
        write_s = max(finished_s, next_write_s(progress))
        if write_s < next_s:
            written += [write_s] * len(unwritten)
            unwritten.clear()
    reads_s: list[float] = []
    read_s = 0.0
    while len(reads_s) < len(group_complete_s):
        read_s = max(read_s, written[len(reads_s)])
        count = sum(1 for item in written if item <= read_s)
        reads_s += [read_s] * (count - len(reads_s))
        read_s += 0.5
    return reads_s


def test_groups_that_end_together_are_read_together() -> None:
    """Guards against two batches for groups that end close together.

    A step's longest samples reach their maximum number of tokens within a tenth of a
    second. With two batches, the second is read half a second later, at 8.1 s.
    """
    ends_s = [1.0, 2.0, 3.0, 7.57, 7.63, 7.70, 9.0]
    assert _reads_s(ends_s, 6, 7.5)[5] < 7.9


def test_groups_that_end_at_different_instances_are_read_together() -> None:
    """Guards against a last group that is read too late to count.

    At twenty instances, the two longest samples end 0.18 s apart and complete the
    step's last two groups. With the first written at 7.73 s, the second is read at
    8.23 s.
    """
    assert _reads_s([1.0, 2.0, 3.0, 7.58, 7.76, 9.0], 5, 7.4)[4] < 7.8


def test_a_group_waits_for_the_last_group_that_is_about_to_end() -> None:
    """Guards against a read just before the last group is complete.

    With a read at 6.9 s, the group that ends at 7.2 s is read at 7.4 s.
    """
    assert _reads_s([1.0, 2.0, 6.9, 7.2, 9.0], 4, 7.5)[3] < 7.3


def test_a_group_that_is_complete_near_the_due_time_does_not_wait() -> None:
    """Guards against a write 0.8 s after the group's last sample, past the due time."""
    assert _reads_s([1.0, 2.0, 7.0, 8.5, 9.0], 4, 7.5)[2] < 7.3
