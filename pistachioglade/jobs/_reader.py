"""Results of jobs that run elsewhere: from the node that runs them, or the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from ..errors import ErrorKind, Refusal, refuse
from ..links import LinkPool
from ..logs import logger
from ..messages import (
    FetchResults,
    FetchSent,
    FetchTexts,
    ResultPage,
    SampleTexts,
    SentFields,
)
from ..platform import Entry
from ..store import StoreClient
from ._ledger import JobLedger, JobState
from ._records import (
    JOB_KIND,
    RESULT_KIND,
    RecordKind,
    RecordName,
    decode_batch,
    joined_fields,
    part_name,
)

#: Time for one question to another entry beside the time that it may hold the answer:
#: the entries are a few ms apart, and a loaded one answers within a few hundred.
_ASK_S: Final = 0.4


def node_of(owner: str) -> str:
    """Return the node in an owner's name."""
    return owner.partition("@")[0]


def address_of(owner: str) -> str:
    """Return the address in an owner's name."""
    return owner.partition("@")[2]


class JobReader:
    """Brings a job's results up to date."""

    def __init__(
        self,
        own_name: str,
        ledger: JobLedger,
        store: StoreClient,
        links: LinkPool,
        is_running: Callable[[str], bool],
    ) -> None:
        # Whether a job runs here, so that all its results are known.
        self._is_running = is_running
        self._own_name = own_name
        self._ledger = ledger
        self._store = store
        self._links = links
        self._log = logger(__name__)

    async def page(
        self, state: JobState, after: int, hold_s: float
    ) -> tuple[str, ...] | Refusal:
        """Return results from a position on, held until there is one.

        The owner is asked first, also after the job's end: it remembers what it has
        listed, and each batch that is read from the store is paid for. Returns a
        refusal if neither the owner nor the store could tell.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + hold_s
        while True:
            left_s = max(0.0, until_s - loop.time())
            is_here = self._is_running(state.id)
            if is_here:
                await state.wait_for_more(after, left_s)
            is_known = len(state.results) > after or len(state.results) == state.total
            if is_known or is_here:
                return state.page(after)
            owner = state.owner
            if owner != self._own_name:
                told = await self._ask_owner(state, after, left_s)
                if told is not None:
                    return told
                if owner != state.owner and loop.time() < until_s:
                    continue
            refusal = await self.read_stored(state)
            found = state.page(after)
            return found if found or refusal is None else refusal

    async def _ask_owner(
        self, state: JobState, after: int, hold_s: float
    ) -> tuple[str, ...] | None:
        """Return what the owner knows; None if it can't tell, or is the owner no more.

        A reader that waits for an owner that died, up to 1.4 s and then once more, is
        told what the new owner has listed that much later.
        """
        question = FetchResults(state.id, after, hold_s)
        ask = asyncio.create_task(self._ask(state.owner, question, hold_s + _ASK_S))
        change = state.owner_change()
        try:
            await asyncio.wait((ask, change), return_when=asyncio.FIRST_COMPLETED)
            answer = ask.result() if ask.done() else None
        finally:
            change.cancel()
            ask.cancel()
        if not isinstance(answer, ResultPage):
            return None
        return answer.results if answer.results or answer.is_sure else None

    async def _ask(self, owner: str, question: Any, timeout_s: float) -> Any:
        address = address_of(owner)
        if not address:
            return refuse(ErrorKind.LINK_NOT_OPEN, f"{owner}: no address")
        answer = await self._links.call(address, question, timeout_s)
        if isinstance(answer, Refusal):
            self._log.info(
                "owner-not-reached",
                owner=owner,
                question=type(question).__name__,
                reason=answer.reason,
            )
        return answer

    async def read_stored(self, state: JobState) -> Refusal | None:
        """Read every batch that the store has behind the known ones."""
        while len(state.results) < state.total:
            number = state.next_batch
            name = str(RecordName(state.id, RecordKind.BATCH, number))
            stored = await self._store.read(RESULT_KIND, name)
            if isinstance(stored, Refusal):
                return None if stored.kind is ErrorKind.NOT_FOUND else stored
            batch = decode_batch(stored.value)
            if isinstance(batch, Refusal):
                # It may hold results that a reader has seen: no other may stand there.
                self._log.error("results-unreadable", batch=name, reason=batch.reason)
                return batch
            self._ledger.add_batch(state, number, batch)
        return None

    async def complete(self, state: JobState) -> Refusal | None:
        """Read the parts of a submission that is not whole here."""
        submission = state.submission
        assert submission is not None
        if submission.is_whole or await self._complete_from_node(state):
            return None
        texts: list[Any] = []
        # One after the other: together they would fill a small link for longer than
        # a call to the store may take.
        for number in range(submission.part_count):
            name = part_name(state.id, submission.digest, number)
            stored = await self._store.read(RESULT_KIND, name)
            if isinstance(stored, Refusal):
                return stored
            texts.append(stored.value)
        try:
            fields = joined_fields(submission, [value["text"] for value in texts])
        except (KeyError, TypeError, ValueError) as error:
            self._log.error("job-parts-unreadable", job=state.id, reason=str(error))
            return refuse(ErrorKind.INTERNAL, f"{state.id}: {error}")
        if not state.is_whole:
            state.complete(fields)
        return None

    async def _complete_from_node(self, state: JobState) -> bool:
        """Take a submission from a living node that has run the job.

        The store asks a price for each read, and bodies are asked for in its outages.
        """
        earlier = state.earlier_owner if state.is_earlier_alive else ""
        holder = earlier if state.owner == self._own_name else state.owner
        if not holder:
            return False
        answer = await self._ask(holder, FetchSent(state.id), _ASK_S)
        if not isinstance(answer, SentFields) or not answer.text:
            return False
        assert state.submission is not None
        try:
            fields = joined_fields(state.submission, [answer.text])
        except ValueError as error:
            self._log.warning("submission-unlike", job=state.id, reason=str(error))
            return False
        if not state.is_whole:
            state.complete(fields)
        return True

    async def is_complete(self, state: JobState) -> bool:
        """Whether all results of a job are listed, by its owner's word."""
        if len(state.results) == state.total:
            return True
        if state.owner == self._own_name:
            return False
        question = FetchResults(state.id, state.total - 1, 0.0)
        answer = await self._ask(state.owner, question, _ASK_S)
        return isinstance(answer, ResultPage) and bool(answer.results)

    async def texts(self, owner: str, job_id: str) -> SampleTexts:
        """Return what an earlier owner has made of a job; nothing if it is gone."""
        if owner in ("", self._own_name):
            return SampleTexts(())
        answer = await self._ask(owner, FetchTexts(job_id), _ASK_S)
        return answer if isinstance(answer, SampleTexts) else SampleTexts(())

    async def stored_owner(self, job_id: str) -> Entry | Refusal:
        """Return the object that names a job's owner, if it has changed ever."""
        return await self._store.read(
            JOB_KIND, str(RecordName(job_id, RecordKind.OWNER))
        )
