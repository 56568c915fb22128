"""Sends one request to one instance and classifies the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..decisions import InstanceRefusal, classify_refusal
from ..errors import ErrorKind, Refusal, refuse
from ..http1 import CONNECT_TIMEOUT_S, Request, Response, ResponseHead
from ..platform import (
    belongs_to,
    did_not_run,
    instance_load,
    is_misdirected,
    is_signed,
    request_fields,
)
from ._fleet_view import FleetView, InstanceHandle

#: Statuses that say that a request did not run. An engine's answer with one of these
#: statuses but without the header field that confirms this may follow a run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def _do_nothing() -> None:
    """Ignore that a request is sent."""


async def call_instance(
    view: FleetView,
    handle: InstanceHandle,
    request: Request,
    request_id: str,
    remaining_s: float,
    account: str = "",
    on_sent: Callable[[], None] = _do_nothing,
    kind: str = "",
) -> Response | Refusal:
    """Return the instance's complete answer, or a refusal if there is none.

    ``on_sent`` is called when the request is about to be written to the instance.
    ``kind`` names requests of alike work; their response times measure the pace.

    The refusal says NOT_RUN only if nothing was sent or the instance said so.
    """
    record = handle.record
    loop = asyncio.get_running_loop()
    had_room = record.free_slots(loop.time()) > 0
    sent_s: list[float] = []

    def note_sent() -> None:
        sent_s.append(loop.time())
        on_sent()

    record.outstanding += 1
    try:
        answer = await _exchange(
            handle, request, request_id, remaining_s, account, note_sent
        )
    except TimeoutError:
        answer = refuse(ErrorKind.UPSTREAM_LOST, f"no answer in {remaining_s:.3f} s")
    finally:
        record.outstanding -= 1
    checked = _check_answer(answer, request_id)
    record_outcome(
        view,
        handle,
        answer if isinstance(answer, Response) else None,
        checked if isinstance(checked, Refusal) else None,
        loop.time(),
    )
    is_engine = bool(handle.instance.versions)
    if isinstance(checked, Response) and had_room and not is_engine:
        _record_response(view, handle, checked, kind, sent_s[0], loop.time())
    return checked


def _record_response(
    view: FleetView,
    handle: InstanceHandle,
    response: Response,
    kind: str,
    sent_s: float,
    now_s: float,
) -> None:
    """Record the response time of a request at a plain instance.

    A response isn't measured if it may have waited in the instance's queue. An error
    may be answered without the work of a request.
    """
    load = instance_load(response)
    if response.status < 300 and (load is None or load.waiting == 0):
        work = view.call_work[handle.instance.upstream]
        handle.record.record_unit(work.unit_s(kind, now_s - sent_s), now_s)


async def _exchange(
    handle: InstanceHandle,
    request: Request,
    request_id: str,
    remaining_s: float,
    account: str,
    on_sent: Callable[[], None],
) -> Response | Refusal:
    async with asyncio.timeout(remaining_s):
        connection = await handle.pool.acquire(
            min(CONNECT_TIMEOUT_S, remaining_s), remaining_s
        )
        if isinstance(connection, Refusal):
            return connection
        fields = request_fields(
            request.fields, handle.id, remaining_s, request_id, account
        )
        on_sent()
        try:
            exchange = connection.start(
                request.method, request.target, fields, request.body
            )
            answer = await exchange.read_response()
        except BaseException:
            connection.close()
            raise
        finally:
            handle.pool.release(connection)
        if isinstance(answer, Response) and not belongs_to(answer, request_id):
            connection.close()
        return answer


def _check_answer(answer: Response | Refusal, request_id: str) -> Response | Refusal:
    if isinstance(answer, Refusal):
        return answer
    return check_head(answer, request_id) or answer


def check_head(head: Response | ResponseHead, request_id: str) -> Refusal | None:
    """Return why an answer is rejected; None if it is accepted."""
    if not belongs_to(head, request_id):
        return refuse(ErrorKind.UPSTREAM_LOST, "an answer to another request")
    if did_not_run(head):
        return refuse(ErrorKind.OVERLOADED, f"instance refused with {head.status}")
    if head.status < 300 and not is_signed(head):
        return refuse(ErrorKind.UPSTREAM_LOST, "an answer without its signature")
    if head.status in _NOT_RUN_STATUSES:
        return refuse(ErrorKind.UPSTREAM_LOST, f"an unmarked {head.status}")
    return None


def record_outcome(
    view: FleetView,
    handle: InstanceHandle,
    head: Response | ResponseHead | None,
    fault: Refusal | None,
    now_s: float,
) -> None:
    """Record the load that an instance reported and how the instance answered."""
    record = handle.record
    load = None if head is None else instance_load(head)
    if load is not None:
        record.record_load_report(
            load.running, load.waiting, now_s, load.machine_percent
        )
    if fault is None:
        record.record_answer()
        view.mark_present(handle)
    elif fault.kind is ErrorKind.OVERLOADED and head is not None:
        record_refusal(view, handle, head, now_s)
    else:
        record.record_failure(now_s)


def record_refusal(
    view: FleetView,
    handle: InstanceHandle,
    head: Response | ResponseHead,
    now_s: float,
    model: str | None = None,
) -> InstanceRefusal:
    """Record why an instance did not run a request; return the reason.

    Requests that are forwarded this way are never tied to a weight version.
    """
    load = instance_load(head)
    free_slots = None if load is None else load.slots - load.running - load.waiting
    kind = classify_refusal(is_misdirected(head), False, free_slots)
    if kind is InstanceRefusal.ABSENT:
        view.mark_absent(handle)
    else:
        handle.record.record_refusal(kind, now_s, model)
    return kind
