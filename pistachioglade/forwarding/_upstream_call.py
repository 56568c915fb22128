"""One request at one instance, judged by what the answer shows."""

from __future__ import annotations

import asyncio

from ..decisions import InstanceRecord
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Instance
from ..http1 import CONNECT_TIMEOUT_S, Pool, Request, Response, ResponseHead
from ..platform import (
    belongs_to,
    did_not_run,
    instance_load,
    is_signed,
    request_fields,
)
from ._fleet_view import FleetView

#: Statuses that promise that a request did not run; an engine's own answer with one
#: of these but without its mark may have run.
_PROMISES = frozenset({408, 421, 429, 503})


async def call_instance(
    view: FleetView,
    instance: Instance,
    request: Request,
    request_id: str,
    remaining_s: float,
) -> Response | Refusal:
    """Return the instance's whole answer, or what is known of the request's fate.

    A refusal says NOT_RUN only if nothing was sent or the instance said so.
    """
    record = view.records[instance.id]
    pool = view.pools[instance.id]
    loop = asyncio.get_running_loop()
    record.outstanding += 1
    try:
        answer = await _exchange(pool, instance, request, request_id, remaining_s)
    except TimeoutError:
        answer = refuse(ErrorKind.UPSTREAM_LOST, f"no answer in {remaining_s:.3f} s")
    finally:
        record.outstanding -= 1
    judged = _judge(answer, request_id)
    note_conduct(
        record,
        answer if isinstance(answer, Response) else None,
        judged if isinstance(judged, Refusal) else None,
        loop.time(),
    )
    return judged


async def _exchange(
    pool: Pool,
    instance: Instance,
    request: Request,
    request_id: str,
    remaining_s: float,
) -> Response | Refusal:
    async with asyncio.timeout(remaining_s):
        connection = await pool.acquire(min(CONNECT_TIMEOUT_S, remaining_s))
        if isinstance(connection, Refusal):
            return connection
        fields = request_fields(request.fields, instance.id, remaining_s, request_id)
        try:
            exchange = connection.start(
                request.method, request.target, fields, request.body
            )
            answer = await exchange.whole()
        except BaseException:
            connection.close()
            raise
        finally:
            pool.release(connection)
        if isinstance(answer, Response) and not belongs_to(answer, request_id):
            connection.close()
        return answer


def _judge(answer: Response | Refusal, request_id: str) -> Response | Refusal:
    if isinstance(answer, Refusal):
        return answer
    return judge_head(answer, request_id) or answer


def judge_head(head: Response | ResponseHead, request_id: str) -> Refusal | None:
    """Return why an answer doesn't count; None if it does."""
    if not belongs_to(head, request_id):
        return refuse(ErrorKind.UPSTREAM_LOST, "an answer to another request")
    if did_not_run(head):
        return refuse(ErrorKind.OVERLOADED, f"instance refused with {head.status}")
    if head.status < 300 and not is_signed(head):
        return refuse(ErrorKind.UPSTREAM_LOST, "an answer without its signature")
    if head.status in _PROMISES:
        return refuse(ErrorKind.UPSTREAM_LOST, f"an unmarked {head.status}")
    return None


def note_conduct(
    record: InstanceRecord,
    head: Response | ResponseHead | None,
    fault: Refusal | None,
    now_s: float,
) -> None:
    """Enter in an instance's record how it has answered."""
    load = None if head is None else instance_load(head)
    if load is not None:
        record.told_load(load.running, load.waiting, now_s)
    if fault is None:
        record.answered()
    elif fault.kind is ErrorKind.OVERLOADED:
        record.refused(now_s)
    else:
        record.failed(now_s)
