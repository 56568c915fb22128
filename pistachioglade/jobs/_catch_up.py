"""Reads what an owner has to know of a job before its run begins."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from ..errors import ErrorKind, Refusal
from ..logs import logger
from ..messages import SampleTexts
from ..platform import Entry
from ..store import StoreClient
from ._job_run import JobRun
from ._ledger import JobLedger, JobState, RecordSource
from ._reader import JobReader, node_of
from ._text_saver import longest_texts, read_saved_texts

#: Pause before a failed read of a job that is taken over is repeated.
_READ_RETRY_PAUSE_S: Final = 0.2

#: Reads one object of the job with an id.
_ReadObject = Callable[[str], Awaitable[Entry | Refusal]]


class JobCatchUp:
    """Reads a job's submission, results, texts and end from other nodes and the store.

    Reads from the store are repeated until it answers: a run that began without one of
    them would run stored items again, or an ended job.
    """

    def __init__(
        self, ledger: JobLedger, store: StoreClient, reader: JobReader
    ) -> None:
        self._ledger = ledger
        self._store = store
        self._reader = reader
        self._log = logger(__name__)

    async def read_submission(self, state: JobState) -> bool:
        """Read a submission, or the rest of it; return whether it is complete here."""
        if state.submission is None:
            # Only a change of its owner has named the job here so far.
            await self._apply_stored(state, self._reader.read_job)
        while state.is_open:
            missing = await self._reader.read_submission(state)
            if missing is None:
                return True
            if missing.kind in (ErrorKind.INTERNAL, ErrorKind.NOT_FOUND):
                # Parts are written before the job, so that a missing part never comes.
                self._log.error("job-unreadable", job=state.id, reason=missing.reason)
                return False
            await asyncio.sleep(_READ_RETRY_PAUSE_S)
        return False

    async def read(
        self, state: JobState, run: JobRun, may_lack_results: bool
    ) -> SampleTexts:
        """Read all that other nodes did for a job; return the texts of its samples.

        ``may_lack_results`` tells whether the store may hold results that aren't known
        here. Earlier owners can write no more results afterwards.
        """
        if not may_lack_results:
            if not state.is_newly_accepted:
                await self._apply_stored(state, self._reader.read_end)
            return SampleTexts(())
        while await self._reader.read_stored(state) is not None:
            await asyncio.sleep(_READ_RETRY_PAUSE_S)
        stored = await read_saved_texts(self._store, node_of(state.owner), state.id)
        await run.fence_earlier_writers()
        # The earlier owner is asked last, since its samples run until then.
        handed_over, crashes, _ = await asyncio.gather(
            self._read_texts_of_earlier_owner(state),
            self._reader.fetch_crashes(state),
            # The end may have been announced to an earlier owner only, and watches may
            # be seconds old.
            self._apply_stored(state, self._reader.read_end),
        )
        run.adopt_crashes(crashes)
        return longest_texts([stored, handed_over])

    async def _apply_stored(self, state: JobState, read: _ReadObject) -> None:
        """Read an object of a job and apply it; try until the store answers."""
        while not state.is_ended:
            stored = await read(state.id)
            if isinstance(stored, Entry):
                self._ledger.apply_entry(stored, False, RecordSource.READ)
                return
            if stored.kind is ErrorKind.NOT_FOUND:
                return
            await asyncio.sleep(_READ_RETRY_PAUSE_S)

    async def read_owner(self, state: JobState) -> None:
        """Read a job's owner, after another node has written results of the job."""
        await self._apply_stored(state, self._reader.read_owner)

    async def _read_texts_of_earlier_owner(self, state: JobState) -> SampleTexts:
        """Return the texts that the earlier owner generated.

        A restarted node may have run the job itself after the earlier owner, so that
        its own saved texts can be newer. The caller chooses between two texts of a
        sample.
        """
        if not state.earlier_owner:
            return SampleTexts(())
        if state.is_earlier_alive:
            answer = await self._reader.fetch_texts(state.earlier_owner, state.id)
            if answer.texts:
                return answer
        return await read_saved_texts(
            self._store, node_of(state.earlier_owner), state.id
        )
