"""Results that are finished while the store gives no answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from ...decisions import FULL_POLICY
from ...errors import Refusal
from ...fleet import Job, Result
from ...metrics import Metrics
from ...platform import Entry
from ...store.tests.served import ServedStore, eventually, run, served_store
from .. import RESULT_KIND, JobLedger, Submission, encode_submission
from .._records import decode_batch
from .._result_writer import ResultWriter

_ITEMS = ("a", "b", "c")


def _run_case(case: Callable[[ServedStore, ResultWriter], Awaitable[None]]) -> None:
    async def work() -> None:
        async with served_store() as store:
            client = store.client()
            ledger = JobLedger()
            items = [{"id": name, "path": "/"} for name in _ITEMS]
            submission = Submission("me@h:1", "b", "h", "/", 0.0, {"items": items})
            entry = Entry("job", 1, encode_submission(submission), None)
            ledger.apply_entry(entry, False)
            state = ledger.jobs["job"]
            assert isinstance(state.job, Job)
            open_items = set(_ITEMS)
            writer = ResultWriter(
                state,
                state.job,
                ledger,
                client,
                "me@h:1:b",
                asyncio.get_running_loop().time(),
                lambda: open_items,
                lambda: float("inf"),
                lambda: pytest.fail("its own batch was taken for another's"),
                Metrics(),
                FULL_POLICY,
            )
            writing = asyncio.create_task(writer.run())
            await case(store, writer)
            writing.cancel()

    run(work)


async def _batches(store: ServedStore) -> list[tuple[str, ...]]:
    """Return the items of each batch that the store has, in order."""
    found: list[tuple[str, ...]] = []
    while True:
        name = f"job.r{len(found):06d}"
        stored = await store.client().read(RESULT_KIND, name)
        if isinstance(stored, Refusal):
            return found
        batch = decode_batch(stored.value)
        assert not isinstance(batch, Refusal)
        found.append(batch.item_ids)


async def _finish_three(store: ServedStore, writer: ResultWriter) -> None:
    """Queue one result before the first try and two while that try has no answer."""
    calls = len(store.calls)
    writer.add(Result("a", False), "")
    await eventually(lambda: len(store.calls) > calls)
    writer.add(Result("b", False), "")
    writer.add(Result("c", False), "")


def test_results_finished_in_an_outage_are_written_in_one_batch() -> None:
    """A trainer reads the second of two batches 0.7 s later than the first."""

    async def case(store: ServedStore, writer: ResultWriter) -> None:
        store.standin.faults.down = True
        await _finish_three(store, writer)
        await asyncio.sleep(0.3)
        store.standin.faults.down = False
        await eventually(lambda: not writer._unwritten)
        assert await _batches(store) == [("a", "b", "c")]

    _run_case(case)


def test_a_batch_whose_answer_was_lost_is_kept() -> None:
    """Each item has one position, whichever of the tries the store accepted."""

    async def case(store: ServedStore, writer: ResultWriter) -> None:
        store.dropped_answers = 1
        await _finish_three(store, writer)
        await eventually(lambda: not writer._unwritten)
        stored_ids = [item for batch in await _batches(store) for item in batch]
        assert sorted(stored_ids) == ["a", "b", "c"]
        assert (await _batches(store))[0] == ("a",)

    _run_case(case)
