"""Reads submissions, results and texts of jobs from their owners or the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from io import BytesIO
from typing import Any, Final

from ..errors import ErrorKind, Refusal, refuse
from ..links import LinkPool
from ..logs import logger
from ..messages import (
    FetchResults,
    FetchSampleCrashes,
    FetchSent,
    FetchTexts,
    ResultPage,
    SampleCrashes,
    SampleTexts,
    SentFields,
)
from ..platform import Entry
from ..store import StoreClient
from ._content import JobContent, decode_content, digest_of, reserving
from ._ledger import JobLedger, JobState
from ._records import (
    JOB_KIND,
    RESULT_KIND,
    RecordKind,
    RecordName,
    decode_batch,
    part_name,
)

#: Time limit of one request to another entry, beyond the time for which that entry may
#: hold the answer: entries are a few ms apart, and a loaded entry answers within a few
#: hundred ms.
_REQUEST_TIMEOUT_S: Final = 0.4
#: Memory that there must be room for before a submission is read from elsewhere, at
#: most, in bytes: its text, which isn't charged.
_UNREAD_BYTES: Final = 32 * 1024 * 1024


def node_of(owner: str) -> str:
    """Return the node in an owner's name."""
    return owner.partition("@")[0]


def address_of(owner: str) -> str:
    """Return the address in an owner's name."""
    return owner.partition("@")[2]


class JobReader:
    """Reads what other nodes or the store know of jobs and adds it to the ledger."""

    def __init__(
        self,
        own_name: str,
        ledger: JobLedger,
        store: StoreClient,
        links: LinkPool,
        is_running: Callable[[str], bool],
    ) -> None:
        # Returns whether a job runs here, so that all its results are known.
        self._is_running = is_running
        self._own_name = own_name
        self._ledger = ledger
        self._store = store
        self._links = links
        self._log = logger(__name__)

    async def page(
        self, state: JobState, after: int, hold_s: float
    ) -> tuple[str, ...] | Refusal:
        """Return results from a position on; wait up to ``hold_s`` for the first.

        The owner is asked first, also after the job's end: the owner keeps the results
        that it wrote, and each read of a batch from the store is charged. Returns a
        refusal if neither the owner nor the store could answer.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + hold_s
        while True:
            remaining_s = max(0.0, deadline_s - loop.time())
            is_here = self._is_running(state.id)
            if is_here:
                await state.wait_for_more(after, remaining_s)
            is_known = len(state.results) > after or len(state.results) == state.total
            if is_known or is_here:
                return state.page(after)
            owner = state.owner
            if owner != self._own_name:
                answer = await self._fetch_results(state, after, remaining_s)
                if answer is not None:
                    return answer
                if owner != state.owner and loop.time() < deadline_s:
                    continue
            refusal = await self.read_stored(state)
            results = state.page(after)
            return results if results or refusal is None else refusal

    async def _fetch_results(
        self, state: JobState, after: int, hold_s: float
    ) -> tuple[str, ...] | None:
        """Return the owner's results; None if it has no sure answer or was replaced.

        The request ends when the job passes to another owner. A reader that kept
        waiting for a dead owner, up to 1.4 s and then once more, would get the results
        of the new owner that much later.
        """
        message = FetchResults(state.id, after, hold_s)
        call = asyncio.create_task(
            self._call_owner(state.owner, message, hold_s + _REQUEST_TIMEOUT_S)
        )
        change = state.owner_change_future()
        try:
            await asyncio.wait((call, change), return_when=asyncio.FIRST_COMPLETED)
            answer = call.result() if call.done() else None
        finally:
            change.cancel()
            call.cancel()
        if not isinstance(answer, ResultPage):
            return None
        return answer.results if answer.results or answer.is_sure else None

    async def _call_owner(self, owner: str, message: Any, timeout_s: float) -> Any:
        address = address_of(owner)
        if not address:
            return refuse(ErrorKind.LINK_NOT_OPEN, f"{owner}: no address")
        answer = await self._links.call(address, message, timeout_s)
        if isinstance(answer, Refusal):
            self._log.info(
                "owner-not-reached",
                owner=owner,
                question=type(message).__name__,
                reason=answer.reason,
            )
        return answer

    async def read_stored(self, state: JobState) -> Refusal | None:
        """Read all batches that the store has after the known ones."""
        while len(state.results) < state.total:
            number = state.next_batch_number
            name = str(RecordName(state.id, RecordKind.BATCH, number))
            stored = await self._store.read(RESULT_KIND, name)
            if isinstance(stored, Refusal):
                return None if stored.kind is ErrorKind.NOT_FOUND else stored
            batch = decode_batch(stored.value)
            if isinstance(batch, Refusal):
                # The batch may hold results that a reader has seen, so that no other
                # results may take its positions.
                self._log.error("results-unreadable", batch=name, reason=batch.reason)
                return batch
            self._ledger.add_batch(state, number, batch)
        return None

    async def read_submission(self, state: JobState) -> Refusal | None:
        """Read a submission that is incomplete here, and keep it while it is open.

        Returns a refusal if it couldn't be read, or if there is no room for it.
        """
        content = await self.read_content(state)
        return content if isinstance(content, Refusal) else None

    async def read_content(self, state: JobState) -> JobContent | Refusal:
        """Return the content of a job: from here, its owner or the store."""
        submission = state.submission
        assert submission is not None
        if state.content is not None:
            return state.content
        most_bytes = submission.part_count * self._store.max_object_bytes
        if not self._ledger.find_room(min(most_bytes, _UNREAD_BYTES)):
            return refuse(ErrorKind.OVERLOADED, f"{state.id}: no room for the job")
        text = await self._fetch_text(state) or await self._read_parts(state)
        if isinstance(text, Refusal):
            return text
        with self._ledger.charging() as charge:
            content = await decode_content(
                state.id,
                submission.host,
                submission.path,
                text,
                reserving(charge, self._ledger.find_room),
            )
            if isinstance(content, JobContent):
                self._ledger.hold(state, content, charge)
            return content

    async def _read_parts(self, state: JobState) -> bytes | Refusal:
        """Return the text of a submission, joined from its parts in the store."""
        submission = state.submission
        assert submission is not None
        text = BytesIO()
        # Parts are read one after the other: together they would fill a slow link for
        # longer than a call to the store may take.
        for number in range(submission.part_count):
            name = part_name(state.id, submission.digest, number)
            stored = await self._store.read(RESULT_KIND, name)
            if isinstance(stored, Refusal):
                return stored
            part = stored.value.get("text") if isinstance(stored.value, dict) else None
            if not isinstance(part, str):
                return self._unreadable(state, f"{name} has no text")
            text.write(part.encode(errors="replace"))
        if digest_of(text.getbuffer()) != submission.digest:
            return self._unreadable(state, "its parts have another digest")
        return text.getvalue()

    def _unreadable(self, state: JobState, reason: str) -> Refusal:
        self._log.error("job-parts-unreadable", job=state.id, reason=reason)
        return refuse(ErrorKind.INTERNAL, f"{state.id}: {reason}")

    async def _fetch_text(self, state: JobState) -> bytes | None:
        """Read a submission from a live node that has run the job.

        Each read from the store is charged, and submissions are also needed during
        outages of the store. Returns None if the node has none.
        """
        earlier = state.earlier_owner if state.is_earlier_alive else ""
        holder = earlier if state.owner == self._own_name else state.owner
        if not holder:
            return None
        answer = await self._call_owner(holder, FetchSent(state.id), _REQUEST_TIMEOUT_S)
        if not isinstance(answer, SentFields) or not answer.text:
            return None
        assert state.submission is not None
        text = answer.text.encode(errors="replace")
        if digest_of(text) != state.submission.digest:
            self._log.warning("submission-mismatched", job=state.id)
            return None
        return text

    async def are_results_complete(self, state: JobState) -> bool:
        """Return whether all results of a job are written, according to its owner."""
        if len(state.results) == state.total:
            return True
        if state.owner == self._own_name:
            return False
        message = FetchResults(state.id, state.total - 1, 0.0)
        answer = await self._call_owner(state.owner, message, _REQUEST_TIMEOUT_S)
        return isinstance(answer, ResultPage) and bool(answer.results)

    async def fetch_texts(self, owner: str, job_id: str) -> SampleTexts:
        """Return an earlier owner's texts of a job; none if the owner is gone."""
        if owner in ("", self._own_name):
            return SampleTexts(())
        answer = await self._call_owner(owner, FetchTexts(job_id), _REQUEST_TIMEOUT_S)
        return answer if isinstance(answer, SampleTexts) else SampleTexts(())

    async def fetch_crashes(self, state: JobState) -> Mapping[str, int]:
        """Return the crashes of a job's samples by item id, as of the earlier owner.

        Returns none if the earlier owner is gone or is of a build that can't tell.
        """
        owner = state.earlier_owner
        if not state.is_earlier_alive or owner in ("", self._own_name):
            return {}
        message = FetchSampleCrashes(state.id)
        answer = await self._call_owner(owner, message, _REQUEST_TIMEOUT_S)
        return answer.by_item if isinstance(answer, SampleCrashes) else {}

    async def read_job(self, job_id: str) -> Entry | Refusal:
        """Read the object of a job's submission."""
        return await self._store.read(JOB_KIND, job_id)

    async def read_end(self, job_id: str) -> Entry | Refusal:
        """Read the object that records a job's end; NOT_FOUND while the job is open."""
        return await self._store.read(JOB_KIND, str(RecordName(job_id, RecordKind.END)))

    async def read_owner(self, job_id: str) -> Entry | Refusal:
        """Read the object that names a job's changed owner."""
        return await self._store.read(
            JOB_KIND, str(RecordName(job_id, RecordKind.OWNER))
        )
