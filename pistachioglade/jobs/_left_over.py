"""Texts of samples whose job has ended, for the job in which they come again."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

from ..messages import SampleTexts, TextRecord

#: Texts that are kept, the newest; a trainer carries half of a step's groups at most,
#: some thirty samples of ten kilobytes.
_KEPT_TEXTS: Final = 400


class LeftOverTexts:
    """The newest unfinished texts, by item."""

    def __init__(self, kept: int = _KEPT_TEXTS) -> None:
        self._kept = kept
        self._texts: dict[str, TextRecord] = {}

    def keep(self, made: SampleTexts) -> None:
        """Keep the texts of an ended job; each is scored anew where it comes again."""
        unscored = (attrs.evolve(record, score=None) for record in made.texts)
        self._texts |= {record.item_id: record for record in unscored}
        while len(self._texts) > self._kept:
            del self._texts[next(iter(self._texts))]

    def take(self, item_ids: Iterable[str]) -> SampleTexts:
        """Return the texts that are kept for items, and keep them no longer."""
        found = (self._texts.pop(item_id, None) for item_id in item_ids)
        return SampleTexts(tuple(record for record in found if record is not None))
