"""Calls to the platform's API that are the duty of one node at a time."""

from __future__ import annotations

import json
from collections.abc import Mapping

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Fields, Response
from . import _names as names


@attrs.frozen
class DutyCall:
    """One call to the platform's API."""

    # Path of the call.
    path: str
    # Header fields without Host.
    fields: Fields
    # Body in JSON.
    body: bytes


def usage_call(
    window: int, counts: Mapping[str, int], holder: str, token: int
) -> DutyCall:
    """Report the requests of each account that began in a window."""
    body = {"window-number": window, "counts": dict(counts)}
    return DutyCall(names.USAGE_PATH, _fields(holder, token), json.dumps(body).encode())


def scaling_call(
    upstream: str, domain: str, count: int, holder: str, token: int
) -> DutyCall:
    """Order the number of engines of an upstream in a failure domain."""
    body = {"service": upstream, "zone": domain, "target-group-count": count}
    return DutyCall(
        names.SCALING_PATH, _fields(holder, token), json.dumps(body).encode()
    )


def _fields(holder: str, token: int) -> Fields:
    return (
        (names.DUTY_HOLDER, holder),
        (names.FENCING_TOKEN, str(token)),
        ("Content-Type", "application/json"),
    )


def refusal_of_duty(answer: Response | Refusal) -> Refusal | None:
    """Return why a call was not accepted; None if it was.

    FENCED says that a higher fencing token was seen. PLATFORM_UNCERTAIN says that the
    call may still be carried out.
    """
    if isinstance(answer, Refusal):
        return refuse(ErrorKind.PLATFORM_UNCERTAIN, answer.reason)
    if answer.status < 300:
        return None
    reason = f"the platform answered {answer.status}"
    if answer.status == 409:
        return refuse(ErrorKind.FENCED, reason)
    if answer.status in (429, 503):
        return refuse(ErrorKind.PLATFORM_UNAVAILABLE, reason)
    if answer.status < 500:
        return refuse(ErrorKind.BAD_REQUEST, reason)
    return refuse(ErrorKind.PLATFORM_UNCERTAIN, reason)
