"""Saves the texts of unlisted samples to the store, so that a death costs little.

All jobs of a node stand in one object, since each call to the store is paid for. Losing
any state of it costs only time.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable, Mapping
from itertools import chain
from typing import Any, Final

from ..decisions import (
    LEAST_SAVED_EVENTS,
    fitting_count,
    save_interval_s,
    should_save,
)
from ..errors import Refusal
from ..logs import logger
from ..messages import SampleTexts, TextRecord, structure, unstructure
from ..platform import Entry
from ..store import StoreClient
from ._records import TEXT_KIND

#: Time within which the first save of a node is settled.
_CREATE_WITHIN_S: Final = 1.0
#: Pause before the next look, while jobs begin and may still read the last save: they
#: take tenths of a second, and texts that are due must not wait for a whole turn more.
_BEGINNING_PAUSE_S: Final = 0.05


def text_bytes(record: TextRecord) -> int:
    """Return what a text takes inside an object.

    Encoded, since by its length alone it may take six times that, and what is set
    aside for the worst case is missing for other texts.
    """
    return len(json.dumps(record.parts))


def worth_saving(
    made: Mapping[str, SampleTexts], max_bytes: int
) -> dict[str, SampleTexts]:
    """Return each job's longest texts, as many as one object holds."""
    longest = sorted(_candidates(made), key=lambda pair: -len(pair[1].parts))
    sizes = (text_bytes(record) for _, record in longest)
    kept = longest[: fitting_count(sizes, max_bytes)]
    return {
        job_id: SampleTexts(tuple(item for owner, item in kept if owner == job_id))
        for job_id in dict.fromkeys(job_id for job_id, _ in kept)
    }


def _candidates(made: Mapping[str, SampleTexts]) -> list[tuple[str, TextRecord]]:
    """Return the texts that are long enough to be saved, with their jobs."""
    return [
        (job_id, record)
        for job_id, texts in made.items()
        for record in texts.texts
        if len(record.parts) >= LEAST_SAVED_EVENTS
    ]


def longest_texts(made: Iterable[SampleTexts]) -> SampleTexts:
    """Return one text for each sample: the scored one, or else the longest."""
    best: dict[str, TextRecord] = {}
    for record in chain.from_iterable(texts.texts for texts in made):
        known = best.get(record.item_id)
        if known is None or _progress(known) < _progress(record):
            best[record.item_id] = record
    return SampleTexts(tuple(best.values()))


def _progress(record: TextRecord) -> tuple[bool, int]:
    return record.score is not None, record.last_event


class TextSaver:
    """Keeps one node's object of texts."""

    def __init__(
        self,
        store: StoreClient,
        node: str,
        texts: Callable[[], Mapping[str, SampleTexts] | None],
    ) -> None:
        self._store = store
        self._node = node
        # Texts by job; None while jobs that begin may still read the last save.
        self._texts = texts
        self._log = logger(__name__)
        self._is_created = False
        # Events of each saved text, by job and item.
        self._saved_events: dict[tuple[str, str], int] = {}
        self._saved_bytes = 0

    async def run(self) -> None:
        """Save now and then, for good."""
        while True:
            await asyncio.sleep(save_interval_s(self._saved_bytes))
            while (made := self._texts()) is None:
                await asyncio.sleep(_BEGINNING_PAUSE_S)
            kept = worth_saving(made, self._store.max_object_bytes)
            await self._save(kept, len(_candidates(made)))

    async def _save(self, made: Mapping[str, SampleTexts], candidates: int) -> None:
        """Save texts, which were chosen from so many that are worth it."""
        records = [record for texts in made.values() for record in texts.texts]
        events = {
            (job_id, record.item_id): len(record.parts)
            for job_id, texts in made.items()
            for record in texts.texts
        }
        if not should_save(self._saved_events, events):
            return
        started_s = asyncio.get_running_loop().time()
        stored = await self._write({job: unstructure(made[job]) for job in made})
        if isinstance(stored, Refusal):
            self._log.warning("texts-unsaved", reason=stored.reason)
            return
        self._saved_events = events
        self._saved_bytes = sum(map(text_bytes, records))
        self._log.info(
            "texts-saved",
            jobs=len(made),
            texts=len(records),
            left_out=candidates - len(records),
            bytes=self._saved_bytes,
            shortest_events=min(events.values(), default=0),
            took_s=round(asyncio.get_running_loop().time() - started_s, 3),
            next_in_s=round(save_interval_s(self._saved_bytes), 3),
        )

    async def _write(self, value: dict[str, Any]) -> Entry | Refusal:
        if not self._is_created:
            made = await self._store.create(TEXT_KIND, self._node, {}, _CREATE_WITHIN_S)
            if isinstance(made, Refusal):
                return made
            self._is_created = True
        return await self._store.replace(TEXT_KIND, self._node, value, None)


async def saved_texts(store: StoreClient, node: str, job_id: str) -> SampleTexts:
    """Return the texts of a job that a node has saved last; nothing if none."""
    stored = await store.read(TEXT_KIND, node)
    if isinstance(stored, Refusal) or not isinstance(stored.value, Mapping):
        return SampleTexts(())
    if job_id not in stored.value:
        return SampleTexts(())
    try:
        return structure(stored.value[job_id], SampleTexts)
    except Exception as error:  # cattrs groups errors of any type
        # Texts only save work: the samples are made anew.
        reason = f"{type(error).__name__} {error!s:.120}"
        logger(__name__).error("texts-unreadable", holder=node, reason=reason)
        return SampleTexts(())
