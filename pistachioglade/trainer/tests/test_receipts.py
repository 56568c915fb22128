"""Receipts: exactly-once delivery within the staleness bound."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ...messages import Sample, VersionSpan
from .. import StepCheckpoint, StepReceipts, TrainerCheckpoint, Verdict


def _sample(index: int, version: int = 1, copy: str = "c") -> Sample:
    return Sample(index, copy, "t", (VersionSpan(version, 3),), "a", "e")


def test_a_sample_is_stale_after_a_newer_version_is_published() -> None:
    receipts = StepReceipts(2)
    assert receipts.offer_sample(_sample(0), 2, 1, 0.0) is Verdict.TAKEN
    assert receipts.offer_sample(_sample(1), 3, 1, 0.0) is Verdict.TOO_STALE
    assert receipts.rejected() == (1,)


def test_staleness_is_measured_by_the_oldest_span() -> None:
    spans = (VersionSpan(1, 1), VersionSpan(3, 99))
    mixed = Sample(0, "c", "t", spans, "a", "e")
    assert StepReceipts(1).offer_sample(mixed, 3, 1, 0.0) is Verdict.TOO_STALE


def test_the_receipt_of_a_duplicate_is_sent_again() -> None:
    receipts = StepReceipts(1)
    receipts.offer_sample(_sample(0), 1, 0, 0.0)
    sent = receipts.unsent()
    receipts.mark_acknowledged(sent, ())
    assert receipts.unsent() == ()
    assert receipts.offer_sample(_sample(0, copy="d"), 1, 0, 0.0) is Verdict.DUPLICATE
    assert receipts.unsent() == sent


@given(st.lists(st.tuples(st.integers(-1, 5), st.integers(1, 3), st.integers(1, 3))))
def test_no_index_is_taken_twice(offers: list[tuple[int, int, int]]) -> None:
    receipts = StepReceipts(4)
    taken = [
        index
        for index, version, newest in offers
        if receipts.offer_sample(_sample(index, version), newest, 1, 0.0)
        is Verdict.TAKEN
    ]
    assert len(taken) == len(set(taken))
    assert {receipt.index for receipt in receipts.all()} == set(taken)
    assert all(item.staleness_versions <= 1 for item in receipts.all())


def test_a_checkpoint_is_unchanged_after_saving_and_loading() -> None:
    receipts = StepReceipts(2)
    receipts.offer_sample(_sample(1), 1, 0, 0.5)
    saved = TrainerCheckpoint(4, (StepCheckpoint(9, 1.5, receipts.all()),))
    assert TrainerCheckpoint.from_json(saved.to_json()) == saved
