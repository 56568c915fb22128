"""What a deployment consists of, in the product's own terms."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import attrs


class RouteKind(Enum):
    """What may be repeated of a route's requests."""

    # May run more than once.
    IDEMPOTENT = "idempotent"
    # May run once for each try of the caller.
    AT_MOST_ONCE = "at-most-once"
    # As AT_MOST_ONCE, answered by a stream of events.
    STREAMING = "streaming"
    # Jobs of many items that run later.
    ROLLOUT = "rollout"


@attrs.frozen
class Share:
    """A part of a route's requests."""

    # Name of the upstream.
    upstream: str
    # Weight beside the route's other shares.
    weight: float


@attrs.frozen
class Route:
    """Where the requests of one host and path prefix go."""

    # Name of the route.
    name: str
    # Host that it belongs to.
    host: str
    # Beginning of the paths; starts and ends with a slash.
    prefix: str
    # What may be repeated.
    kind: RouteKind
    # Upstreams with their weights; one in most cases.
    shares: tuple[Share, ...]
    # Longest time that a caller is kept waiting, in seconds.
    timeout_s: float
    # Time within which an answer has its full value, in seconds.
    aim_s: float
    # Most instances that one request may be sent to.
    max_attempts: int
    # Rank; 0 is the highest.
    priority: int
    # Whether a stream may go on at another instance.
    is_resumable: bool
    # Time from the first submission to when all results are due; None if not a job.
    run_aim_s: float | None
    # Time from the first submission after which items may be given up.
    retention_s: float | None
    # Whether a result's text must come from one weight version.
    is_single_version: bool


@attrs.frozen
class Upstream:
    """A service with its instances' common limits."""

    # Name of the upstream.
    name: str
    # Path of the health check.
    health_path: str
    # Connections that an instance accepts from all callers together.
    max_connections: int
    # Models that it runs; empty for a plain service.
    models: tuple[str, ...]
    # Tokens in one event of a stream; 1 if not told.
    event_tokens: int


@attrs.frozen
class CallerLimits:
    """What callers may send and how long they may take."""

    # Largest head of a request, in bytes.
    max_header_bytes: int
    # Largest body, in bytes.
    max_body_bytes: int
    # Time for a head to arrive, in seconds.
    header_timeout_s: float
    # Time for which a connection may stay unused, in seconds.
    idle_timeout_s: float


@attrs.frozen
class Configuration:
    """The operator's configuration, whole."""

    # Version; grows in uneven steps.
    version: int
    # All routes.
    routes: tuple[Route, ...]
    # Upstreams by name.
    upstreams: Mapping[str, Upstream]
    # Limits for callers.
    limits: CallerLimits


@attrs.frozen
class Instance:
    """One running instance of an upstream, as the list has it."""

    # Id of the instance; it may start again under the same one.
    id: str
    # Upstream that it belongs to.
    upstream: str
    # IP address.
    host: str
    # TCP port.
    port: int
    # Failure domain.
    domain: str
    # Requests that it runs at once.
    slots: int
    # Whether it has announced that it leaves.
    is_leaving: bool
    # Weight version of each model that it holds.
    versions: Mapping[str, int] = attrs.field(factory=dict)
    # When this run of it began, in milliseconds since the epoch; 0 if it doesn't say.
    born_ms: int = 0


@attrs.frozen
class RewardCall:
    """The request that scores a finished sample."""

    # Id that it carries.
    id: str
    # Host whose route it takes.
    host: str
    # Path of the request.
    path: str
    # Body.
    body: bytes


@attrs.frozen
class Item:
    """One sample that a job asks for."""

    # Id of the item.
    id: str
    # Group whose prompt it shares; empty outside groups.
    group: str
    # Path of the request.
    path: str
    # Header fields of the request.
    fields: tuple[tuple[str, str], ...]
    # Body of the request.
    body: bytes
    # Prompt tokens and most output tokens together.
    tokens: int
    # Caller's estimate of the output's tokens; None if there is none.
    expected_tokens: int | None
    # Most output tokens; None if the caller doesn't say.
    most_tokens: int | None
    # What scores its text; None if nothing does.
    reward: RewardCall | None


@attrs.frozen
class Job:
    """A trainer's step: many items submitted at once."""

    # Id of the job.
    id: str
    # Host that it was submitted to.
    host: str
    # Path that it was submitted to.
    path: str
    # Model that makes the samples; empty if not told.
    model: str
    # Oldest weight version that may make any of its tokens.
    min_version: int
    # Whole groups that the trainer waits for.
    target_groups: int
    # Number of the step.
    step: int
    # Items in the order of their submission.
    items: tuple[Item, ...]


@attrs.frozen
class Result:
    """What became of an item."""

    # Item that it belongs to.
    item_id: str
    # Whether the text is whole; an item that was given up is not.
    is_completed: bool
    # Data of all events, separated by line feeds.
    text: str = ""
    # All weight versions that made an event of the text, ascending.
    versions: tuple[int, ...] = ()
    # Signature of the reward call's answer.
    score: str = ""
