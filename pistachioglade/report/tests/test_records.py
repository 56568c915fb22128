"""Encoding of step records, and merging of the records of several owners."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from ...messages import Receipt, VersionSpan
from .. import StepRecord, merge_receipts, pack_step, unpack_step

_SPANS = st.lists(
    st.builds(VersionSpan, st.integers(1, 99), st.integers(1, 9999)), min_size=1
).map(tuple)
_RECEIPTS = st.builds(
    Receipt,
    index=st.integers(0, 8191),
    copy_id=st.integers(0, 10**6).map(lambda number: f"agent-a.1f.{number}"),
    spans=_SPANS,
    staleness_versions=st.integers(0, 5),
    lateness_s=st.integers(0, 10**6).map(lambda number: number / 1000),
    agent=st.just("agent-a"),
)


def _record(*receipts: Receipt) -> StepRecord:
    return StepRecord("t", 1, "o", 0.0, 8192, receipts, {}, {})


@given(st.lists(_RECEIPTS, max_size=20))
def test_packed_record_round_trips_through_json(receipts: list[Receipt]) -> None:
    record = _record(*receipts)
    assert unpack_step(json.loads(json.dumps(pack_step(record)))) == record


def test_packed_record_of_8192_samples_is_below_one_megabyte() -> None:
    receipts = [
        Receipt(
            index,
            f"agent-{index % 18:04d}.18ed81e160a63505.{index}",
            (VersionSpan(1234, 900), VersionSpan(1235, 100)),
            1,
            1600.123,
            f"agent-{index % 18:04d}",
        )
        for index in range(8192)
    ]
    assert len(json.dumps(pack_step(_record(*receipts)))) < 1_000_000


def test_merge_keeps_receipt_of_latest_copy() -> None:
    spans = (VersionSpan(1, 4),)
    early = Receipt(3, "a.1.1", spans, 0, 1.0, "a")
    late = Receipt(3, "b.1.1", spans, 0, 2.0, "b")
    for records in ([_record(early), _record(late)], [_record(late), _record(early)]):
        assert merge_receipts(records) == {(1, 3): late}
