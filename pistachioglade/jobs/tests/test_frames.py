"""What entries read of jobs that others run, and what they don't."""

from __future__ import annotations

import json
from typing import Any

from ...errors import Refusal
from ...links import Identity, LinkPool
from ...messages import BatchRecord
from ...platform import Entry
from ...store import StoreClient
from ...store.tests.served import ServedStore, run, served_store
from .. import (
    JOB_KIND,
    RESULT_KIND,
    JobLedger,
    JobReader,
    Submission,
    decode_submission,
    encode_batch,
    encode_submission,
    rejoined,
    split_submission,
)

_ITEMS = 64
_OBJECT_BYTES = 1_048_576


def _fields() -> dict[str, Any]:
    """Return a step of 64 items with bodies of 500 bytes."""
    items = [
        {"id": f"i{number}", "path": "/", "body": "cHJv" * 125}
        for number in range(_ITEMS)
    ]
    return {"model": "m", "items": items}


async def _accept(client: StoreClient, job_id: str) -> Submission:
    """Store a job as an entry does that accepts it."""
    sent = Submission("a@h:1", "b", "h", "/", 0.0, _fields(), "m", _ITEMS)
    kept, parts = split_submission(job_id, sent, _OBJECT_BYTES)
    for part in parts:
        await client.create(RESULT_KIND, part.name, {"text": part.text}, 1.0)
    await client.create(JOB_KIND, job_id, encode_submission(kept), 1.0)
    return kept


def test_an_entry_that_starts_reads_little_of_jobs_that_others_run() -> None:
    """Before: 30 jobs were 1.1 MB here and 2 to 3 MB on a grown fleet, for each entry.

    All entries start again at once where power is lost, and the store has one link.
    """

    async def work() -> None:
        async with served_store() as store:
            client = store.client()
            for number in range(30):
                await _accept(client, f"job-{number}")
            page = await client.page(JOB_KIND, "")
            assert not isinstance(page, Refusal)
            assert len(page.entries) == 30
            size = sum(len(json.dumps(entry.value)) for entry in page.entries)
            assert size < 30 * 400
            assert len(json.dumps(_fields())) > 30_000

    run(work)


def _reader(store: ServedStore, client: StoreClient) -> tuple[JobLedger, JobReader]:
    ledger = JobLedger()
    links = LinkPool(Identity("me", ""))
    return ledger, JobReader("me@h:2", ledger, client, links, lambda _job: False)


def test_results_are_read_without_what_was_sent() -> None:
    async def work() -> None:
        async with served_store() as store:
            client = store.client()
            kept = await _accept(client, "job")
            batch = BatchRecord("w", 0, (json.dumps("r0"),), ("i0",))
            await client.create(RESULT_KIND, "job.r000000", encode_batch(batch), 1.0)
            ledger, reader = _reader(store, client)
            ledger.take(Entry("job", 1, encode_submission(kept), None), False)
            state = ledger.jobs["job"]
            assert (state.total, state.model, state.is_open) == (_ITEMS, "m", True)
            assert await reader.page(state, 0, 0.0) == (json.dumps("r0"),)
            assert not state.is_whole
            assert not any(".p" in call for call in store.calls if "GET" in call)

    run(work)


def test_whoever_runs_a_job_reads_what_was_sent() -> None:
    async def work() -> None:
        async with served_store() as store:
            client = store.client()
            kept = await _accept(client, "job")
            ledger, reader = _reader(store, client)
            ledger.take(Entry("job", 1, encode_submission(kept), None), False)
            state = ledger.jobs["job"]
            assert await reader.complete(state) is None
            assert not isinstance(state.job, Refusal)
            assert len(state.job.items) == state.total == _ITEMS
            # The watch brings the frame once more; what was read stays.
            ledger.take(Entry("job", 1, encode_submission(kept), None), False)
            assert state.is_whole

    run(work)


def test_the_entry_that_accepts_a_job_knows_all_of_it() -> None:
    sent = Submission("a@h:1", "b", "h", "/", 0.0, _fields(), "m", _ITEMS)
    kept, _parts = split_submission("job", sent, _OBJECT_BYTES)
    earlier = decode_submission(encode_submission(kept) | {"owner": "c@h:3"})
    assert isinstance(earlier, Submission)
    again = Submission("a@h:1", "b", "h", "/", 0.0, _fields(), digest=kept.digest)
    whole = rejoined(earlier, again)
    assert whole.owner == "c@h:3"
    assert whole.is_whole
    assert whole.fields == sent.fields
    other = Submission("a@h:1", "b", "h", "/", 0.0, {}, digest="another")
    assert not rejoined(earlier, other).is_whole
