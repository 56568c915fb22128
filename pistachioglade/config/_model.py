"""The declarative file's objects: upstreams, trainers, callers, operators, policy."""

from __future__ import annotations

from enum import Enum

import attrs


class UpstreamKind(Enum):
    """The kind of the instances of an upstream."""

    ENGINE = "engine"
    SERVICE = "service"


class CallerKind(Enum):
    """The group of a caller, by which reports are split."""

    LAWYER = "lawyer"
    INDEXER = "indexer"
    ENGINEER = "engineer"
    REGULATOR = "regulator"
    SERVICE = "service"


class Weighing(Enum):
    """The measure that a deployment weighs more: idle engines or stale samples."""

    IDLE = "idle"
    STALENESS = "staleness"


@attrs.frozen
class Operation:
    """One operation of a plain service."""

    # Name, the last segment of the call's path.
    name: str
    # Whether running the operation twice is harmless.
    idempotent: bool


@attrs.frozen
class Upstream:
    """A set of equivalent instances: model engines or a plain service."""

    # Name that callers use.
    name: str
    # Kind of the instances.
    kind: UpstreamKind
    # Operations of a plain service; model engines have the operation "completion".
    operations: tuple[Operation, ...] = ()
    # Number of slots per engine that are reserved for lookups.
    reserved_slots: int = 1
    # Maximum number of lookups in the queue of one agent.
    max_queued_calls: int = 64
    # Maximum number of rollouts in the queue of one agent.
    max_queued_rollouts: int = 256


@attrs.frozen
class Trainer:
    """A training service that requests rollouts."""

    # Name, used in paths and in the report.
    name: str
    # Model whose weights it publishes and samples.
    model: str
    # Upstreams whose engines it may use.
    upstreams: tuple[str, ...]
    # Share of each of those upstreams, in percent; 0 to 100.
    share_percent: int
    # Maximum number of versions by which a sample may be behind the newest.
    staleness_bound_versions: int
    # SHA-256 of its bearer token.
    token_sha256: str


@attrs.frozen
class Caller:
    """A client account that makes calls."""

    # Name, used in the report.
    name: str
    # Group of the caller.
    kind: CallerKind
    # Names of the upstreams that the caller may call.
    upstreams: tuple[str, ...]
    # SHA-256 of its bearer token.
    token_sha256: str


@attrs.frozen
class Operator:
    """An account that may apply files and drain nodes."""

    # Name, used in logs.
    name: str
    # SHA-256 of the bearer token.
    token_sha256: str


@attrs.frozen
class Policy:
    """How the engines are shared between trainers and callers; see docs/DESIGN.md."""

    # "fair", or "baseline" for the simple policy to which "fair" is compared.
    name: str = "fair"
    # Measure that is weighed more.
    weighing: Weighing = Weighing.IDLE
    # Maximum share of a step's samples that may be generated twice, in percent.
    hedge_percent: int = 5
    # Retry budget, in percent of first attempts.
    retry_percent: int = 20


@attrs.frozen
class ServiceConfig:
    """The complete declarative file."""

    # Upstreams in the order of their declaration.
    upstreams: tuple[Upstream, ...] = ()
    # Trainers in the order of their declaration.
    trainers: tuple[Trainer, ...] = ()
    # Callers in the order of their declaration.
    callers: tuple[Caller, ...] = ()
    # Operators in the order of their declaration.
    operators: tuple[Operator, ...] = ()
    # The policy.
    policy: Policy = attrs.field(factory=Policy)

    def trainer(self, name: str) -> Trainer | None:
        """Return the trainer of that name; None if there is none."""
        return next((item for item in self.trainers if item.name == name), None)

    def upstream(self, name: str) -> Upstream | None:
        """Return the upstream of that name; None if there is none."""
        return next((item for item in self.upstreams if item.name == name), None)
