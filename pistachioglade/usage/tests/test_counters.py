"""Counters of begun requests: any order and repetition of copies leads to one total."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st

from ...decisions import ReportTerms
from .. import Clock, RequestMeter, UsageCounters, UsageMeter

_TERMS = ReportTerms(5.0, 10.0)
_REQUESTS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(["a0", "a1"]), st.integers(0, 3)),
    max_size=40,
)


def _run(work: object) -> None:
    async def main() -> None:
        work()  # type: ignore[operator]

    asyncio.run(main())


@given(_REQUESTS, st.randoms(use_true_random=False))
def test_copies_in_any_order_and_repeated_make_the_true_totals(
    requests: Sequence[tuple[int, str, int]], random: object
) -> None:
    """Each request is counted at one of three entries, and copied at any moment."""

    def work() -> None:
        entries = [
            UsageCounters(f"entry-{number}", _TERMS.kept_windows) for number in range(3)
        ]
        copies = []
        for number, account, window in requests:
            entries[number].count(account, window)
            copies.append((entries[number].run, entries[number].take_changed()))
        random.shuffle(copies)  # type: ignore[attr-defined]
        reporter = UsageCounters("reporter", _TERMS.kept_windows)
        for run, windows in copies + copies[::2]:
            reporter.merge(run, windows)
        for window in range(4):
            expected = Counter(account for _, account, at in requests if at == window)
            assert reporter.total(window) == expected

    _run(work)


def test_a_lost_copy_is_sent_again() -> None:
    def work() -> None:
        counters = UsageCounters("e", _TERMS.kept_windows)
        counters.count("a", 7)
        lost = counters.take_changed()
        assert counters.take_changed() == {}
        counters.count("a", 7)
        counters.mark_changed(lost)
        assert counters.take_changed() == {7: {"a": 2}}

    _run(work)


def test_old_windows_are_forgotten_and_large_counts_bounded() -> None:
    def work() -> None:
        counters = UsageCounters("e", _TERMS.kept_windows)
        for window in range(100):
            counters.merge("other", {window: {"a": 2**80, "b": -1}})
        assert counters.total(0) == {}
        assert counters.total(99) == {"a": 2**53}

    _run(work)


def _meter(now: list[float]) -> tuple[UsageMeter, UsageCounters]:
    counters = UsageCounters("e", _TERMS.kept_windows)
    clock = Clock(lambda: now[0], lambda: now[0])
    return UsageMeter(counters, clock, _TERMS), counters


def test_a_request_counts_once_in_the_window_in_which_it_began() -> None:
    def work() -> None:
        now = [4.9]
        meter, counters = _meter(now)
        request = RequestMeter(meter, "a")
        request.record_sent()
        now[0] = 5.1
        request.record_end(did_not_run=True)
        request.record_sent()
        now[0] = 10.2
        request.record_end(did_not_run=False)
        request.record_sent()
        request.record_end(did_not_run=False)
        request.close()
        assert counters.total(0) == counters.total(2) == {}
        assert counters.total(1) == {"a": 1}

    _run(work)


def test_a_request_whose_caller_leaves_counts_if_it_was_sent() -> None:
    def work() -> None:
        meter, counters = _meter([1.0])
        sent, unsent = RequestMeter(meter, "a"), RequestMeter(meter, "a")
        sent.record_sent()
        sent.close()
        unsent.close()
        without_account = RequestMeter(meter, "")
        without_account.record_sent()
        without_account.close()
        assert counters.total(0) == {"a": 1}

    _run(work)


def test_a_step_of_the_machines_clock_moves_no_window() -> None:
    unix, steady = [1000.0], [50.0]
    clock = Clock(lambda: steady[0], lambda: unix[0])
    steady[0] += 3.0
    unix[0] += 3.0 + 2.0
    assert clock.now_s() == 1003.0
    clock.correct(-0.5)
    assert clock.now_s() == 1002.5
