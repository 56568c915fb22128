"""The one client of the store: calls, their time limits, and writes made certain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import chain
from typing import Any, Final

from ..decisions import (
    FULL_POLICY,
    Policy,
    StoreOutage,
    TryTime,
    transfer_time_s,
)
from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Pool, Response
from ..logs import logger
from ..metrics import Metrics
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
from ._around import Relay, WaysAround

#: Time for one call, also to a slow store.
CALL_TIMEOUT_S: Final = 1.0
#: The same for calls that may be repeated while the store doesn't answer: one that was
#: sent in a silence is never answered, and the time until the next one is lost to the
#: jobs that wait for it.
_DOUBT_TIMEOUT_S: Final = 0.45
#: Time between two tries of a call that was refused or lost.
_PAUSE_S: Final = 0.15
#: Time for which the direct way is left alone after it failed.
_DIRECT_REST_S: Final = 1.0

_JSON: Final = (("Content-Type", "application/json"),)
#: Time between two small reads by which a process sees that the store has gone and
#: come back; such reads cost a tenth of a call. Watches that were sent meanwhile may
#: never be answered, and are sent anew.
BEAT_S: Final = 1.0
#: The same while the store doesn't answer, so that its return is seen soon.
_DOUBT_BEAT_S: Final = 0.3

#: Largest object where the settings name none; the platform's pages say a megabyte.
MAX_OBJECT_BYTES: Final = 1_048_576


class StoreClient:
    """Calls the store, directly or by way of a peer that still reaches it."""

    def __init__(
        self,
        host: str,
        port: int,
        metrics: Metrics | None = None,
        max_object_bytes: int = MAX_OBJECT_BYTES,
        policy: Policy = FULL_POLICY,
    ) -> None:
        # Mechanisms that are in use.
        self.policy = policy
        self._metrics = metrics or Metrics()
        # Largest object that the store takes.
        self.max_object_bytes = max_object_bytes
        self._pool = Pool(host, port)
        self._host_field = (("Host", f"{host}:{port}"),)
        self._log = logger(__name__)
        self._failed_s: float | None = None
        # Ways around a direct path that fails, in the order in which to try them.
        self.relays: Callable[[], Sequence[Relay]] = tuple
        self._around = WaysAround(lambda: self.relays(), lambda: self.is_reached)
        self._outage = StoreOutage()
        # When the store last answered this node directly; None before that.
        self.answered_s: float | None = None
        # When a call was last answered by any way; None before that.
        self.worked_s: float | None = None
        self._regained = asyncio.Event()
        self._troubled = asyncio.Event()
        self._renewals: set[asyncio.Future[None]] = set()

    def move_to(self, host: str, port: int) -> None:
        """Call the store at another address from now on, watches included."""
        if (host, port) == (self._pool.host, self._pool.port):
            return
        self._pool.close_idle()
        self._pool = Pool(host, port)
        self._host_field = (("Host", f"{host}:{port}"),)
        self._log.info("store-moved", address=f"{host}:{port}")
        self.renew()

    @property
    def is_reached(self) -> bool:
        """Whether the last direct call was answered."""
        return self.answered_s is not None and self._failed_s is None

    async def direct(self, call: StoreCall, timeout_s: float) -> Response | Refusal:
        """Make one call on this node's own connection."""
        begun_s = asyncio.get_running_loop().time()
        fields = (*self._host_field, *(_JSON if call.body else ()))
        try:
            answer = await self._pool.request(
                call.method, call.target, fields, call.body, timeout_s
            )
        except TimeoutError:
            reason = f"store gave no answer in {timeout_s:.2f} s"
            answer = refuse(ErrorKind.UPSTREAM_LOST, reason)
        self._note(answer, begun_s)
        self._note_unanswered(call, answer, begun_s)
        if not call.is_watch:
            outcome = "lost" if isinstance(answer, Refusal) else str(answer.status)
            took_s = asyncio.get_running_loop().time() - begun_s
            self._metrics.store_called(call.method, outcome, took_s)
        return answer

    def _note(self, answer: Response | Refusal, begun_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        if not _is_answered(answer):
            if self._failed_s is None:
                reason = answer.reason if isinstance(answer, Refusal) else answer.status
                self._log.warning("dependency-lost", dependency="store", reason=reason)
            self._failed_s = now_s
            self._regained.clear()
            self._troubled.set()
            return
        if self._failed_s is not None or self.answered_s is None:
            failed_s = now_s if self._failed_s is None else self._failed_s
            self._log.info(
                "dependency-regained",
                dependency="store",
                failed_age_s=round(now_s - failed_s, 3),
            )
            self.renew()
        self._troubled.clear()
        self._failed_s = None
        self.answered_s = now_s
        self._answered_somehow(begun_s)

    def _answered_somehow(self, begun_s: float) -> None:
        """Take an answer, by whichever way it came."""
        self.worked_s = asyncio.get_running_loop().time()
        self._outage.answered(begun_s, self.worked_s)
        self._regained.set()

    def _note_unanswered(
        self, call: StoreCall, answer: Response | Refusal, begun_s: float
    ) -> None:
        """Take that a way did not answer, at once and not behind the last of the ways.

        Each of them may take a call's whole time, and the store may be back by then.
        """
        if _is_answered(answer):
            return
        now_s = asyncio.get_running_loop().time()
        # A watch that was held and then lost says nothing of the time before its end.
        self._outage.unanswered(now_s if call.is_watch else begun_s, now_s)

    def renew(self) -> None:
        """Have watches sent anew: by another way, or to a store that is back."""
        for waiter in self._renewals:
            if not waiter.done():
                waiter.set_result(None)

    def renewal(self) -> asyncio.Future[None]:
        """Return a future that is done when watches should be sent anew."""
        waiter = asyncio.get_running_loop().create_future()
        self._renewals.add(waiter)
        waiter.add_done_callback(self._renewals.discard)
        return waiter

    async def beat(
        self, kind: str, name: str, interval_s: Callable[[], float] = lambda: BEAT_S
    ) -> None:
        """Read a small object, which need not exist, whenever nothing else is."""
        while True:
            usual_s = interval_s()
            await asyncio.sleep(usual_s if self.is_reached else _DOUBT_BEAT_S)
            answered_s = self.answered_s or 0.0
            if asyncio.get_running_loop().time() - answered_s >= usual_s / 2:
                call = read_call(kind, name, may_be_old=True)
                ways = chain((self.direct,), self._around.ways())
                await self._ask_each(ways, call, self._repeatable_s)

    async def look(self, kind: str, name: str, timeout_s: float) -> None:
        """Make a small read, which shows whether the store answers by any way."""
        await self.exchange(read_call(kind, name, may_be_old=True), timeout_s)

    @property
    def _repeatable_s(self) -> float:
        """Time for a call that may be repeated."""
        return CALL_TIMEOUT_S if self.is_reached else _DOUBT_TIMEOUT_S

    async def wait_after_failure(self, longest_s: float) -> None:
        """Wait until a call has worked by any way, but not for ever."""
        try:
            async with asyncio.timeout(longest_s):
                await self._regained.wait()
        except TimeoutError:
            return

    async def wait_for_trouble(self) -> None:
        """Wait until a direct call fails, unless the last one has."""
        await self._troubled.wait()

    @property
    def age_s(self) -> float | None:
        """Seconds since a call was last answered by any way; None if none ever was."""
        if self.worked_s is None:
            return None
        return asyncio.get_running_loop().time() - self.worked_s

    def _rests(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self._failed_s is not None and now_s - self._failed_s < _DIRECT_REST_S

    def _ways(self) -> Iterator[Relay]:
        """Return the ways for a call, the likeliest first."""
        if self._rests():
            return chain(self._around.ways(), (self.direct,))
        return chain((self.direct,), self._around.ways())

    async def exchange(self, call: StoreCall, timeout_s: float) -> Response | Refusal:
        """Make a call by the first way that takes it.

        ``timeout_s`` is the time for an answer; what the body takes comes on top.
        """
        # A call that was sent and lost may have been made: a write isn't sent again.
        return await self._ask_each(self._ways(), call, timeout_s, may_repeat=False)

    async def _ask_each(
        self,
        ways: Iterable[Relay],
        call: StoreCall,
        timeout_s: float,
        may_repeat: bool = True,
    ) -> Response | Refusal:
        """Make a call by each way until one answers, and note whether any did."""
        begun_s = asyncio.get_running_loop().time()
        limit_s = timeout_s + transfer_time_s(len(call.body))
        answer: Response | Refusal = refuse(ErrorKind.PLATFORM_UNAVAILABLE, "no way")
        for way in ways:
            answer = await way(call, limit_s)
            if _is_answered(answer):
                self._answered_somehow(begun_s)
                return answer
            self._note_unanswered(call, answer, begun_s)
            if isinstance(answer, Refusal) and not (answer.did_not_run or may_repeat):
                break
        return answer

    @property
    def outage_age_s(self) -> float | None:
        """Seconds since the store was away for every way; None if it never was."""
        return self._outage.age_s(asyncio.get_running_loop().time())

    async def call(
        self, call: StoreCall, timeout_s: float = CALL_TIMEOUT_S
    ) -> Response | Refusal:
        """Make a call; a refusal says whether it may have taken effect."""
        is_write = call.method != "GET"
        answer = await self.exchange(call, timeout_s)
        if isinstance(answer, Refusal):
            is_unsure = is_write and not answer.did_not_run
            kind = (
                ErrorKind.PLATFORM_UNCERTAIN
                if is_unsure
                else ErrorKind.PLATFORM_UNAVAILABLE
            )
            return refuse(kind, answer.reason)
        return refusal_of(answer, is_write) or answer

    async def read(self, kind: str, name: str) -> Entry | Refusal:
        """Read one object."""
        answer = await self.call(read_call(kind, name))
        return answer if isinstance(answer, Refusal) else _entry(answer)

    async def page(
        self, kind: str, after: str, may_be_old: bool = False
    ) -> EntryPage | Refusal:
        """Read the part of a list that follows a name."""
        answer = await self.call(list_call(kind, after, may_be_old))
        if isinstance(answer, Refusal):
            return answer
        page = decode_page(answer.body)
        self._note_read(kind, page)
        return page

    async def changes(
        self, kind: str, revision: int, hold_s: float, may_be_old: bool = False
    ) -> EntryChanges | Refusal:
        """Wait for changes behind a revision."""
        call = watch_call(kind, revision, hold_s, may_be_old)
        answer = await self.call(call, hold_s + CALL_TIMEOUT_S)
        if isinstance(answer, Refusal):
            return answer
        told = decode_changes(answer.body)
        self._note_read(kind, told)
        return told

    def _note_read(self, kind: str, read: EntryPage | EntryChanges | Refusal) -> None:
        """Tell of bytes that no page is made of, and of objects without a name."""
        if isinstance(read, Refusal):
            self._metrics.unreadable(kind)
            self._log.error("store-unreadable", kind=kind, reason=read.reason)
        elif read.nameless:
            self._metrics.unreadable(kind)
            self._log.error("store-objects-nameless", kind=kind, count=read.nameless)

    async def create(
        self,
        kind: str,
        name: str,
        value: Any,
        within_s: float,
        try_time: TryTime | None = None,
    ) -> Entry | Refusal:
        """Create an object and return the one in force, this or an earlier one.

        Tries again after lost answers until ``within_s`` is over; then a refusal
        of kind PLATFORM_UNCERTAIN tells that the object may come to exist. A caller
        that goes on trying keeps ``try_time`` over its tries.
        """
        call = create_call(kind, name, value)
        try_time = try_time or TryTime()
        deadline_s = asyncio.get_running_loop().time() + within_s
        is_unsure = False
        while True:
            begun_s = asyncio.get_running_loop().time()
            limit_s = try_time.limit_s(self._repeatable_s)
            answer = await self.exchange(call, limit_s)
            if isinstance(answer, Refusal):
                has_worked = self.worked_s is not None and self.worked_s > begun_s
                try_time.lost(has_worked and self._around.has_lost(call, begun_s))
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
            is_unsure = is_unsure or not refusal.did_not_run
            if asyncio.get_running_loop().time() + _PAUSE_S > deadline_s:
                break
            await asyncio.sleep(_PAUSE_S)
        kind_left = (
            ErrorKind.PLATFORM_UNCERTAIN
            if is_unsure
            else ErrorKind.PLATFORM_UNAVAILABLE
        )
        return refuse(kind_left, refusal.reason)

    async def replace(
        self, kind: str, name: str, value: Any, revision: int | None
    ) -> Entry | Refusal:
        """Replace an object, if it still has a revision where one is given, once."""
        answer = await self.call(replace_call(kind, name, value, revision))
        return answer if isinstance(answer, Refusal) else _entry(answer)

    async def set_status(self, kind: str, name: str, status: Any) -> Refusal | None:
        """Replace the status of an object, once."""
        answer = await self.call(status_call(kind, name, status))
        return answer if isinstance(answer, Refusal) else None

    async def delete(
        self, kind: str, name: str, revision: int | None = None
    ) -> Refusal | None:
        """Remove an object, once."""
        answer = await self.call(delete_call(kind, name, revision))
        return answer if isinstance(answer, Refusal) else None


def _is_answered(answer: Response | Refusal) -> bool:
    """Whether the store has answered, and not only refused to."""
    return isinstance(answer, Response) and answer.status not in (429, 503)


def _entry(answer: Response) -> Entry | Refusal:
    fields = decode_json(answer.body)
    read = fields if isinstance(fields, Refusal) else decode_entry(fields)
    if isinstance(read, Refusal):
        return refuse(ErrorKind.PLATFORM_UNCERTAIN, f"store sent {read.reason}")
    return read
