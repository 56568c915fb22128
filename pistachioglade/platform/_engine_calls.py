"""Calls to engines and what their answers say."""

from __future__ import annotations

import json
from collections.abc import Mapping

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Fields, Response, ResponseHead, first_field
from . import _names as names


@attrs.frozen
class InstanceLoad:
    """An instance's own word on its load."""

    # Requests that run.
    running: int
    # Requests that wait.
    waiting: int
    # Requests that may run at once.
    slots: int


def request_fields(
    fields: Fields, instance_id: str, remaining_s: float, request_id: str | None = None
) -> Fields:
    """Return the fields of a request that goes to one named instance."""
    replaced = {names.DEADLINE_MS.lower(), names.EXPECTED_INSTANCE.lower()}
    own = [
        (names.EXPECTED_INSTANCE, instance_id),
        (names.DEADLINE_MS, str(max(1, int(remaining_s * 1000.0)))),
    ]
    if request_id is not None:
        replaced.add(names.ATTEMPT_ID.lower())
        own.append((names.ATTEMPT_ID, request_id))
    kept = (item for item in fields if item[0].lower() not in replaced)
    return (*kept, *own)


def resume_fields(last_event: int) -> Fields:
    """Return the field that asks for the events behind one that has come."""
    return ((names.LAST_EVENT_ID, str(last_event)),)


def last_event_of(fields: Fields) -> int | None:
    """Return the last event that a caller has had of a stream; None if none."""
    text = first_field(fields, names.LAST_EVENT_ID)
    return int(text) if text and text.isdigit() else None


def expected_instance_fields(instance_id: str) -> Fields:
    """Return the field that only the named instance takes a call with."""
    return ((names.EXPECTED_INSTANCE, instance_id),)


def version_fields(version: int) -> Fields:
    """Return the field that ties a request to one weight version."""
    return ((names.EXPECTED_VERSION, str(version)),)


def priority_fields(priority: int) -> Fields:
    """Return the field that ranks a request at its engine; 0 is first, 9 last."""
    return ((names.REQUEST_PRIORITY, str(priority)),)


def request_id(fields: Fields) -> str | None:
    """Return the caller's id of a request."""
    return first_field(fields, names.ATTEMPT_ID)


def caller_deadline_s(fields: Fields) -> float | None:
    """Return how long the caller waits, in seconds."""
    text = first_field(fields, names.DEADLINE_MS)
    return float(text) / 1000.0 if text and text.isdigit() else None


def wait_s(fields: Fields) -> float:
    """Return how long a reader's call may be held, in seconds."""
    text = first_field(fields, names.WAIT_MS)
    return float(text) / 1000.0 if text and text.isdigit() else 0.0


def did_not_run(head: ResponseHead | Response) -> bool:
    """Whether the instance says that it did not run the request."""
    return head.status == 421 or head.field(names.NOT_EXECUTED) is not None


def is_misdirected(head: ResponseHead | Response) -> bool:
    """Whether the answer is of an instance that the request isn't for."""
    return head.status == 421


def is_signed(head: ResponseHead | Response) -> bool:
    """Whether the answer bears the instance's signature."""
    return head.field(names.SIGNATURE) is not None


def signature(head: ResponseHead | Response) -> str:
    """Return the instance's signature; empty if there is none."""
    return head.field(names.SIGNATURE) or ""


def belongs_to(head: ResponseHead | Response, expected_id: str) -> bool:
    """Whether the answer is to the request with this id."""
    echoed = head.field(names.ATTEMPT_ID)
    return echoed is None or echoed == expected_id


def instance_load(head: ResponseHead | Response) -> InstanceLoad | None:
    """Return the load that the answer tells; None if it tells none."""
    text = head.field(names.INSTANCE_LOAD)
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return InstanceLoad(running, waiting, slots)


def weight_version(head: ResponseHead) -> int | None:
    """Return the weight version that the answer starts with."""
    text = head.field(names.WEIGHT_VERSIONS)
    return int(text) if text and text.isdigit() else None


@attrs.frozen
class EngineState:
    """A model engine's own report."""

    # Weight version of each model.
    versions: Mapping[str, int]
    # Whether an order is being carried out.
    is_busy: bool
    # Orders that it has accepted since its start.
    orders: int
    # Id of the engine; empty if it names none.
    instance_id: str
    # When this run of it began, in milliseconds since the epoch; 0 if it doesn't say.
    born_ms: int = 0


def decode_engine_state(answer: Response) -> EngineState | Refusal:
    """Return the report in an engine's answer."""
    if answer.status != 200:
        reason = f"engine report answered {answer.status}"
        return refuse(ErrorKind.UPSTREAM_REJECTED, reason)
    try:
        fields = json.loads(answer.body)
        versions = {item["name"]: int(item["version"]) for item in fields["models"]}
        return EngineState(
            versions,
            bool(fields["busy"]),
            int(fields["sequence"]),
            answer.field(names.INSTANCE_ID) or "",
            int(fields.get("born", 0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        reason = f"engine report: {type(error).__name__} {error}"
        return refuse(ErrorKind.UPSTREAM_REJECTED, reason)


def encode_weight_order(
    model: str, version: int, lets_runs_finish: bool, holder: str, fence: int, seen: int
) -> bytes:
    """Return the order that brings an engine to a weight version.

    ``seen`` is the engine's count of orders; it refuses the order if another came
    in between.
    """
    return json.dumps(
        {
            "operation": "version",
            "model": model,
            "version": version,
            "switch-mode": "waiting" if lets_runs_finish else "keep_running",
            "holder": holder,
            "fencing-token": fence,
            "expect": seen,
        }
    ).encode()
