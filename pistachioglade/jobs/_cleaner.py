"""Removes jobs whose results are past their retention."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ..decisions import has_retention_expired
from ..errors import ErrorKind
from ..logs import logger
from ..store import StoreClient
from ._ledger import JobLedger, JobState
from ._records import JOB_KIND, RESULT_KIND, RecordKind, RecordName, part_name

#: Time between two passes; removals are not urgent.
_CLEANING_INTERVAL_S: Final = 5.0


class JobCleaner:
    """Removes the stored objects of expired jobs that this entry is responsible for."""

    def __init__(
        self,
        ledger: JobLedger,
        store: StoreClient,
        retention_s: float,
        is_responsible: Callable[[JobState], bool],
        interval_s: float = _CLEANING_INTERVAL_S,
    ) -> None:
        self._ledger = ledger
        self._store = store
        # Time after submission for which results are promised, in seconds.
        self.retention_s = retention_s
        self._is_responsible = is_responsible
        self._interval_s = interval_s
        self._log = logger(__name__)

    async def run(self) -> None:
        """Remove expired jobs periodically, until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            for state in tuple(self._ledger.jobs.values()):
                if self._is_expired(state) and self._is_responsible(state):
                    await self._remove(state)

    def _is_expired(self, state: JobState) -> bool:
        # The age counts from when this process first saw the job: a stepped wall clock
        # must not cause a removal. Without a submission, the objects are what an
        # interrupted removal has left, or the submission is still to come.
        is_known = state.submission is not None
        since_s = state.first_seen_s if is_known else state.created_s
        age_s = asyncio.get_running_loop().time() - since_s
        return has_retention_expired(age_s, self.retention_s, state.is_ended)

    async def _remove(self, state: JobState) -> None:
        """Remove a job's results first, its submission then, and its end last.

        A removal that a stop interrupts can be completed later, since the submission or
        the end still names the job. A submission without its end would be an open job,
        which its owner would run again.
        """
        number = 0
        while await self._delete(RESULT_KIND, state.id, RecordKind.BATCH, number):
            number += 1
        digest = "" if state.submission is None else state.submission.digest
        part = 0
        while digest and await self._delete_object(
            RESULT_KIND, part_name(state.id, digest, part)
        ):
            part += 1
        for kind in (RecordKind.OWNER, RecordKind.SUBMISSION, RecordKind.END):
            await self._delete(JOB_KIND, state.id, kind)
        self._log.info("job-removed", job=state.id, batches=number)

    async def _delete(
        self, store_kind: str, job_id: str, kind: RecordKind, number: int = 0
    ) -> bool:
        """Delete one object of a job; return whether it existed."""
        name = str(RecordName(job_id, kind, number))
        return await self._delete_object(store_kind, name)

    async def _delete_object(self, store_kind: str, name: str) -> bool:
        while True:
            refusal = await self._store.delete(store_kind, name)
            if refusal is None:
                return True
            if refusal.kind is ErrorKind.NOT_FOUND:
                return False
            await asyncio.sleep(self._interval_s)
