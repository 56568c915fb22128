"""The samples of a job that are looked at, and the items that follow them.

The scheduler looks at each waiting sample in each pass. Of a job of very many items,
only so many become samples at a time that a pass stays short.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from typing import Final

from ..fleet import Item
from ._sample import Sample

#: Most samples of a job at a time: the items of the largest step.
_MAX_SAMPLES: Final = 8192


class SampleWindow:
    """Holds the samples without a result, by item id, in the order of the job."""

    def __init__(self, items: Iterable[Item], max_samples: int = _MAX_SAMPLES) -> None:
        self._max_samples = max_samples
        # Items that become samples once others have results.
        self._later = deque(items)
        self._later_by_group = Counter(item.group for item in self._later)
        # Samples without a result, by item id.
        self.samples: dict[str, Sample] = {}
        self._fill()

    def _fill(self) -> None:
        while self._later and len(self.samples) < self._max_samples:
            item = self._later.popleft()
            self._later_by_group[item.group] -= 1
            self.samples[item.id] = Sample(item)

    def pop(self, item_id: str) -> Sample | None:
        """Remove a sample that has a result now; None if it had one already."""
        sample = self.samples.pop(item_id, None)
        self._fill()
        return sample

    def drop_later(self, item_ids: set[str]) -> None:
        """Forget items whose results are known, before they become samples."""
        if not self._later:
            return
        self._later = deque(item for item in self._later if item.id not in item_ids)
        self._later_by_group = Counter(item.group for item in self._later)

    def open_by_group(self) -> Counter[str]:
        """Return the number of items without a result in each group that has any."""
        counts = Counter(sample.item.group for sample in self.samples.values())
        if self._later:
            counts += self._later_by_group
        return counts
