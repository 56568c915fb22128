"""Texts that ended jobs left unfinished, for later jobs with the same items."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

from ..messages import SampleTexts, TextRecord

#: Number of texts that are kept, the newest ones. A trainer resubmits at most half of
#: a step's groups: about thirty samples of ten kilobytes.
_MAX_TEXTS: Final = 400


class CarriedTexts:
    """Holds the newest unfinished texts of ended jobs, by item id."""

    def __init__(self, max_texts: int = _MAX_TEXTS) -> None:
        self._max_texts = max_texts
        self._texts: dict[str, TextRecord] = {}

    def add_texts(self, texts: SampleTexts) -> None:
        """Keep the texts of an ended job without their scores.

        A later job scores its items itself.
        """
        unscored = (attrs.evolve(record, score=None) for record in texts.texts)
        self._texts |= {record.item_id: record for record in unscored}
        while len(self._texts) > self._max_texts:
            del self._texts[next(iter(self._texts))]

    def pop_texts(self, item_ids: Iterable[str]) -> SampleTexts:
        """Remove and return the texts that are kept for items."""
        found = (self._texts.pop(item_id, None) for item_id in item_ids)
        return SampleTexts(tuple(record for record in found if record is not None))
