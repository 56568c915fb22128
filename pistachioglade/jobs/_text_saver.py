"""Saves the texts of unfinished samples to the store, so that a death costs little."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..decisions import (
    LEAST_SAVED_EVENTS,
    fitting_count,
    save_interval_s,
    should_save,
)
from ..logs import logger
from ..messages import SampleTexts, TextRecord, unstructure
from ..platform import Entry
from ..store import StoreClient
from ._records import RESULT_KIND, RecordKind, RecordName, stored_bytes


def text_bytes(record: TextRecord) -> int:
    """Return the most that a text takes inside an object."""
    return sum(map(stored_bytes, record.parts))


def worth_saving(made: SampleTexts, max_bytes: int) -> tuple[TextRecord, ...]:
    """Return the longest texts that one object holds; short ones are made again."""
    longest = sorted(
        (item for item in made.texts if len(item.parts) >= LEAST_SAVED_EVENTS),
        key=lambda item: -len(item.parts),
    )
    return tuple(longest[: fitting_count(map(text_bytes, longest), max_bytes)])


async def save_texts(
    store: StoreClient, job_id: str, texts: Callable[[], SampleTexts]
) -> None:
    """Save a job's texts now and then, for good."""
    log = logger(__name__)
    name = str(RecordName(job_id, RecordKind.TEXTS))
    is_created = False
    saved_events = 0
    saved_bytes = 0
    while True:
        await asyncio.sleep(save_interval_s(saved_bytes))
        made = worth_saving(texts(), store.max_object_bytes)
        events = sum(len(item.parts) for item in made)
        if not should_save(abs(events - saved_events)):
            continue
        value = unstructure(SampleTexts(made))
        stored = (
            await store.replace(RESULT_KIND, name, value, None)
            if is_created
            else await store.create(RESULT_KIND, name, value, 1.0)
        )
        if isinstance(stored, Entry):
            is_created = True
            saved_events = events
            saved_bytes = sum(map(text_bytes, made))
        else:
            log.warning("texts-unsaved", job=job_id, reason=stored.reason)
