"""What an operator declares: trainers, callers, upstreams and the policy."""

from __future__ import annotations

from enum import Enum

import attrs


class UpstreamKind(Enum):
    """What stands behind an upstream's name."""

    ENGINE = "engine"
    SERVICE = "service"


class CallerKind(Enum):
    """Who a caller is; reports are split by it."""

    LAWYER = "lawyer"
    INDEXER = "indexer"
    ENGINEER = "engineer"
    REGULATOR = "regulator"
    SERVICE = "service"


class Weighing(Enum):
    """Which of the two measures a deployment weighs more."""

    IDLE = "idle"
    STALENESS = "staleness"


@attrs.frozen
class Operation:
    """One operation of a plain service."""

    # Name, the last part of the call's path.
    name: str
    # Whether running it twice is harmless.
    idempotent: bool


@attrs.frozen
class Upstream:
    """A set of like instances: model engines or a plain service."""

    # Name that callers use.
    name: str
    # What stands behind it.
    kind: UpstreamKind
    # Operations; for engines "completion" is built in.
    operations: tuple[Operation, ...] = ()
    # Slots of each engine that rollouts leave free for lookups.
    reserved_slots: int = 1
    # Most lookups that wait at one agent.
    max_queued_calls: int = 64
    # Most rollouts that wait at one agent.
    max_queued_rollouts: int = 256


@attrs.frozen
class Trainer:
    """A training service that takes rollouts."""

    # Name, used in paths and in the report.
    name: str
    # Model whose weights it publishes and samples.
    model: str
    # Upstreams whose engines it may use.
    upstreams: tuple[str, ...]
    # Share of each of those upstreams, in percent; 0 to 100.
    share_percent: int
    # Most versions that a sample may be behind the newest.
    staleness_bound_versions: int
    # SHA-256 of its bearer token.
    token_sha256: str


@attrs.frozen
class Caller:
    """Somebody who makes calls."""

    # Name, used in the report.
    name: str
    # Who it is.
    kind: CallerKind
    # Upstreams that it may call.
    upstreams: tuple[str, ...]
    # SHA-256 of its bearer token.
    token_sha256: str


@attrs.frozen
class Operator:
    """Somebody who may apply files and drain nodes."""

    # Name, used in logs.
    name: str
    # SHA-256 of the bearer token.
    token_sha256: str


@attrs.frozen
class Policy:
    """How the engines are divided; see docs/DESIGN.md."""

    # "fair", or "baseline" for the plain policy that it is measured against.
    name: str = "fair"
    # Which measure goes first.
    weighing: Weighing = Weighing.IDLE
    # Part of a step's samples that may be made twice, in percent.
    hedge_percent: int = 5
    # Tries beyond the first, as a part of first tries, in percent.
    retry_percent: int = 20


@attrs.frozen
class ServiceConfig:
    """One declarative file, whole."""

    # Upstreams by declaration order.
    upstreams: tuple[Upstream, ...] = ()
    # Trainers by declaration order.
    trainers: tuple[Trainer, ...] = ()
    # Callers by declaration order.
    callers: tuple[Caller, ...] = ()
    # Operators by declaration order.
    operators: tuple[Operator, ...] = ()
    # The policy.
    policy: Policy = attrs.field(factory=Policy)

    def trainer(self, name: str) -> Trainer | None:
        """Return the trainer of that name."""
        return next((item for item in self.trainers if item.name == name), None)

    def upstream(self, name: str) -> Upstream | None:
        """Return the upstream of that name."""
        return next((item for item in self.upstreams if item.name == name), None)
