"""Header fields of requests and answers, engine reports and weight orders."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Fields, Response, ResponseHead, first_field
from . import _names as names

#: Fields of a forwarded request that never come from the caller.
_OWN_FIELDS: Final = (
    names.DEADLINE_MS,
    names.EXPECTED_INSTANCE,
    names.KEY,
    names.ACCOUNT,
)


#: A figure of a load report. More than six digits are no number of requests.
_LOAD_FIGURE: Final = re.compile(r"[ \t]*[0-9]{1,6}[ \t]*")
#: Largest plausible PERCENT of a load report: work that takes a hundred times as long.
_MAX_MACHINE_PERCENT: Final = 10_000
#: Longest time for which the answer to a reader is held, in seconds; callers ask for
#: one second.
_LONGEST_WAIT_S: Final = 2.0


@attrs.frozen
class InstanceLoad:
    """The load that an instance reports in an answer."""

    # Number of running requests.
    running: int
    # Number of queued requests.
    waiting: int
    # Number of requests that may run concurrently.
    slots: int
    # Time that work takes on the instance's machine now, in percent of the usual time;
    # None if the report has no usable figure.
    machine_percent: int | None = None


def request_fields(
    fields: Fields,
    instance_id: str,
    remaining_s: float,
    request_id: str | None = None,
    account: str = "",
) -> Fields:
    """Return the fields with which a request is forwarded to one instance.

    ``request_id`` replaces the caller's id of the request unless it is None. Only
    ``account`` names an account, whatever the caller sent; no key is forwarded.
    """
    replaced = {name.lower() for name in _OWN_FIELDS}
    added = [
        (names.EXPECTED_INSTANCE, instance_id),
        (names.DEADLINE_MS, str(max(1, int(remaining_s * 1000.0)))),
    ]
    if account:
        added.append((names.ACCOUNT, account))
    if request_id is not None:
        replaced.add(names.ATTEMPT_ID.lower())
        added.append((names.ATTEMPT_ID, request_id))
    kept = (item for item in fields if item[0].lower() not in replaced)
    return (*kept, *added)


def resume_fields(last_event: int) -> Fields:
    """Return the field that asks a stream for the events after ``last_event``."""
    return ((names.LAST_EVENT_ID, str(last_event)),)


def last_event_of(fields: Fields) -> int | None:
    """Return the last event of a stream that the caller has; None if none."""
    text = first_field(fields, names.LAST_EVENT_ID)
    return int(text) if text and text.isdigit() else None


def expected_instance_fields(instance_id: str) -> Fields:
    """Return the field with which all other instances refuse a call."""
    return ((names.EXPECTED_INSTANCE, instance_id),)


def version_fields(version: int) -> Fields:
    """Return the field that pins a request to one weight version."""
    return ((names.EXPECTED_VERSION, str(version)),)


def priority_fields(priority: int) -> Fields:
    """Return the field with a request's priority, from 0 (highest) to 9 (lowest)."""
    return ((names.REQUEST_PRIORITY, str(priority)),)


def request_id_of(fields: Fields) -> str | None:
    """Return the caller's id of a request."""
    return first_field(fields, names.ATTEMPT_ID)


def keys_of(fields: Fields) -> tuple[str, ...]:
    """Return the values of all key fields of a request."""
    name = names.KEY.lower()
    return tuple(value for key, value in fields if key.lower() == name)


def caller_deadline_s(fields: Fields) -> float | None:
    """Return how long the caller waits, in seconds; None if unknown."""
    text = first_field(fields, names.DEADLINE_MS)
    return float(text) / 1000.0 if text and text.isdecimal() else None


def wait_s_of(fields: Fields) -> float:
    """Return how long the answer to a reader may be held, in seconds."""
    text = first_field(fields, names.WAIT_MS)
    wait_s = float(text) / 1000.0 if text and text.isdecimal() else 0.0
    return min(wait_s, _LONGEST_WAIT_S)


def did_not_run(head: ResponseHead | Response) -> bool:
    """Whether the instance reports that it did not run the request."""
    return head.status == 421 or head.field(names.NOT_EXECUTED) is not None


def is_misdirected(head: ResponseHead | Response) -> bool:
    """Whether the request reached another instance than the expected one."""
    return head.status == 421


def is_signed(head: ResponseHead | Response) -> bool:
    """Whether the answer has the instance's signature."""
    return head.field(names.SIGNATURE) is not None


def signature_of(head: ResponseHead | Response) -> str:
    """Return the instance's signature; empty if there is none."""
    return head.field(names.SIGNATURE) or ""


def belongs_to(head: ResponseHead | Response, expected_id: str) -> bool:
    """Whether the answer belongs to the request ``expected_id``.

    Engines echo the id. An answer without one is an engine's only if it is signed or
    says that the request did not run; any other is made of additional bytes.
    """
    echoed = head.field(names.ATTEMPT_ID)
    if echoed is None:
        return is_signed(head) or head.field(names.NOT_EXECUTED) is not None
    return echoed == expected_id


def instance_load(head: ResponseHead | Response) -> InstanceLoad | None:
    """Return the load that the answer reports; None if there is none."""
    parts = (head.field(names.INSTANCE_LOAD) or "").split(",")
    running, waiting, slots, percent = map(_load_figure, (*parts, "", "", "")[:4])
    if running is None or waiting is None or not slots:
        return None
    is_usable = percent is not None and 0 < percent <= _MAX_MACHINE_PERCENT
    return InstanceLoad(running, waiting, slots, percent if is_usable else None)


def _load_figure(text: str) -> int | None:
    """Return a figure of a load report; None if it is unusable."""
    return int(text) if _LOAD_FIGURE.fullmatch(text) else None


def weight_version_of(head: ResponseHead) -> int | None:
    """Return the weight version at the start of the answer; None if unknown."""
    text = head.field(names.WEIGHT_VERSIONS)
    return int(text) if text and text.isdigit() else None


@attrs.frozen
class EngineState:
    """The report of a model engine on itself."""

    # Model name to loaded weight version.
    versions: Mapping[str, int]
    # Whether the engine is carrying out an order.
    is_busy: bool
    # Number of orders that the engine has accepted since its start.
    orders: int
    # Id of the engine; empty if the report has none.
    instance_id: str
    # Start time of the engine's process, in milliseconds since the epoch; 0 if unknown.
    born_ms: int = 0


def decode_engine_state(answer: Response) -> EngineState | Refusal:
    """Return the report in an engine's answer, or a refusal if it is unreadable."""
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
    model: str,
    version: int,
    waits_for_runs: bool,
    holder: str,
    fence: int,
    orders_seen: int,
) -> bytes:
    """Return the order with which an engine loads a weight version.

    ``orders_seen`` is the number of orders in the engine's last report; the engine
    refuses the order if it has accepted another order since.
    """
    return json.dumps(
        {
            "operation": "version",
            "model": model,
            "version": version,
            "switch-mode": "waiting" if waits_for_runs else "keep_running",
            "holder": holder,
            "fencing-token": fence,
            "expect": orders_seen,
        }
    ).encode()
