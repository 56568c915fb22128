"""Trainers' calls on jobs: submit a job, read results or a body, end a job."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from contextlib import nullcontext
from typing import Any, Final

from ..accounts import Caller
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Job, Route
from ..http1 import Charge, Request, Response
from ..jobs import (
    JOB_KIND,
    RESULT_KIND,
    JobContent,
    JobLedger,
    JobOwner,
    JobReader,
    JobState,
    RecordKind,
    RecordName,
    RecordSource,
    Submission,
    SubmissionParts,
    decode_content,
    decode_submission,
    digest_of,
    encode_submission,
    reserving,
)
from ..logs import logger
from ..platform import (
    Entry,
    encode_results_page,
    wait_s_of,
)
from ..store import StoreClient
from ._members import Members
from ._peers import Peers

#: Timeout for the writes that accept a job. After that the trainer is told that the
#: outcome is unknown, and retries.
_ACCEPT_TIMEOUT_S: Final = 1.5
#: Timeout for the write of a job's end.
_END_TIMEOUT_S: Final = 3.0
#: Time after which a pending write of a job's end leads to a check whether the job is
#: complete: longer than a slow store takes to answer.
_END_CHECK_AFTER_S: Final = 0.3
#: Time after which a trainer retries a call that the store did not settle. It is short,
#: since another entry may be able to answer at once.
_RETRY_AFTER_S: Final = 0.2
#: Time after which a trainer retries a submission for which there was no room. Jobs are
#: held for seconds, and another entry may have room at once.
_NO_ROOM_RETRY_AFTER_S: Final = 0.5
#: Size from which submissions are decoded one at a time, in bytes.
_LARGE_BYTES: Final = 256 * 1024
#: Times that a part of a submission is in memory while it is written to the store: as
#: text, encoded in the call's body, and unsent.
_CALL_COPIES: Final = 3

_JSON: Final = (("Content-Type", "application/json"),)


class JobCalls:
    """Answers trainers' calls from the ledger, or from the store if need be."""

    def __init__(
        self,
        owner: JobOwner,
        ledger: JobLedger,
        store: StoreClient,
        reader: JobReader,
        peers: Peers,
        members: Members,
        is_crowded: Callable[[], bool] = bool,
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._members = members
        self._ledger = ledger
        self._reader = reader
        self._store = store
        self._log = logger(__name__)
        # Tells whether callers need the connections of those that wait for results.
        self._is_crowded = is_crowded
        # Held while a large submission is decoded.
        self._decoding_large = asyncio.Lock()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def submit_job(
        self,
        request: Request,
        job_id: str,
        host: str,
        route: Route,
        caller: Caller,
    ) -> Response | Refusal:
        """Accept a job; the call is idempotent, so repeats get the same answer."""
        if request.method != "POST":
            return refuse(ErrorKind.BAD_REQUEST, f"{request.method} on {route.name}")
        if "." in job_id or "/" in job_id:
            return refuse(ErrorKind.BAD_REQUEST, f"{job_id}: not an id for a job")
        known = self._ledger.find(job_id)
        if known is not None:
            return _repeated_submission_answer(known.account, caller)
        with self._ledger.charging() as charge:
            return await self._accept(request, job_id, host, route, caller, charge)

    async def _accept(
        self,
        request: Request,
        job_id: str,
        host: str,
        route: Route,
        caller: Caller,
        charge: Charge,
    ) -> Response | Refusal:
        """Decode a job, store it and pass it on to its owner."""
        text = request.body
        content = await self._decode(request, job_id, host, charge)
        if isinstance(content, Refusal):
            return content
        assert not isinstance(content.job, Refusal)
        stored = await self._store_submission(content.job, text, route, caller, charge)
        if isinstance(stored, Refusal):
            return stored
        account = stored.value.get("account", "")
        if account != caller.account_name:
            return _repeated_submission_answer(account, caller)
        self._log_acceptance(content.job, stored, request, caller)
        self._ledger.apply_entry(stored, False, RecordSource.WRITE)
        state = self._ledger.find(job_id)
        is_same = stored.value.get("digest") == digest_of(text)
        if state is not None:
            if is_same:
                self._ledger.hold(state, content, charge)
            sent = content.text if is_same else None
            self._start_notification(self._peers.deliver_job(state, stored, sent))
        return Response(202)

    async def _decode(
        self, request: Request, job_id: str, host: str, charge: Charge
    ) -> JobContent | Refusal:
        """Decode a submission; a refusal says whether it may ever have room."""
        needed_bytes = 0
        reserve = reserving(charge, self._ledger.find_room)

        def reserve_and_note(size_bytes: int) -> bool:
            nonlocal needed_bytes
            needed_bytes = size_bytes
            return reserve(size_bytes)

        # Several large ones at once would each hold a part of the room, and get none.
        is_large = len(request.body) > _LARGE_BYTES
        async with self._decoding_large if is_large else nullcontext():
            content = await decode_content(
                job_id, host, request.path, request.body, reserve_and_note
            )
        if not isinstance(content, Refusal) or content.kind is not ErrorKind.OVERLOADED:
            return content
        if self._ledger.exceeds_budget(needed_bytes):
            return refuse(ErrorKind.TOO_LARGE, "the submission's parts take too much")
        return refuse(ErrorKind.OVERLOADED, content.reason, _NO_ROOM_RETRY_AFTER_S)

    def _log_acceptance(
        self, job: Job, stored: Entry, request: Request, caller: Caller
    ) -> None:
        self._log.info(
            "job-accepted",
            job=job.id,
            step=job.step,
            model=job.model,
            min_version=job.min_version,
            items=len(job.items),
            owner=stored.value["owner"],
            account=caller.account_name,
            took_s=round(asyncio.get_running_loop().time() - request.received_s, 4),
        )

    async def _store_submission(
        self, job: Job, text: bytes, route: Route, caller: Caller, charge: Charge
    ) -> Entry | Refusal:
        """Write a job to the store; the job is accepted once its own object exists.

        Returns that object.
        """
        try:
            parts = SubmissionParts(job.id, text, self._store.max_object_bytes)
        except UnicodeDecodeError:
            return refuse(ErrorKind.BAD_REQUEST, "submission: not UTF-8")
        upstream = route.shares[0].upstream
        submission = Submission(
            self._members.choose_owner(upstream, job.model, job.step),
            self._owner.boot,
            job.host,
            job.path,
            time.time(),
            {},
            job.model,
            len(job.items),
            step=job.step,
            account=caller.account_name,
        )
        call_bytes = _CALL_COPIES * min(len(text), self._store.max_object_bytes)
        charge.add(call_bytes)
        try:
            return await self._write_submission(job.id, parts, submission)
        finally:
            charge.add(-call_bytes)

    async def _write_submission(
        self, job_id: str, parts: SubmissionParts, submission: Submission
    ) -> Entry | Refusal:
        for part in parts:
            written = await self._store.create(
                RESULT_KIND, part.name, {"text": part.text}, _ACCEPT_TIMEOUT_S
            )
            if isinstance(written, Refusal):
                # Without its own object the job is not accepted, whether or not the
                # write of this part took effect.
                reason = f"{part.name}: {written.reason}"
                return refuse(ErrorKind.PLATFORM_UNAVAILABLE, reason, _RETRY_AFTER_S)
        value = encode_submission(parts.stored(submission))
        stored = await self._store.create(JOB_KIND, job_id, value, _ACCEPT_TIMEOUT_S)
        if isinstance(stored, Refusal):
            is_not_run = stored.kind is ErrorKind.PLATFORM_UNAVAILABLE
            return _retry_later(stored) if is_not_run else stored
        accepted = decode_submission(stored.value)
        return accepted if isinstance(accepted, Refusal) else stored

    def _start_notification(self, work: Coroutine[Any, Any, object]) -> None:
        """Notify another entry without waiting for its answer."""
        self._track(asyncio.get_running_loop().create_task(work))

    def _track(self, task: asyncio.Task[Any]) -> None:
        """Hold a reference to a task until it ends, and log its exception."""
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("job-call-task-failed", exc_info=task.exception())

    async def _find_job(self, job_id: str, caller: Caller) -> JobState | Refusal:
        """Return a job that the caller may use."""
        state = await self._find_any_job(job_id)
        if isinstance(state, Refusal):
            return state
        return caller.check_job(job_id, state.account) or state

    async def _find_any_job(self, job_id: str) -> JobState | Refusal:
        """Return a job from the ledger, or else from the store."""
        state = self._ledger.find(job_id)
        if state is None:
            if not job_id or "." in job_id or "/" in job_id:
                return refuse(ErrorKind.NOT_FOUND, f"{job_id}: no such job")
            stored = await self._store.read(JOB_KIND, job_id)
            if isinstance(stored, Refusal):
                if stored.kind is ErrorKind.NOT_FOUND:
                    return stored
                return _retry_later(stored)
            self._ledger.apply_entry(stored, False, RecordSource.READ)
            state = self._ledger.find(job_id)
        if state is None:
            return refuse(ErrorKind.INTERNAL, f"{job_id}: unreadable")
        return state

    async def read_results(
        self, job_id: str, after: int, request: Request, caller: Caller
    ) -> Response | Refusal:
        """Return the results from a position on; wait until there is one."""
        state = await self._find_job(job_id, caller)
        if isinstance(state, Refusal):
            return state
        wait_s = 0.0 if self._is_crowded() else wait_s_of(request.fields)
        results = await self._reader.page(state, after, wait_s)
        if isinstance(results, Refusal):
            return _retry_later(results)
        if not self._ledger.find_room_for_answer(sum(map(len, results))):
            return refuse(
                ErrorKind.OVERLOADED, "no room for the answer", _RETRY_AFTER_S
            )
        page = encode_results_page(state.total, after, results)
        return Response(200, _JSON, page)

    async def read_body(
        self, job_id: str, item_id: str, caller: Caller
    ) -> Response | Refusal:
        """Return the body of an item."""
        state = await self._find_job(job_id, caller)
        if isinstance(state, Refusal):
            return state
        content = await self._reader.read_content(state)
        if isinstance(content, Refusal):
            return _retry_later(content)
        if isinstance(content.job, Refusal):
            return content.job
        item = next((item for item in content.job.items if item.id == item_id), None)
        if item is None:
            return refuse(ErrorKind.NOT_FOUND, f"{item_id}: no such item")
        if not self._ledger.find_room_for_answer(len(item.body)):
            return refuse(
                ErrorKind.OVERLOADED, "no room for the answer", _RETRY_AFTER_S
            )
        return Response(200, (), item.body)

    async def end_job(self, job_id: str, caller: Caller) -> Response | Refusal:
        """End a job; a complete job is answered even if the store doesn't answer.

        Nothing of a job is running once all its results are in the store: its end only
        changes how long the results are kept. The trainer can thus go on to train
        during a store outage.
        """
        state = await self._find_job(job_id, caller)
        if isinstance(state, Refusal):
            return state
        if state.is_ended:
            return Response(200)
        writing = asyncio.get_running_loop().create_task(self._store_end(state))
        self._track(writing)
        await asyncio.wait((writing,), timeout=_END_CHECK_AFTER_S)
        if not writing.done() or writing.result() is not None:
            is_complete = await self._reader.are_results_complete(state)
            if is_complete:
                self._log.info("job-complete-ended", job=job_id)
                return Response(200)
        refusal = await writing
        return Response(200) if refusal is None else refusal

    async def _store_end(self, state: JobState) -> Refusal | None:
        """Write the end of a job and notify its owner."""
        name = str(RecordName(state.id, RecordKind.END))
        stored = await self._store.create(JOB_KIND, name, {}, _END_TIMEOUT_S)
        if isinstance(stored, Refusal):
            return stored
        self._ledger.apply_entry(stored, False, RecordSource.WRITE)
        self._start_notification(self._peers.notify_owner(state.owner, stored))
        self._log.info("job-ended", job=state.id, results=len(state.results))
        return None


def _repeated_submission_answer(account: str, caller: Caller) -> Response | Refusal:
    """Return the answer to a submission whose id a stored job already has."""
    if account and account != caller.account_name:
        return refuse(ErrorKind.CONFLICT, "another account's job has this id")
    return Response(202)


def _retry_later(refusal: Refusal) -> Refusal:
    return refuse(ErrorKind.PLATFORM_UNAVAILABLE, refusal.reason, _RETRY_AFTER_S)
