"""Routes, upstreams, instances, jobs and results of a deployment."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import attrs

from ..accounts import AccountTable
from ..decisions import EngineLimits


class RouteKind(Enum):
    """Whether and how a route's requests may be repeated."""

    # Requests that may run more than once.
    IDEMPOTENT = "idempotent"
    # Requests that may run once for each attempt of the caller.
    AT_MOST_ONCE = "at-most-once"
    # Requests as for AT_MOST_ONCE, answered by a stream of events.
    STREAMING = "streaming"
    # Jobs of many items that run asynchronously.
    ROLLOUT = "rollout"


@attrs.frozen
class Share:
    """The weight of one upstream among the upstreams of a route."""

    # Name of the upstream.
    upstream: str
    # Weight relative to the route's other shares.
    weight: float


@attrs.frozen
class Route:
    """Where the requests of one host and path prefix go."""

    # Name of the route.
    name: str
    # Host name of the requests, without a port.
    host: str
    # Prefix of the requests' paths; starts and ends with a slash.
    prefix: str
    # Whether and how requests may be repeated.
    kind: RouteKind
    # Upstreams with their weights; a single one in most cases.
    shares: tuple[Share, ...]
    # Maximum time that a caller waits for an answer, in seconds.
    timeout_s: float
    # Time within which an answer has its full value, in seconds.
    aim_s: float
    # Maximum number of instances that one request may be sent to.
    max_attempts: int
    # Priority of the requests; 0 is the highest.
    priority: int
    # Whether a stream may resume at another instance.
    is_resumable: bool
    # Time from a job's first submission until all its results are due, in seconds; None
    # for routes without jobs.
    run_aim_s: float | None
    # Time from a job's first submission until its items may be given up, in seconds;
    # None if not configured.
    retention_s: float | None
    # Whether a result's text must come from a single weight version.
    is_single_version: bool
    # Whether requests need no key of an account.
    is_public: bool = False


@attrs.frozen
class Upstream:
    """A service with the limits that its instances share."""

    # Name of the upstream.
    name: str
    # Path of the health check.
    health_path: str
    # Connections that one instance accepts from all its clients together.
    max_connections: int
    # Models that the upstream runs; empty for a plain service.
    models: tuple[str, ...]
    # Tokens in one event of a stream; 1 if not configured.
    event_tokens: int
    # Tokens for which one engine has memory; None if not configured.
    memory_tokens: int | None = None
    # Limits for the number of engines; None if they can't be ordered.
    scaling: EngineLimits | None = None


@attrs.frozen
class CallerLimits:
    """Limits for the size and the time of callers' requests."""

    # Maximum size of a request's header, in bytes.
    max_header_bytes: int
    # Maximum size of a request's body, in bytes.
    max_body_bytes: int
    # Time within which a request's header must arrive, in seconds.
    header_timeout_s: float
    # Time for which a connection may stay idle, in seconds.
    idle_timeout_s: float


@attrs.frozen
class Configuration:
    """The operator's complete configuration."""

    # Version of the configuration; increases, but not always by 1.
    version: int
    # All routes.
    routes: tuple[Route, ...]
    # Upstreams by name.
    upstreams: Mapping[str, Upstream]
    # Limits for callers.
    limits: CallerLimits
    # Client accounts; None if requests need no key.
    accounts: AccountTable | None = None


@attrs.frozen
class Instance:
    """One running instance of an upstream, as the instance list describes it."""

    # Id of the instance; a restarted instance may keep its id.
    id: str
    # Name of the instance's upstream.
    upstream: str
    # IP address.
    host: str
    # TCP port.
    port: int
    # Failure domain of the instance.
    domain: str
    # Number of requests that the instance runs concurrently.
    slots: int
    # Whether the instance has announced its shutdown.
    is_leaving: bool
    # Weight version of each model that the instance holds.
    versions: Mapping[str, int] = attrs.field(factory=dict)
    # Start of the instance's run, in milliseconds since the epoch; 0 if unknown.
    born_ms: int = 0


@attrs.frozen
class RewardCall:
    """The request that scores a finished sample."""

    # Id of the request.
    id: str
    # Host whose route the request takes.
    host: str
    # Path of the request.
    path: str
    # Body of the request.
    body: bytes


@attrs.frozen
class Item:
    """One sample that a job requests."""

    # Id of the item.
    id: str
    # Group of items that share the item's prompt; the item's id without a group.
    group: str
    # Path of the request.
    path: str
    # Header fields of the request.
    fields: tuple[tuple[str, str], ...]
    # Body of the request.
    body: bytes
    # Prompt tokens plus maximum output tokens.
    tokens: int
    # Caller's estimate of the output tokens; None without an estimate.
    expected_tokens: int | None
    # Maximum output tokens; None if the caller sets no limit.
    most_tokens: int | None
    # Request that scores the item's text; None if the text is not scored.
    reward: RewardCall | None


@attrs.frozen
class Job:
    """A trainer's step: many items in one submission."""

    # Id of the job.
    id: str
    # Host that the job was submitted to.
    host: str
    # Path that the job was submitted to.
    path: str
    # Model that generates the samples; empty if the submission names none.
    model: str
    # Oldest weight version that may generate any of the job's tokens.
    min_version: int
    # Number of complete groups that the trainer waits for.
    target_groups: int
    # Number of the step.
    step: int
    # Items in the order of their submission.
    items: tuple[Item, ...]


@attrs.frozen
class Result:
    """The outcome of an item."""

    # Id of the item.
    item_id: str
    # Whether the text is complete; False for an item that was given up.
    is_completed: bool
    # Data of all events, separated by line feeds.
    text: str = ""
    # Weight versions that generated any event of the text, ascending.
    versions: tuple[int, ...] = ()
    # Signature of the reward call's answer.
    score: str = ""
