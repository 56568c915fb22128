"""Saves texts of unfinished samples to the store, for a restart or a takeover.

The texts of all jobs of a node are in one object, since each call to the store is
charged. Losing any state of the object costs only time.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable, Mapping
from itertools import chain
from typing import Any, Final

from ..decisions import (
    MIN_CHECKPOINT_EVENTS,
    checkpoint_interval_s,
    count_fitting,
    should_checkpoint,
)
from ..errors import Refusal
from ..logs import logger
from ..messages import SampleTexts, TextRecord, structure, unstructure
from ..platform import Entry
from ..store import StoreClient
from ._records import TEXT_KIND

#: Time limit for the creation of a node's object.
_CREATE_LIMIT_S: Final = 1.0
#: Time between checks whether a save can go on, while jobs start and may still read the
#: last save: starts take tenths of a second, and texts that are due must not wait for
#: another save interval.
_START_POLL_S: Final = 0.05


def text_bytes(record: TextRecord) -> int:
    """Return the bytes that a text takes inside an object.

    The text is encoded for this: a character may take six bytes, and a reserve for that
    worst case would leave less room for other texts.
    """
    return len(json.dumps(record.parts))


def choose_texts(
    texts_by_job: Mapping[str, SampleTexts], max_bytes: int
) -> dict[str, SampleTexts]:
    """Return the longest texts of all jobs, as many as one object holds, by job."""
    longest = sorted(_candidates(texts_by_job), key=lambda pair: -len(pair[1].parts))
    sizes = (text_bytes(record) for _, record in longest)
    kept = longest[: count_fitting(sizes, max_bytes)]
    return {
        job_id: SampleTexts(tuple(item for owner, item in kept if owner == job_id))
        for job_id in dict.fromkeys(job_id for job_id, _ in kept)
    }


def _candidates(
    texts_by_job: Mapping[str, SampleTexts],
) -> list[tuple[str, TextRecord]]:
    """Return the texts that are long enough to be saved, with their job ids."""
    return [
        (job_id, record)
        for job_id, texts in texts_by_job.items()
        for record in texts.texts
        if len(record.parts) >= MIN_CHECKPOINT_EVENTS
    ]


def longest_texts(sources: Iterable[SampleTexts]) -> SampleTexts:
    """Return one text for each sample: a scored text, or else the longest."""
    best: dict[str, TextRecord] = {}
    for record in chain.from_iterable(texts.texts for texts in sources):
        known = best.get(record.item_id)
        if known is None or _progress_of(known) < _progress_of(record):
            best[record.item_id] = record
    return SampleTexts(tuple(best.values()))


def _progress_of(record: TextRecord) -> tuple[bool, int]:
    return record.score is not None, record.last_event


class TextSaver:
    """Writes one node's object of texts."""

    def __init__(
        self,
        store: StoreClient,
        node: str,
        texts: Callable[[], Mapping[str, SampleTexts] | None],
    ) -> None:
        self._store = store
        self._node = node
        # Returns the texts by job id; None while starting jobs may read the last save.
        self._texts = texts
        self._log = logger(__name__)
        self._is_created = False
        # Number of events of each saved text, by job id and item id.
        self._saved_events: dict[tuple[str, str], int] = {}
        self._saved_bytes = 0

    async def run(self) -> None:
        """Save texts periodically, until cancelled."""
        while True:
            await asyncio.sleep(checkpoint_interval_s(self._saved_bytes))
            while (texts_by_job := self._texts()) is None:
                await asyncio.sleep(_START_POLL_S)
            kept = choose_texts(texts_by_job, self._store.max_object_bytes)
            await self._save(kept, len(_candidates(texts_by_job)))

    async def _save(
        self, texts_by_job: Mapping[str, SampleTexts], candidates: int
    ) -> None:
        """Save texts that were chosen from a number of candidates, if they changed."""
        records = [record for texts in texts_by_job.values() for record in texts.texts]
        events = {
            (job_id, record.item_id): len(record.parts)
            for job_id, texts in texts_by_job.items()
            for record in texts.texts
        }
        if not should_checkpoint(self._saved_events, events):
            return
        started_s = asyncio.get_running_loop().time()
        stored = await self._write(
            {job: unstructure(texts_by_job[job]) for job in texts_by_job}
        )
        if isinstance(stored, Refusal):
            self._log.warning("text-save-failed", reason=stored.reason)
            return
        self._saved_events = events
        self._saved_bytes = sum(map(text_bytes, records))
        self._log.info(
            "texts-saved",
            jobs=len(texts_by_job),
            texts=len(records),
            left_out=candidates - len(records),
            bytes=self._saved_bytes,
            shortest_events=min(events.values(), default=0),
            took_s=round(asyncio.get_running_loop().time() - started_s, 3),
            next_in_s=round(checkpoint_interval_s(self._saved_bytes), 3),
        )

    async def _write(self, value: dict[str, Any]) -> Entry | Refusal:
        if not self._is_created:
            created = await self._store.create(
                TEXT_KIND, self._node, {}, _CREATE_LIMIT_S
            )
            if isinstance(created, Refusal):
                return created
            self._is_created = True
        return await self._store.replace(TEXT_KIND, self._node, value, None)


async def read_saved_texts(store: StoreClient, node: str, job_id: str) -> SampleTexts:
    """Read the texts of a job that a node saved last; none if unreadable."""
    stored = await store.read(TEXT_KIND, node)
    if isinstance(stored, Refusal) or not isinstance(stored.value, Mapping):
        return SampleTexts(())
    if job_id not in stored.value:
        return SampleTexts(())
    try:
        return structure(stored.value[job_id], SampleTexts)
    except Exception as error:  # cattrs groups errors of any type
        # Saved texts only save work: without them, samples are generated again.
        reason = f"{type(error).__name__} {error!s:.120}"
        logger(__name__).error("texts-unreadable", holder=node, reason=reason)
        return SampleTexts(())
