"""Trainers' calls on jobs: submit, read, fetch a body, end."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine, Mapping
from typing import Any, Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Job, Route
from ..http1 import Request, Response
from ..jobs import (
    JOB_KIND,
    RESULT_KIND,
    JobLedger,
    JobOwner,
    JobReader,
    JobState,
    RecordKind,
    RecordName,
    Submission,
    decode_submission,
    encode_submission,
    rejoined,
    split_submission,
)
from ..logs import logger
from ..platform import Entry, decode_job, encode_results_page, parse_submission, wait_s
from ..store import StoreClient
from ._members import Members
from ._peers import Peers

#: Time within which a job's acceptance is settled with the store; then the trainer
#: hears that it is open whether it was accepted, and comes again.
_ACCEPT_WITHIN_S: Final = 1.5
#: Time within which the end of a job is settled with the store.
_END_WITHIN_S: Final = 3.0
#: Time for that until it is asked whether the job is complete: longer than an answer of
#: a slow store.
_END_AT_ONCE_S: Final = 0.3
#: When a trainer comes again with a job that could not be stored: another node may
#: take it at once.
_RETRY_S: Final = 0.2

_JSON: Final = (("Content-Type", "application/json"),)


class JobCalls:
    """Answers trainers from the ledger, and the store where that isn't enough."""

    def __init__(
        self,
        owner: JobOwner,
        ledger: JobLedger,
        store: StoreClient,
        reader: JobReader,
        peers: Peers,
        members: Members,
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._members = members
        self._ledger = ledger
        self._reader = reader
        self._store = store
        self._log = logger(__name__)
        self._tasks: set[asyncio.Task[Any]] = set()

    async def submit(
        self, request: Request, job_id: str, host: str, route: Route
    ) -> Response | Refusal:
        """Accept a job once; any repeat gets the same answer."""
        if request.method != "POST":
            return refuse(ErrorKind.BAD_REQUEST, f"{request.method} on {route.name}")
        if "." in job_id or "/" in job_id:
            return refuse(ErrorKind.BAD_REQUEST, f"{job_id}: not an id for a job")
        if self._ledger.find(job_id) is not None:
            return Response(202)
        fields = parse_submission(request.body)
        if isinstance(fields, Refusal):
            return fields
        job = decode_job(job_id, host, request.path, fields)
        if isinstance(job, Refusal):
            return job
        stored = await self._store_submission(job, route, fields)
        if isinstance(stored, Refusal):
            return stored
        self._log.info(
            "job-accepted",
            job=job_id,
            step=job.step,
            model=job.model,
            min_version=job.min_version,
            items=len(job.items),
            owner=stored.value["owner"],
            took_s=round(asyncio.get_running_loop().time() - request.received_s, 4),
        )
        self._ledger.take(stored, False)
        state = self._ledger.find(job_id)
        if state is not None:
            self._spawn(self._peers.place(state, stored))
        return Response(202)

    async def _store_submission(
        self, job: Job, route: Route, fields: Mapping[str, Any]
    ) -> Entry | Refusal:
        """Keep a job in the store; it is accepted once its own object is there.

        Returns that object with what was sent, so that the owner needn't read it.
        """
        upstream = route.shares[0].upstream
        submission = Submission(
            self._members.home_for(upstream, job.model, job.step),
            self._owner.boot,
            job.host,
            job.path,
            time.time(),
            fields,
            job.model,
            len(job.items),
            step=job.step,
        )
        kept, parts = split_submission(job.id, submission, self._store.max_object_bytes)
        for part in parts:
            made = await self._store.create(
                RESULT_KIND, part.name, {"text": part.text}, _ACCEPT_WITHIN_S
            )
            if isinstance(made, Refusal):
                # A part alone is no job, whatever became of its write.
                reason = f"{part.name}: {made.reason}"
                return refuse(ErrorKind.PLATFORM_UNAVAILABLE, reason, _RETRY_S)
        stored = await self._store.create(
            JOB_KIND, job.id, encode_submission(kept), _ACCEPT_WITHIN_S
        )
        if not isinstance(stored, Refusal):
            sent = attrs.evolve(submission, digest=kept.digest)
            in_force = decode_submission(stored.value)
            if isinstance(in_force, Refusal):
                return in_force
            whole = rejoined(in_force, sent)
            return attrs.evolve(stored, value=encode_submission(whole))
        is_known = stored.kind is ErrorKind.PLATFORM_UNAVAILABLE
        return _come_again(stored) if is_known else stored

    def _spawn(self, work: Coroutine[Any, Any, object]) -> None:
        """Tell another node of a record, without waiting for it."""
        self._keep(asyncio.get_running_loop().create_task(work))

    def _keep(self, task: asyncio.Task[Any]) -> None:
        """Keep work until it is done, and log its fault."""
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("job-work-failed", exc_info=task.exception())

    async def _find(self, job_id: str) -> JobState | Refusal:
        """Return a job that the ledger or the store knows."""
        state = self._ledger.find(job_id)
        if state is None:
            if not job_id or "." in job_id or "/" in job_id:
                return refuse(ErrorKind.NOT_FOUND, f"{job_id}: no such job")
            stored = await self._store.read(JOB_KIND, job_id)
            if isinstance(stored, Refusal):
                if stored.kind is ErrorKind.NOT_FOUND:
                    return stored
                return _come_again(stored)
            self._ledger.take(stored, False)
            state = self._ledger.find(job_id)
        if state is None:
            return refuse(ErrorKind.INTERNAL, f"{job_id}: unreadable")
        return state

    async def read(
        self, job_id: str, after: int, request: Request
    ) -> Response | Refusal:
        """Return results from a position on, held until there is one."""
        state = await self._find(job_id)
        if isinstance(state, Refusal):
            return state
        results = await self._reader.page(state, after, wait_s(request.fields))
        if isinstance(results, Refusal):
            return _come_again(results)
        page = encode_results_page(state.total, after, results)
        return Response(200, _JSON, page)

    async def body(self, job_id: str, item_id: str) -> Response | Refusal:
        """Return the body of an item."""
        state = await self._find(job_id)
        if isinstance(state, Refusal):
            return state
        missing = await self._reader.complete(state)
        if missing is not None:
            return _come_again(missing)
        if isinstance(state.job, Refusal):
            return state.job
        item = next((item for item in state.job.items if item.id == item_id), None)
        if item is None:
            return refuse(ErrorKind.NOT_FOUND, f"{item_id}: no such item")
        return Response(200, (), item.body)

    async def end(self, job_id: str) -> Response | Refusal:
        """End a job; the answer follows the store's, or needs none.

        Nothing of a job runs any more whose results are all listed: its end changes
        nothing but how long they are kept, so that its trainer goes on to train while
        the store is away.
        """
        state = await self._find(job_id)
        if isinstance(state, Refusal):
            return state
        if state.is_ended:
            return Response(200)
        writing = asyncio.get_running_loop().create_task(self._store_end(state))
        self._keep(writing)
        await asyncio.wait((writing,), timeout=_END_AT_ONCE_S)
        if not writing.done() or writing.result() is not None:
            is_complete = await self._reader.is_complete(state)
            if is_complete:
                self._log.info("job-complete-ended", job=job_id)
                return Response(200)
        refusal = await writing
        return Response(200) if refusal is None else refusal

    async def _store_end(self, state: JobState) -> Refusal | None:
        """Write the end of a job and tell its owner."""
        name = str(RecordName(state.id, RecordKind.END))
        stored = await self._store.create(JOB_KIND, name, {}, _END_WITHIN_S)
        if isinstance(stored, Refusal):
            return stored
        self._ledger.take(stored, False)
        self._spawn(self._peers.tell_owner(state.owner, stored))
        self._log.info("job-ended", job=state.id, results=len(state.results))
        return None


def _come_again(refusal: Refusal) -> Refusal:
    return refuse(ErrorKind.PLATFORM_UNAVAILABLE, refusal.reason, _RETRY_S)
