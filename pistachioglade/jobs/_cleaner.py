"""Removes jobs whose results nobody may expect any more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ..decisions import may_forget
from ..errors import ErrorKind
from ..logs import logger
from ..store import StoreClient
from ._ledger import JobLedger, JobState
from ._records import JOB_KIND, RESULT_KIND, RecordKind, RecordName, part_name

#: Pause between two looks; removals are not urgent.
_LOOK_S: Final = 5.0


class JobCleaner:
    """Removes the objects of old jobs that this entry answers for."""

    def __init__(
        self,
        ledger: JobLedger,
        store: StoreClient,
        retention_s: float,
        is_mine: Callable[[JobState], bool],
        look_s: float = _LOOK_S,
    ) -> None:
        self._ledger = ledger
        self._store = store
        # Time for which results are promised after a job's submission.
        self.retention_s = retention_s
        self._is_mine = is_mine
        self._look_s = look_s
        self._log = logger(__name__)

    async def run(self) -> None:
        """Look again and again, for good."""
        while True:
            await asyncio.sleep(self._look_s)
            for state in tuple(self._ledger.jobs.values()):
                if self._is_old(state) and self._is_mine(state):
                    await self._remove(state)

    def _is_old(self, state: JobState) -> bool:
        if state.submission is None:
            return False
        # Counted from when this process saw it: a clock that steps must lose nothing.
        age_s = asyncio.get_running_loop().time() - state.first_seen_s
        return may_forget(age_s, self.retention_s, state.is_ended)

    async def _remove(self, state: JobState) -> None:
        """Remove results first and the submission last, so that a stop loses none."""
        number = 0
        while await self._delete(RESULT_KIND, state.id, RecordKind.BATCH, number):
            number += 1
        submission = state.submission
        assert submission is not None
        part = 0
        while submission.digest and await self._delete_named(
            RESULT_KIND, part_name(state.id, submission.digest, part)
        ):
            part += 1
        for kind in (RecordKind.END, RecordKind.OWNER, RecordKind.SUBMISSION):
            await self._delete(JOB_KIND, state.id, kind)
        self._log.info("job-forgotten", job=state.id, batches=number)

    async def _delete(
        self, store_kind: str, job_id: str, kind: RecordKind, number: int = 0
    ) -> bool:
        """Remove one object; return whether there was one."""
        name = str(RecordName(job_id, kind, number))
        return await self._delete_named(store_kind, name)

    async def _delete_named(self, store_kind: str, name: str) -> bool:
        while True:
            refusal = await self._store.delete(store_kind, name)
            if refusal is None:
                return True
            if refusal.kind is ErrorKind.NOT_FOUND:
                return False
            await asyncio.sleep(self._look_s)
