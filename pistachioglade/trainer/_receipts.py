"""The receipts of taken samples, which decide exactly-once delivery."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from ..decisions import is_fresh
from ..messages import Receipt, Sample


class Verdict(Enum):
    """The result of offering a received sample."""

    TAKEN = "taken"
    DUPLICATE = "duplicate"
    TOO_STALE = "too-stale"


class StepReceipts:
    """The receipts of one step, and those that no owner has acknowledged yet."""

    def __init__(self, sample_count: int, receipts: Iterable[Receipt] = ()) -> None:
        self._sample_count = sample_count
        self._receipts = {receipt.index: receipt for receipt in receipts}
        self._unsent = dict(self._receipts)
        self._rejected: set[int] = set()

    @property
    def is_complete(self) -> bool:
        """Whether every sample was taken."""
        return len(self._receipts) == self._sample_count

    def all(self) -> tuple[Receipt, ...]:
        """Return every receipt, ordered by index."""
        return tuple(self._receipts[index] for index in sorted(self._receipts))

    def offer_sample(
        self, sample: Sample, newest_version: int, bound_versions: int, age_s: float
    ) -> Verdict:
        """Take a sample unless its index was taken before or its text is too stale."""
        known = self._receipts.get(sample.index)
        if known is not None or not 0 <= sample.index < self._sample_count:
            if known is not None:
                self._unsent[sample.index] = known
            return Verdict.DUPLICATE
        if not is_fresh(sample.oldest_version, newest_version, bound_versions):
            self._rejected.add(sample.index)
            return Verdict.TOO_STALE
        receipt = Receipt(
            index=sample.index,
            copy_id=sample.copy_id,
            spans=sample.spans,
            staleness_versions=newest_version - sample.oldest_version,
            lateness_s=age_s,
            agent=sample.agent,
        )
        self._receipts[sample.index] = receipt
        self._unsent[sample.index] = receipt
        return Verdict.TAKEN

    def unsent(self) -> tuple[Receipt, ...]:
        """Return the receipts that no owner has acknowledged."""
        return tuple(self._unsent.values())

    def rejected(self) -> tuple[int, ...]:
        """Return the indices of stale samples since the last acknowledgement."""
        return tuple(sorted(self._rejected))

    def mark_acknowledged(
        self, receipts: Iterable[Receipt], rejected: Iterable[int]
    ) -> None:
        """Mark receipts and rejections as acknowledged by an owner."""
        for receipt in receipts:
            self._unsent.pop(receipt.index, None)
        self._rejected.difference_update(rejected)
