"""Messages between entries about the load of instances and refused requests."""

from __future__ import annotations

import attrs


@attrs.frozen
class ReportedPace:
    """The lasting pace of one instance, as an entry has observed it."""

    # Id of the instance.
    instance_id: str
    # Start of the instance's run, in milliseconds since the epoch; 0 if unknown.
    born_ms: int
    # Lasting time of one unit of work, in seconds: an event at an engine, an answer at
    # a plain instance.
    unit_s: float
    # Time since the last observation, in seconds.
    age_s: float


@attrs.frozen
class PacesReported:
    """Report the lasting paces of instances to another entry."""

    # Node name of the sender.
    sender: str
    # The paces, each instance at most once.
    paces: tuple[ReportedPace, ...]


@attrs.frozen
class RequestsRefused:
    """Report requests that the sender has refused and whose callers may return."""

    # Node name of the sender.
    sender: str
    # Digests of the requests.
    request_digests: tuple[str, ...]
