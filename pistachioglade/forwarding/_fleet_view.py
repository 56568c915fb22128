"""One node's view of routes, instances and the health of the instances."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping

import attrs

from ..decisions import (
    ABSENT_EXCLUSION_S,
    FULL_POLICY,
    CallWork,
    InstancePace,
    InstanceRecord,
    InstanceRun,
    Mechanism,
    PaceState,
    Policy,
    classify_run,
    may_have_lapsed,
    should_read_list,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Configuration, Instance
from ..http1 import Pool
from ..logs import logger
from ..platform import Entry, decode_configuration, decode_instance, names
from ._connections import InstanceConnections


def _check_run(decoded: Instance, run: InstanceRun) -> Refusal | None:
    """Return why an entry is rejected; None if its run may still be in progress."""
    if run is InstanceRun.UNNAMED:
        reason = f"instance {decoded.id:.80}: an entry of no run"
        return refuse(ErrorKind.UNREADABLE, reason)
    if run is InstanceRun.EARLIER:
        reason = f"instance {decoded.id:.80}: a late entry of run {decoded.born_ms}"
        return refuse(ErrorKind.CONFLICT, reason)
    return None


@attrs.frozen
class InstanceHandle:
    """An instance chosen for one request.

    The handle stays valid if the instance leaves the list of instances meanwhile.
    """

    # The instance as listed at the time of the choice.
    instance: Instance
    # Load, failures and refusals of the instance.
    record: InstanceRecord
    # Connections to the instance.
    pool: Pool

    @property
    def id(self) -> str:
        """Id of the instance."""
        return self.instance.id


class FleetView:
    """Configuration, listed instances, their connections and their health records."""

    def __init__(
        self,
        outage_age_s: Callable[[], float | None],
        policy: Policy = FULL_POLICY,
        connections: InstanceConnections | None = None,
    ) -> None:
        # What the connections to all instances have in common.
        self.connections = connections or InstanceConnections(policy=policy)
        self._uses_cooldowns = policy.uses(Mechanism.RESTS)
        # Whether lookups are balanced by expected response time.
        self.uses_pace_for_calls = policy.uses(Mechanism.CALLS_BY_PACE)
        # Work of the kinds of requests by upstream.
        self.call_work: defaultdict[str, CallWork] = defaultdict(CallWork)
        # Called with the id of an instance and its pace when the state of that changes.
        self.on_pace_change: list[Callable[[str, InstancePace], None]] = []
        # Returns the seconds since the last outage of the store itself; None if there
        # was no outage.
        self._outage_age_s = outage_age_s
        self._log = logger(__name__)
        # Monotonic time at which an instance left the list around a store outage, in
        # seconds, by id. These instances stay in use for a grace period.
        self._lapsed_since_s: dict[str, float] = {}
        # Monotonic time at which another instance answered at an instance's address, in
        # seconds, by id of the instance that was expected there.
        self._absent_since_s: dict[str, float] = {}
        # Monotonic time of the last request to read the list again, in seconds.
        self._list_read_s = float("-inf")
        # Called when the list of instances turns out to be out of date.
        self.on_list_outdated: list[Callable[[], None]] = []
        # Instances whose entries can't be decoded. These instances get no new requests.
        self._unreadable: set[str] = set()
        # The configuration in force; None before the first.
        self.configuration: Configuration | None = None
        # Instances by id.
        self.instances: dict[str, Instance] = {}
        # Health records by instance id.
        self.records: dict[str, InstanceRecord] = {}
        # Connection pools by instance id.
        self.pools: dict[str, Pool] = {}
        # Called after each change of the configuration or the instances.
        self.on_change: list[Callable[[], None]] = []
        # Called after each change of the configuration, before ``on_change``.
        self.on_configuration: list[Callable[[], None]] = []

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def apply_configuration(self, entry: Entry, is_removed: bool) -> None:
        """Apply a configuration entry unless the entry is not newer or is malformed."""
        if is_removed or entry.name != names.CONFIGURATION_NAME:
            return
        decoded = decode_configuration(entry.value)
        if isinstance(decoded, Refusal):
            self._log.error("configuration-refused", reason=decoded.reason)
            return
        if self.configuration and self.configuration.version >= decoded.version:
            return
        self.configuration = self.connections.configuration = decoded
        self._log.info(
            "configuration-in-force",
            version=decoded.version,
            accounts=None if decoded.accounts is None else len(decoded.accounts),
            keys=None if decoded.accounts is None else decoded.accounts.key_count,
        )
        for callback in self.on_configuration:
            callback()
        self._notify_change()

    def apply_instance(self, entry: Entry, is_removed: bool) -> None:
        """Apply a changed or removed entry of the list of instances."""
        if is_removed:
            self._apply_removal(entry.name)
            return
        decoded = decode_instance(entry.name, entry.value)
        known = self.instances.get(entry.name)
        run = InstanceRun.KNOWN
        if not isinstance(decoded, Refusal) and known is not None:
            run = classify_run(known.born_ms, decoded.born_ms)
            decoded = _check_run(decoded, run) or decoded
        if isinstance(decoded, Refusal):
            self._log.error("instance-refused", reason=decoded.reason)
            if known is not None and decoded.kind is ErrorKind.UNREADABLE:
                self._unreadable.add(entry.name)
                self._notify_change()
            return
        self._lapsed_since_s.pop(decoded.id, None)
        self._unreadable.discard(decoded.id)
        self._absent_since_s.pop(decoded.id, None)
        if known is not None and run is InstanceRun.LATER:
            self._discard_run(known, decoded)
            known = None
        if known is not None and known.is_leaving:
            # An instance that has announced its shutdown gets no new requests in the
            # same run, whatever later entries say.
            decoded = attrs.evolve(decoded, is_leaving=True)
        self.instances[decoded.id] = decoded
        if known is None:
            self._log.info(
                "instance-listed", instance=decoded.id, upstream=decoded.upstream
            )
            self.records[decoded.id] = InstanceRecord(
                decoded.domain,
                decoded.slots,
                pace=self._create_pace(decoded.id),
                has_cooldowns=self._uses_cooldowns,
                has_answered=False,
            )
            self.pools[decoded.id] = self.connections.create_pool(
                decoded, self.records[decoded.id]
            )
        elif decoded.is_leaving and not known.is_leaving:
            self._log.info("instance-leaving", instance=decoded.id)
        for model, version in decoded.versions.items():
            newest = self.records[decoded.id].versions
            newest[model] = max(version, newest.get(model, 0))
        self._notify_change()

    def _create_pace(self, instance_id: str) -> InstancePace:
        pace = InstancePace()

        def notify(state: PaceState) -> None:
            record = self.records.get(instance_id)
            if record is None or record.pace is not pace:
                return
            self._log.info(
                "instance-pace",
                instance=instance_id,
                state=state.value,
                **pace.log_fields(self._now_s()),
            )
            for callback in self.on_pace_change:
                callback(instance_id, pace)

        pace.on_change = notify
        return pace

    def count_slowed(self) -> int:
        """Return the number of instances that are slowed now."""
        now_s = self._now_s()
        return sum(record.is_slowed(now_s) for record in self.records.values())

    def _discard_run(self, known: Instance, decoded: Instance) -> None:
        """Discard the record and connections of an instance that has restarted.

        The requests in flight there are lost. Closing their connections at once lets
        streams resume elsewhere without waiting up to 3 s for the silence timeout.
        """
        self._log.info(
            "instance-restarted",
            instance=decoded.id,
            born_ms=decoded.born_ms,
            earlier_born_ms=known.born_ms,
        )
        del self.records[decoded.id]
        self.pools.pop(decoded.id).close()

    def _apply_removal(self, instance_id: str) -> None:
        if instance_id not in self.instances:
            return
        outage_age_s = self._outage_age_s()
        is_open = self._is_open(self.instances[instance_id])
        if may_have_lapsed(outage_age_s) and is_open:
            self._lapsed_since_s.setdefault(instance_id, self._now_s())
            self._log.info(
                "instance-lapsed",
                instance=instance_id,
                outage_age_s=outage_age_s,
            )
            return
        self._remove(instance_id)

    @property
    def longest_unlisted_s(self) -> float:
        """Longest time for which an unlisted instance has stayed in use, in seconds."""
        now_s = self._now_s()
        return max(
            (now_s - since_s for since_s in self._lapsed_since_s.values()), default=0.0
        )

    def _remove(self, instance_id: str) -> None:
        now_s = self._now_s()
        self._unreadable.discard(instance_id)
        self._absent_since_s.pop(instance_id, None)
        self._log.info(
            "instance-gone",
            instance=instance_id,
            unlisted_s=round(now_s - self._lapsed_since_s.pop(instance_id, now_s), 3),
            outage_age_s=self._outage_age_s(),
        )
        del self.instances[instance_id]
        del self.records[instance_id]
        # Busy connections stay open, since their answers may still arrive.
        self.pools.pop(instance_id).retire()
        self._notify_change()

    def expire_lapsed(self) -> None:
        """Remove lapsed instances that weren't listed again within the grace period."""
        if may_have_lapsed(self._outage_age_s()):
            return
        for instance_id in tuple(self._lapsed_since_s):
            self._remove(instance_id)

    def _notify_change(self) -> None:
        for callback in self.on_change:
            callback()

    def _is_open(self, instance: Instance) -> bool:
        """Whether an instance gets new requests.

        The grace period of a lapsed instance is checked here too: the 0.25 s until the
        next ``expire_lapsed`` would exceed the limit of 3 s after a network failure.
        """
        if instance.is_leaving or instance.id in self._unreadable:
            return False
        absent_since_s = self._absent_since_s.get(instance.id)
        if (
            absent_since_s is not None
            and self._now_s() - absent_since_s < ABSENT_EXCLUSION_S
        ):
            return False
        return instance.id not in self._lapsed_since_s or may_have_lapsed(
            self._outage_age_s()
        )

    def open_instances(self, upstream: str) -> Iterator[Instance]:
        """Return the instances of an upstream that get new requests."""
        return (
            item
            for item in self.instances.values()
            if item.upstream == upstream and self._is_open(item)
        )

    def handle_of(self, instance_id: str) -> InstanceHandle | None:
        """Return the handle of an instance; None if the instance isn't known."""
        instance = self.instances.get(instance_id)
        if instance is None:
            return None
        return InstanceHandle(
            instance, self.records[instance_id], self.pools[instance_id]
        )

    def open_handles(self, upstream: str) -> Iterator[InstanceHandle]:
        """Return handles of the instances of an upstream that get new requests."""
        return (
            InstanceHandle(item, self.records[item.id], self.pools[item.id])
            for item in self.open_instances(upstream)
        )

    def record_samples(self, owner: str, by_engine: Mapping[str, int]) -> None:
        """Record how many samples of another owner's jobs run on each engine."""
        now_s = self._now_s()
        for instance_id, record in self.records.items():
            record.owner_reports.pop(owner, None)
            count = by_engine.get(instance_id, 0)
            if count > 0:
                record.owner_reports[owner] = count, now_s

    def mark_absent(self, handle: InstanceHandle) -> None:
        """Stop sending to an instance at whose address another instance answers.

        The instance is used again when a newer entry lists it, when it answers, or when
        ``ABSENT_EXCLUSION_S`` have passed.
        """
        if self.records.get(handle.id) is not handle.record:
            return
        now_s = self._now_s()
        since_s = self._absent_since_s.get(handle.id, float("-inf"))
        if now_s - since_s < ABSENT_EXCLUSION_S:
            return
        self._absent_since_s[handle.id] = now_s
        handle.record.has_answered = False
        handle.pool.close_idle()
        self._log.warning("instance-absent", instance=handle.id)
        if should_read_list(self._absent_since_s.values(), self._list_read_s, now_s):
            self._list_read_s = now_s
            for callback in self.on_list_outdated:
                callback()

    def mark_present(self, handle: InstanceHandle) -> None:
        """Record that the instance itself has answered at its address."""
        handle.record.has_answered = True
        self._absent_since_s.pop(handle.id, None)

    def accepts_requests(self, instance_id: str) -> bool:
        """Whether an instance is known and gets new requests."""
        found = self.instances.get(instance_id)
        return found is not None and self._is_open(found)
