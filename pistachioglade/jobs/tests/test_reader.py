"""Results read while the owner of a job changes."""

from __future__ import annotations

import json
from collections.abc import Callable

from ...errors import Refusal
from ...links import Identity, LinkPool
from ...messages import BatchRecord
from ...platform import Entry
from ...store import StoreClient
from ...store.tests.served import run, served_store
from .. import (
    RESULT_KIND,
    JobLedger,
    JobReader,
    Submission,
    encode_batch,
    encode_submission,
)


async def _ledger(client: StoreClient, owner: str) -> JobLedger:
    """Return a ledger that knows the job and none of its stored results."""
    items = [{"id": f"i{number}", "path": "/"} for number in range(4)]
    submission = Submission(owner, "b", "h", "/", 0.0, {"items": items})
    ledger = JobLedger()
    ledger.take(Entry("job", 1, encode_submission(submission), None), False)
    batch = BatchRecord("w", 0, (json.dumps("r0"), json.dumps("r1")), ("i0", "i1"))
    await client.create(RESULT_KIND, "job.r000000", encode_batch(batch), 5.0)
    return ledger


def _read(owner: str, is_running: Callable[[str], bool]) -> tuple[str, ...] | Refusal:
    async def work() -> tuple[str, ...] | Refusal:
        async with served_store() as store:
            client = store.client()
            ledger = await _ledger(client, owner)
            links = LinkPool(Identity("me", ""))
            reader = JobReader("me@h:1", ledger, client, links, is_running)
            return await reader.page(ledger.jobs["job"], 1, 0.01)

    return run(work)


def test_an_owner_that_has_not_begun_reads_the_store() -> None:
    """Grown vjn-rollout scale-2: LOST at an entry that a job was handed to."""
    assert _read("me@h:1", lambda _job: False) == ('"r1"',)


def test_an_owner_that_runs_the_job_knows_its_results() -> None:
    assert _read("me@h:1", lambda _job: True) == ()


def test_results_of_an_owner_that_is_gone_come_from_the_store() -> None:
    assert _read("other@127.0.0.1:9", lambda _job: False) == ('"r1"',)
