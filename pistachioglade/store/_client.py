"""The client of the store: reads, writes, and retried creates of objects."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from ..decisions import AdaptiveTimeout
from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Response
from ..platform import (
    Entry,
    EntryChanges,
    EntryPage,
    StoreCall,
    create_call,
    decode_changes,
    decode_entry,
    decode_json,
    decode_page,
    delete_call,
    list_call,
    read_call,
    refusal_of,
    replace_call,
    status_call,
    watch_call,
)
from ._store_routes import CALL_TIMEOUT_S, StoreRoutes

#: Pause before the retry of a call that was refused or lost.
_RETRY_PAUSE_S: Final = 0.15


class StoreClient(StoreRoutes):
    """Reads and writes objects of the store, by any route that reaches it."""

    async def call(
        self, call: StoreCall, timeout_s: float = CALL_TIMEOUT_S
    ) -> Response | Refusal:
        """Make a call; a refusal says whether the call may have taken effect."""
        is_write = call.method != "GET"
        answer = await self.exchange(call, timeout_s)
        if isinstance(answer, Refusal):
            in_doubt = is_write and not answer.did_not_run
            kind = (
                ErrorKind.PLATFORM_UNCERTAIN
                if in_doubt
                else ErrorKind.PLATFORM_UNAVAILABLE
            )
            return refuse(kind, answer.reason)
        return refusal_of(answer, is_write) or answer

    async def read(self, kind: str, name: str) -> Entry | Refusal:
        """Read one object."""
        answer = await self.call(read_call(kind, name))
        return answer if isinstance(answer, Refusal) else _entry(answer)

    async def page(
        self, kind: str, after: str, may_be_stale: bool = False
    ) -> EntryPage | Refusal:
        """Read the page of a list that follows the name ``after``."""
        answer = await self.call(list_call(kind, after, may_be_stale))
        if isinstance(answer, Refusal):
            return answer
        page = decode_page(answer.body)
        self._log_faults(kind, page)
        return page

    async def changes(
        self, kind: str, revision: int, hold_s: float, may_be_stale: bool = False
    ) -> EntryChanges | Refusal:
        """Wait up to ``hold_s`` for changes after ``revision``."""
        call = watch_call(kind, revision, hold_s, may_be_stale)
        begun_s = asyncio.get_running_loop().time()
        outcome = "given-up"
        try:
            answer = await self.call(call, hold_s + CALL_TIMEOUT_S)
            outcome = "lost" if isinstance(answer, Refusal) else "answered"
        finally:
            waited_s = asyncio.get_running_loop().time() - begun_s
            self._record_watch(kind, outcome, hold_s, waited_s)
        if isinstance(answer, Refusal):
            return answer
        found = decode_changes(answer.body)
        self._log_faults(kind, found)
        return found

    def _record_watch(
        self, kind: str, outcome: str, hold_s: float, waited_s: float
    ) -> None:
        """Count a watch; log a watch without an answer and how long it was awaited."""
        self._metrics.record_watch(kind, outcome)
        if outcome != "answered":
            self._log.info(
                "watch-unanswered",
                kind=kind,
                outcome=outcome,
                hold_s=round(hold_s, 3),
                waited_s=round(waited_s, 3),
            )

    def _log_faults(self, kind: str, read: EntryPage | EntryChanges | Refusal) -> None:
        """Count and log an unreadable answer, or objects without a name."""
        if isinstance(read, Refusal):
            self._metrics.record_unreadable(kind)
            self._log.error("store-unreadable", kind=kind, reason=read.reason)
        elif read.nameless:
            self._metrics.record_unreadable(kind)
            self._log.error("store-objects-nameless", kind=kind, count=read.nameless)

    async def create(
        self,
        kind: str,
        name: str,
        value: Any,
        within_s: float,
        try_time: AdaptiveTimeout | None = None,
    ) -> Entry | Refusal:
        """Create an object and return the stored one, this or an earlier one.

        Retries lost calls for ``within_s``; then a refusal PLATFORM_UNCERTAIN says that
        the object may still come to exist. Retries pass the same ``try_time`` again.
        """
        call = create_call(kind, name, value)
        try_time = try_time or AdaptiveTimeout()
        deadline_s = asyncio.get_running_loop().time() + within_s
        in_doubt = False
        while True:
            begun_s = asyncio.get_running_loop().time()
            timeout_s = try_time.timeout_s(self.retryable_timeout_s)
            answer = await self.exchange(call, timeout_s)
            if isinstance(answer, Refusal):
                has_worked = (
                    self.any_answered_s is not None and self.any_answered_s > begun_s
                )
                try_time.record_lost_try(
                    has_worked and self._relayed.has_lost(call, begun_s)
                )
            refusal = (
                answer if isinstance(answer, Refusal) else refusal_of(answer, True)
            )
            if refusal is None:
                assert isinstance(answer, Response)
                return _entry(answer)
            if refusal.kind is ErrorKind.CONFLICT:
                assert isinstance(answer, Response)
                return _entry(answer)
            if refusal.kind in (ErrorKind.TOO_LARGE, ErrorKind.BAD_REQUEST):
                return refusal
            in_doubt = in_doubt or not refusal.did_not_run
            if asyncio.get_running_loop().time() + _RETRY_PAUSE_S > deadline_s:
                break
            await asyncio.sleep(_RETRY_PAUSE_S)
        final_kind = (
            ErrorKind.PLATFORM_UNCERTAIN if in_doubt else ErrorKind.PLATFORM_UNAVAILABLE
        )
        return refuse(final_kind, refusal.reason)

    async def replace(
        self, kind: str, name: str, value: Any, revision: int | None
    ) -> Entry | Refusal:
        """Replace an object without retry, only at ``revision`` unless that is None."""
        answer = await self.call(replace_call(kind, name, value, revision))
        return answer if isinstance(answer, Refusal) else _entry(answer)

    async def set_status(self, kind: str, name: str, status: Any) -> Refusal | None:
        """Replace the status of an object, without retry."""
        answer = await self.call(status_call(kind, name, status))
        return answer if isinstance(answer, Refusal) else None

    async def delete(
        self, kind: str, name: str, revision: int | None = None
    ) -> Refusal | None:
        """Remove an object without retry, only at ``revision`` unless that is None."""
        answer = await self.call(delete_call(kind, name, revision))
        return answer if isinstance(answer, Refusal) else None


def _entry(answer: Response) -> Entry | Refusal:
    fields = decode_json(answer.body)
    read = fields if isinstance(fields, Refusal) else decode_entry(fields)
    if isinstance(read, Refusal):
        return refuse(ErrorKind.PLATFORM_UNCERTAIN, f"store sent {read.reason}")
    return read
