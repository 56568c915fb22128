"""The requests of one upstream that wait at one entry, and their places."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Container
from typing import Any, Final

from ..decisions import (
    AdmissionQueue,
    AdmissionRefusal,
    Estimate,
    InstanceRecord,
    QueueRefusal,
    Room,
    WaitingRequest,
    faster_by_s,
    instances_with_room,
    refusal_wait_s,
    should_wait_for_faster,
)
from ..errors import ErrorKind, Refusal, refuse
from ..logs import logger
from ..metrics import Metrics
from ._admission_log import rate_log_fields, report_log_fields, request_log_fields
from ._admitted_try import Admitted, AdmittedTry, ChooseInstance, Waiter
from ._fleet_view import FleetView, InstanceHandle

#: Weight of the newest answer in the mean time of an instance's answers.
_ANSWER_WEIGHT: Final = 0.2

#: Wait at the entry, as a part of the latency target, from which the upstream counts as
#: overloaded: an answer that waits as long again at an instance is hardly in time.
_LONG_WAIT_FRACTION: Final = 1.0 / 3.0
#: Time for which it then counts as overloaded, in seconds: longer than callers wait, so
#: that another entry's requests don't get ahead of those that wait here.
_OVERLOAD_MEMORY_S: Final = 1.0

#: Time after which a request that was sent to find out whether an instance has room,
#: and has not been refused, counts as accepted: instances refuse at once.
_PROBE_TIME_S: Final = 0.25
#: Retries without a slot after which a pass over the waiting requests ends. Each of
#: them may choose among other instances.
_MAX_FAILED_RETRIES: Final = 16


class UpstreamGate:
    """Starts or refuses the requests of one upstream at one entry."""

    def __init__(
        self, name: str, view: FleetView, metrics: Metrics, uses_queue: bool
    ) -> None:
        # Name of the upstream.
        self.name = name
        self._view = view
        self._metrics = metrics
        # Whether requests wait; otherwise all start at once.
        self._uses_queue = uses_queue
        self._log = logger(__name__)
        # Order and estimates of the waiting requests.
        self.queue = AdmissionQueue()
        # The waiting requests.
        self.waiters: dict[WaitingRequest, Waiter] = {}
        # Requests that are about to be sent, by instance.
        self.reserved: Counter[str] = Counter()
        # Monotonic time at which a single request was sent to find out whether there is
        # room, in seconds, by instance.
        self.probed_s: dict[str, float] = {}
        # Mean time of an answer in seconds, by instance.
        self.answers_s: dict[str, float] = {}
        # Monotonic time until which the upstream counts as overloaded, in seconds.
        self._overloaded_until_s = float("-inf")
        # Monotonic time since which no instance is listed, in seconds; None if one is.
        self._vanished_s: float | None = None

    def record_answer(self, instance_id: str, took_s: float) -> None:
        """Record how long an instance took for an answer."""
        known_s = self.answers_s.get(instance_id, took_s)
        self.answers_s[instance_id] = known_s + _ANSWER_WEIGHT * (took_s - known_s)

    def add(self, waiter: Waiter) -> Refusal | None:
        """Let a request wait; return a refusal if waiting is of no use."""
        request = waiter.request
        estimate, refused = self.queue.add(request, _now_s())
        if refused is not None and refused.request is request:
            return self._refusal(refused)
        if not self.waiters:
            self._vanished_s = None
        self.waiters[request] = waiter
        self._log_decision("call-queued", request, estimate)
        if refused is not None:
            self._refuse(refused)
        self._record_length()
        return None

    def leave(self, waiter: Waiter) -> None:
        """Remove a request whose caller has left; free a place given meanwhile."""
        if self.waiters.pop(waiter.request, None) is not None:
            self.queue.remove(waiter.request, _now_s())
            self._log_decision("call-left", waiter.request)
            self._record_length()
        elif waiter.result.done() and not waiter.result.cancelled():
            given = waiter.result.result()
            if isinstance(given, AdmittedTry):
                given.close()

    def start_waiting(self) -> None:
        """Start the waiting requests for which there is room, then refuse late ones."""
        if not self.waiters:
            return
        now_s = _now_s()
        # Retries choose among fewer instances, which may have room by other rules.
        has_retries = any(waiter.tried for waiter in self.waiters.values())
        may_start = has_retries or self._rooms(self._records(()))
        position = failed_retries = 0
        for request in self.queue.in_order(now_s) if may_start else ():
            waiter = self.waiters.get(request)
            if waiter is None:
                continue
            place = self.try_start(request, waiter.tried, waiter.choose, position)
            if place is not None:
                self._settle(waiter, place)
                self._record_started(place, now_s)
                continue
            position += 1
            failed_retries += bool(waiter.tried)
            if failed_retries > _MAX_FAILED_RETRIES:
                break
            if not waiter.tried and not self._rooms(self._records(())):
                break
        for refused in self.queue.take_too_late(now_s):
            self._refuse(refused)
        self._record_length()

    def _queue_aim_s(self, request: WaitingRequest) -> float:
        """Return the latency target that bounds the wait in an instance's own queue.

        0 if more requests come than can start soon, or if the account has used more
        than an equal share: their order counts, and instances keep none.
        """
        is_overloaded = bool(self.waiters) or _now_s() < self._overloaded_until_s
        if is_overloaded or self.queue.shares.level(request.account) > 0:
            return 0.0
        return request.aim_s

    def _record_started(self, place: AdmittedTry, now_s: float) -> None:
        waited_s = now_s - place.request.queued_s
        if waited_s > _LONG_WAIT_FRACTION * place.request.aim_s:
            self._overloaded_until_s = now_s + _OVERLOAD_MEMORY_S
        self._metrics.record_queue_wait(self.name, waited_s)
        self._log_decision(
            "call-started",
            place.request,
            waited_s=round(waited_s, 4),
            instance=place.handle.id,
            is_probe=place.is_probe,
        )

    def try_start(
        self,
        request: WaitingRequest,
        tried: list[str],
        choose: ChooseInstance,
        position: int,
    ) -> AdmittedTry | None:
        """Return a place at an instance; None if the request has to wait for one.

        ``position`` is the number of waiting requests that are more urgent.
        """
        if not self._uses_queue:
            handle = choose(self.name, tried)
            return None if handle is None else self._place(request, handle, False)
        records = self._records(tried)
        rooms = self._rooms(records, self._queue_aim_s(request))
        if not rooms:
            return None
        without_room = [name for name, _ in records if name not in rooms]
        handle = choose(self.name, [*tried, *without_room])
        if handle is None:
            return None
        preferred = choose(self.name, tried) if without_room else None
        is_full = preferred is not None and preferred.id in without_room
        if is_full and self._waits_for(preferred, handle, request, position):
            return None
        # The list may have changed since the rooms were found.
        room = rooms.get(handle.id)
        return None if room is None else self._place(request, handle, room.is_probe)

    def _waits_for(
        self,
        preferred: InstanceHandle | None,
        handle: InstanceHandle,
        request: WaitingRequest,
        position: int,
    ) -> bool:
        """Whether a request waits for the preferred instance, which has no room."""
        assert preferred is not None
        now_s = _now_s()
        record = preferred.record
        if record.is_in_cooldown(now_s) or record.is_slowed(now_s):
            return False
        answer_s = self.answers_s.get(preferred.id, self.queue.answer_s(request))
        gain_s = faster_by_s(handle.record, record, answer_s, now_s)
        waited_s = now_s - request.arrived_s
        wait_s = waited_s + self.queue.rate.wait_s(position, request.aim_s, now_s)
        return should_wait_for_faster(gain_s, wait_s, answer_s, request.whole_s)

    def _records(self, excluded: Container[str]) -> list[tuple[str, InstanceRecord]]:
        return [
            (handle.id, handle.record)
            for handle in self._view.open_handles(self.name)
            if handle.id not in excluded
        ]

    def _rooms(
        self, records: list[tuple[str, InstanceRecord]], aim_s: float = 0.0
    ) -> dict[str, Room]:
        """Return the room of instances for requests with a latency target."""
        now_s = _now_s()
        probed = [
            name
            for name, sent_s in self.probed_s.items()
            if now_s - sent_s < _PROBE_TIME_S
        ]
        return instances_with_room(
            records, self.reserved, probed, self.answers_s, aim_s, now_s
        )

    def _place(
        self, request: WaitingRequest, handle: InstanceHandle, is_probe: bool
    ) -> AdmittedTry:
        now_s = _now_s()
        self.reserved[handle.id] += 1
        if is_probe:
            self.probed_s[handle.id] = now_s
        charged_s = self.queue.start(request, now_s)
        return AdmittedTry(handle, request, is_probe, charged_s, self, now_s)

    def _settle(self, waiter: Waiter, result: Admitted) -> None:
        del self.waiters[waiter.request]
        if not waiter.result.done():
            waiter.result.set_result(result)
        elif isinstance(result, AdmittedTry):
            result.close()

    def _refuse(self, refused: QueueRefusal) -> None:
        """Refuse a request that the queue has removed."""
        waiter = self.waiters.get(refused.request)
        if waiter is not None:
            self._settle(waiter, self._refusal(refused))

    def _refusal(self, refused: QueueRefusal) -> Refusal:
        """Return the refusal of a request, after recording it."""
        reason = refused.reason.value
        self._metrics.record_queue_refusal(self.name, reason)
        self._log_decision(
            "call-not-admitted", refused.request, refused.estimate, reason=reason
        )
        text = f"not sent to an instance: {reason}, {len(self.waiters)} waiting"
        return refuse(ErrorKind.OVERLOADED, text)

    def refuse_all(
        self, reason: AdmissionRefusal, except_routes: Container[str] = ()
    ) -> None:
        """Refuse the waiting requests, except those of some routes.

        Only a stop of the entry or of all instances ends the wait for a retry: the
        request may have run, and a stream may have begun.
        """
        now_s = _now_s()
        keeps_retries = reason is AdmissionRefusal.ROUTE_REMOVED
        for request, estimate in self.queue.estimates(now_s):
            if request.route in except_routes or (keeps_retries and request.is_retry):
                continue
            self.queue.remove(request, now_s)
            self._refuse(QueueRefusal(request, reason, estimate))
        self._record_length()

    def check(self) -> None:
        """Look at all waiting requests again, after a change or some time."""
        if self.waiters:
            self._check_instances()
            self.start_waiting()

    def _check_instances(self) -> None:
        """Refuse requests for which no instance is listed any more.

        A request that has been tried at all listed instances ends at once. Others wait
        as long as a caller would before a second attempt: the list may be about to
        change.
        """
        now_s = _now_s()
        listed = {item.id for item in self._view.open_instances(self.name)}
        self.answers_s = {
            name: mean_s for name, mean_s in self.answers_s.items() if name in listed
        }
        for waiter in tuple(self.waiters.values()):
            if waiter.tried and listed.issubset(waiter.tried):
                self.queue.remove(waiter.request, now_s)
                self._settle(waiter, None)
        if listed:
            self._vanished_s = None
            return
        if self._vanished_s is None:
            self._vanished_s = now_s
        aim_s = max((item.aim_s for item in self.waiters), default=0.0)
        if now_s - self._vanished_s >= refusal_wait_s(aim_s):
            self.refuse_all(AdmissionRefusal.NO_INSTANCES)

    def _record_length(self) -> None:
        self._metrics.record_queue_length(self.name, len(self.waiters))

    def _log_decision(
        self,
        event: str,
        request: WaitingRequest,
        estimate: Estimate | None = None,
        **fields: Any,
    ) -> None:
        now_s = _now_s()
        self._log.info(
            event,
            upstream=self.name,
            waiting=len(self.waiters),
            **request_log_fields(request, estimate, now_s),
            **rate_log_fields(self.queue.rate, request.aim_s, now_s),
            **report_log_fields((item for _, item in self._records(())), now_s),
            **fields,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
