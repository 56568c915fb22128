"""Passes the submissions of jobs between entries."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ..errors import ErrorKind, Refusal, refuse
from ..jobs import (
    JobLedger,
    RecordSource,
    decode_content,
    decode_submission,
    digest_of,
    reserving,
)
from ..messages import Acknowledged, FetchSent, SentFields, SubmittedJob
from ..platform import Entry
from ._entry_messages import EntryMessages


class SubmittedJobs:
    """Takes submissions that other entries pass on, and gives them out."""

    def __init__(
        self, ledger: JobLedger, can_take_job: Callable[[], Awaitable[bool]]
    ) -> None:
        self._ledger = ledger
        # Tells whether a job may run at this entry.
        self._can_take_job = can_take_job

    def register_messages(self, messages: EntryMessages) -> None:
        """Register the answers to the messages about submissions."""
        messages.register(FetchSent, self._answer_sent_fields)
        messages.register(SubmittedJob, self._accept_job)

    async def _answer_sent_fields(self, message: FetchSent) -> SentFields:
        state = self._ledger.find(message.job_id)
        content = None if state is None else state.content
        if content is None or content.text is None:
            return SentFields("")
        return SentFields(content.text.decode(errors="replace"))

    async def _accept_job(self, message: SubmittedJob) -> Acknowledged | Refusal:
        """Accept a job with its content, unless there is no room for it here."""
        submission = decode_submission(message.value)
        if isinstance(submission, Refusal):
            return submission
        if not await self._can_take_job():
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "takes no jobs now")
        with self._ledger.charging() as charge:
            content = await decode_content(
                message.job_id,
                submission.host,
                submission.path,
                message.text,
                reserving(charge, self._ledger.find_room),
            )
            if isinstance(content, Refusal):
                return refuse(ErrorKind.PLATFORM_UNAVAILABLE, content.reason)
            entry = Entry(message.job_id, message.revision, message.value, None)
            self._ledger.apply_entry(entry, False, RecordSource.MESSAGE)
            state = self._ledger.find(message.job_id)
            if state is not None and submission.digest == digest_of(message.text):
                self._ledger.hold(state, content, charge)
        return Acknowledged()
