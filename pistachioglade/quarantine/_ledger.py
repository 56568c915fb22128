"""In-memory crash records of requests at one node."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Final

import attrs

from ..decisions import (
    AdmissionDecision,
    CrashHistory,
    decide_admission,
    decide_owed_admission,
    history_retention_s,
    is_quarantined,
)
from ..logs import logger
from ._runs import RunningRequests

#: Maximum number of requests with a record.
_MAX_REQUESTS: Final = 2000
#: Maximum number of instances written to a record in the store or read from one.
MAX_INSTANCES: Final = 64
#: Time within which the entry that reported crashes usually has written them.
_ADOPT_AFTER_S: Final = 2.0
_NO_INSTANCES: Final[frozenset[str]] = frozenset()


@attrs.frozen
class StoredCrashes:
    """Crash record of a request in the store."""

    # Instances that ended while running the request.
    instances: frozenset[str]
    # Claimed trial runs.
    trials: int
    # Revision of the record in the store.
    revision: int


@attrs.define(eq=False)
class CrashRecord:
    """Crash record of one request at this node."""

    # Time of the last change, in seconds of the monotonic clock.
    changed_s: float
    # Last record taken from the store; None if there is none.
    stored: StoredCrashes | None = None
    # Instances whose end this node observed.
    observed: set[str] = attrs.field(factory=set)
    # Instances that other entries reported directly.
    reported: set[str] = attrs.field(factory=set)
    # Instances that no longer count, because a later run was answered.
    cleared: frozenset[str] = _NO_INSTANCES
    # Trial runs claimed without the store.
    local_trials: int = 0
    # Monotonic time before which this node makes no claim, in seconds.
    next_claim_s: float = 0.0
    # Whether this node has claimed a trial run that no instance has begun.
    has_unused_trial: bool = False

    @property
    def _stored_instances(self) -> frozenset[str]:
        return _NO_INSTANCES if self.stored is None else self.stored.instances

    @property
    def known_to_store(self) -> frozenset[str]:
        """Instances that the store's record contains or that were cleared."""
        return self._stored_instances | self.cleared

    @property
    def instances(self) -> frozenset[str]:
        """Instances that ended while running the request since its last answer."""
        return (self._stored_instances | self.observed | self.reported) - self.cleared

    @property
    def trials(self) -> int:
        """Trial runs claimed since the request's last answer."""
        if self.stored is None:
            return self.local_trials
        return 0 if self.stored.instances & self.cleared else self.stored.trials

    @property
    def unstored(self) -> frozenset[str]:
        """Observed instances that the store's record lacks."""
        return frozenset(self.observed) - self.known_to_store

    @property
    def instances_to_store(self) -> frozenset[str]:
        """Instances that the store's record should contain."""
        uncleared = (self._stored_instances | self.observed) - self.cleared
        # Without the bound, a truncated record would always count as unwritten.
        return frozenset(sorted(uncleared)[:MAX_INSTANCES])

    @property
    def is_unwritten(self) -> bool:
        """Whether the store's record has to be written or deleted."""
        return self.instances_to_store != self._stored_instances


async def _no_wait(digest: str, timeout_s: float) -> None:
    """Return at once; used by a node without other nodes."""


class CrashLedger:
    """Counts crashes by request digest and decides which requests may be sent."""

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        # Runs in progress from this node.
        self.runs = RunningRequests()
        self._log = logger(__name__)
        # Claims the next trial run of a request; returns whether the claim succeeded.
        self.claim_trial: Callable[[str], Awaitable[bool]] = self._claim_locally
        # Set when records in the store have to be written or deleted.
        self.has_unwritten = asyncio.Event()
        # Called with a request's digest when this node has observed another crash.
        self.on_crash: list[Callable[[str], None]] = []
        # Called with a request's digest when its record in the store has changed or an
        # answer has cleared its crashes.
        self.on_settled: list[Callable[[str], None]] = []
        # Waits until other nodes can know of a request's crashes, for some seconds at
        # most.
        self.wait_until_shared: Callable[[str, float], Awaitable[None]] = _no_wait

    @property
    def count(self) -> int:
        """Number of requests with a record."""
        return len(self._records)

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined requests."""
        counts = (len(record.instances) for record in self._records.values())
        return sum(map(is_quarantined, counts))

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()

    def find(self, digest: str) -> CrashRecord | None:
        """Return the record of a request; None if there is none."""
        return self._records.get(digest)

    def unstored_instances(self, digest: str) -> frozenset[str]:
        """Return the observed crashes of a request that the store doesn't hold yet."""
        record = self._records.get(digest)
        return _NO_INSTANCES if record is None else record.unstored

    def unwritten(self) -> list[str]:
        """Return the digests whose records in the store are out of date."""
        return [name for name, record in self._records.items() if record.is_unwritten]

    def decide_admission(
        self,
        digest: str,
        open_instances: Collection[str],
        is_running: bool = False,
        is_owed: bool = False,
    ) -> AdmissionDecision:
        """Return the admission decision for a request.

        ``open_instances`` are the instances of the upstream that can run the request,
        ``is_running`` tells whether this node has a run of the request in progress,
        ``is_owed`` whether the request belongs to an item of a job.
        """
        record = self._records.get(digest) or CrashRecord(self._now_s())
        # The list can still contain instances that have just ended.
        remaining = sum(name not in record.instances for name in open_instances)
        history = CrashHistory(
            len(record.instances),
            record.trials,
            self._now_s() - record.changed_s,
            is_running,
        )
        decide = decide_owed_admission if is_owed else decide_admission
        return decide(history, remaining)

    async def _claim_locally(self, digest: str) -> bool:
        """Claim a trial run when records aren't shared through the store."""
        record = self._records[digest]
        record.local_trials += 1
        record.changed_s = self._now_s()
        return True

    def return_trial(self, digest: str) -> None:
        """Keep a claimed trial run for the next try, as no instance has begun it."""
        record = self._records.get(digest)
        if record is not None:
            record.has_unused_trial = True

    def take_unused_trial(self, digest: str) -> bool:
        """Take back a returned trial run; return whether there was one."""
        record = self._records.get(digest)
        if record is None or not record.has_unused_trial:
            return False
        record.has_unused_trial = False
        return is_quarantined(len(record.instances))

    def record_crash(self, digest: str, instance: str, request_id: str) -> None:
        """Record that an instance ended while running a request."""
        record = self._find_or_add(digest)
        if record is None or instance in record.instances:
            return
        record.observed.add(instance)
        record.changed_s = self._now_s()
        self.has_unwritten.set()
        for callback in self.on_crash:
            callback(digest)
        self._log.warning(
            "instance-crashed",
            request_digest=digest,
            request=request_id,
            instance=instance,
            crashes=len(record.instances),
            is_quarantined=is_quarantined(len(record.instances)),
        )

    def record_reported(self, digest: str, instances: Iterable[str]) -> None:
        """Record crashes that another entry could not yet write to the store."""
        record = self._find_or_add(digest)
        if record is None or record.instances.issuperset(instances):
            return
        record.reported |= set(instances)
        record.changed_s = self._now_s()
        asyncio.get_running_loop().call_later(_ADOPT_AFTER_S, self.has_unwritten.set)
        self._log.info(
            "crashes-received",
            request_digest=digest,
            crashes=len(record.instances),
            is_quarantined=is_quarantined(len(record.instances)),
        )

    def adopt_reported(self, is_responsible: Callable[[str], bool]) -> None:
        """Let this node write reported crashes of the requests it is responsible for.

        The entry that reported them may have ended before it could write them, or an
        answer has cleared them there.
        """
        now_s = self._now_s()
        for digest, record in self._records.items():
            unwritten = record.reported - record.observed - record.known_to_store
            is_due = now_s - record.changed_s >= _ADOPT_AFTER_S
            if unwritten and is_due and is_responsible(digest):
                record.observed |= unwritten

    def record_answer(self, digest: str) -> None:
        """Clear a request's crashes because an instance has answered it."""
        record = self._records.get(digest)
        if record is None or not record.instances:
            return
        self._log.info(
            "request-released", request_digest=digest, crashes=len(record.instances)
        )
        record.cleared |= record.instances
        record.local_trials = 0
        self.has_unwritten.set()
        self._notify_settled(digest)

    def apply_stored(self, digest: str, stored: StoredCrashes | None) -> None:
        """Apply a request's stored record; None if the record was deleted."""
        if stored is None:
            self._apply_removal(digest)
            return
        record = self._find_or_add(digest)
        if record is None:
            return
        if record.stored is not None:
            if record.stored.revision >= stored.revision:
                return
            # Instances are only removed after another node has seen an answer.
            record.cleared |= record.stored.instances - stored.instances
        known = record.instances, record.trials
        record.stored = stored
        if (record.instances, record.trials) != known:
            # A record that repeats what is known here restarts no pause.
            record.changed_s = self._now_s()
        if record.is_unwritten:
            self.has_unwritten.set()
        self._notify_settled(digest)

    def _apply_removal(self, digest: str) -> None:
        record = self._records.get(digest)
        if record is None or record.stored is None:
            return
        record.cleared |= record.stored.instances | record.reported
        if len(record.stored.instances) >= MAX_INSTANCES:
            # Observed instances beyond the limit would otherwise be written again.
            record.cleared |= record.observed
        record.stored = None
        self._notify_settled(digest)

    def _notify_settled(self, digest: str) -> None:
        for callback in self.on_settled:
            callback(digest)

    def drop_expired(self) -> list[str]:
        """Drop expired records; return the expired digests that are still stored."""
        now_s = self._now_s()
        expired = {
            digest: record
            for digest, record in self._records.items()
            if now_s - record.changed_s > history_retention_s(len(record.instances))
        }
        for digest, record in expired.items():
            if record.stored is None:
                del self._records[digest]
        return [
            digest for digest, record in expired.items() if record.stored is not None
        ]

    def _find_or_add(self, digest: str) -> CrashRecord | None:
        record = self._records.get(digest)
        if record is None and len(self._records) < _MAX_REQUESTS:
            record = self._records[digest] = CrashRecord(self._now_s())
        if record is None:
            self._log.warning("crash-not-remembered", request_digest=digest)
        return record
