"""What one node knows of routes, instances and their conduct."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Mapping

import attrs

from ..decisions import (
    ABSENT_S,
    FULL_POLICY,
    InstanceRecord,
    InstanceRun,
    Mechanism,
    Policy,
    may_have_lapsed,
    run_of,
    should_read_list,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Configuration, Instance
from ..http1 import Pool
from ..logs import logger
from ..platform import Entry, decode_configuration, decode_instance, names


def _refuse_run(read: Instance, run: InstanceRun) -> Refusal | None:
    """Return why an entry doesn't count; None if it tells of a run that may be on."""
    if run is InstanceRun.UNNAMED:
        reason = f"instance {read.id:.80}: an entry of no run"
        return refuse(ErrorKind.UNREADABLE, reason)
    if run is InstanceRun.EARLIER:
        reason = f"instance {read.id:.80}: a late entry of run {read.born_ms}"
        return refuse(ErrorKind.CONFLICT, reason)
    return None


@attrs.frozen
class InstanceHandle:
    """An instance for one request, whatever becomes of its place on the list."""

    # The instance as it was listed when it was chosen.
    instance: Instance
    # Its conduct.
    record: InstanceRecord
    # Connections to it.
    pool: Pool

    @property
    def id(self) -> str:
        """Id of the instance."""
        return self.instance.id


class FleetView:
    """Routes, instances, their connections and their records."""

    def __init__(
        self,
        outage_age_s: Callable[[], float | None],
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._may_rest = policy.uses(Mechanism.RESTS)
        # Seconds since the store itself was away; None if it never was.
        self._outage_age_s = outage_age_s
        self._log = logger(__name__)
        # Instances that left the list around an outage, and stay in use for a moment,
        # with when they left it.
        self._lapsed: dict[str, float] = {}
        # Instances at whose addresses others answer, with when that was seen.
        self._absent_s: dict[str, float] = {}
        self._list_read_s = float("-inf")
        # Called when the list of instances is found to be out of date.
        self.on_outdated: list[Callable[[], None]] = []
        # Instances whose entries can't be read; they get no new requests.
        self._unreadable: set[str] = set()
        # The configuration in force; None before the first.
        self.configuration: Configuration | None = None
        # Instances by id.
        self.instances: dict[str, Instance] = {}
        # Conduct by id.
        self.records: dict[str, InstanceRecord] = {}
        # Kept connections by id.
        self.pools: dict[str, Pool] = {}
        # Called after each change.
        self.on_change: list[Callable[[], None]] = []
        # Called after each change of the configuration, before those.
        self.on_configuration: list[Callable[[], None]] = []

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def take_configuration(self, entry: Entry, is_removed: bool) -> None:
        """Put a configuration in force, unless it is older or can't be read."""
        if is_removed or entry.name != names.CONFIGURATION_NAME:
            return
        read = decode_configuration(entry.value)
        if isinstance(read, Refusal):
            self._log.error("configuration-refused", reason=read.reason)
            return
        if self.configuration and self.configuration.version >= read.version:
            return
        self.configuration = read
        self._log.info("configuration-in-force", version=read.version)
        for callback in self.on_configuration:
            callback()
        self._changed()

    def take_instance(self, entry: Entry, is_removed: bool) -> None:
        """Take an entry of the list of instances, or its removal."""
        if is_removed:
            self._removed(entry.name)
            return
        read = decode_instance(entry.name, entry.value)
        known = self.instances.get(entry.name)
        run = InstanceRun.KNOWN
        if not isinstance(read, Refusal) and known is not None:
            run = run_of(known.born_ms, read.born_ms)
            read = _refuse_run(read, run) or read
        if isinstance(read, Refusal):
            self._log.error("instance-refused", reason=read.reason)
            if known is not None and read.kind is ErrorKind.UNREADABLE:
                self._unreadable.add(entry.name)
                self._changed()
            return
        self._lapsed.pop(read.id, None)
        self._unreadable.discard(read.id)
        self._absent_s.pop(read.id, None)
        if known is not None and run is InstanceRun.LATER:
            self._end_run(known, read)
            known = None
        if known is not None and known.is_leaving:
            # What has announced its leaving stays out, whatever an entry says later.
            read = attrs.evolve(read, is_leaving=True)
        self.instances[read.id] = read
        if known is None:
            self._log.info("instance-listed", instance=read.id, upstream=read.upstream)
            self.records[read.id] = InstanceRecord(
                read.domain,
                read.slots,
                may_rest=self._may_rest,
                has_answered=False,
            )
            self.pools[read.id] = Pool(read.host, read.port)
        elif read.is_leaving and not known.is_leaving:
            self._log.info("instance-leaving", instance=read.id)
        for model, version in read.versions.items():
            seen = self.records[read.id].versions
            seen[model] = max(version, seen.get(model, 0))
        self._changed()

    def _end_run(self, known: Instance, read: Instance) -> None:
        """Forget what was believed of an instance that has started again.

        What ran there is lost: its connections end at once, so that streams go on
        elsewhere now and not when their silence shows it, up to 3 s later.
        """
        self._log.info(
            "instance-restarted",
            instance=read.id,
            born_ms=read.born_ms,
            earlier_born_ms=known.born_ms,
        )
        del self.records[read.id]
        self.pools.pop(read.id).close()

    def _removed(self, instance_id: str) -> None:
        if instance_id not in self.instances:
            return
        outage_age_s = self._outage_age_s()
        is_open = self._is_open(self.instances[instance_id])
        if may_have_lapsed(outage_age_s) and is_open:
            self._lapsed.setdefault(instance_id, self._now_s())
            self._log.info(
                "instance-lapsed",
                instance=instance_id,
                outage_age_s=outage_age_s,
            )
            return
        self._forget(instance_id)

    @property
    def longest_lapse_s(self) -> float:
        """Seconds for which an instance has been in use that isn't listed."""
        now_s = self._now_s()
        return max((now_s - since_s for since_s in self._lapsed.values()), default=0.0)

    def _forget(self, instance_id: str) -> None:
        now_s = self._now_s()
        self._unreadable.discard(instance_id)
        self._absent_s.pop(instance_id, None)
        self._log.info(
            "instance-gone",
            instance=instance_id,
            unlisted_s=round(now_s - self._lapsed.pop(instance_id, now_s), 3),
            outage_age_s=self._outage_age_s(),
        )
        del self.instances[instance_id]
        del self.records[instance_id]
        # Answers that are on their way may still come; idle connections go now.
        self.pools.pop(instance_id).close_idle()
        self._changed()

    def expire_lapsed(self) -> None:
        """Forget lapsed instances that haven't come back in time."""
        if may_have_lapsed(self._outage_age_s()):
            return
        for instance_id in tuple(self._lapsed):
            self._forget(instance_id)

    def _changed(self) -> None:
        for callback in self.on_change:
            callback()

    def _is_open(self, instance: Instance) -> bool:
        """Whether it takes new requests.

        Lapsed ones don't wait for the next housekeeping: its 0.25 s would pass the 3 s
        behind a cut.
        """
        if instance.is_leaving or instance.id in self._unreadable:
            return False
        absent_s = self._absent_s.get(instance.id)
        if absent_s is not None and self._now_s() - absent_s < ABSENT_S:
            return False
        return instance.id not in self._lapsed or may_have_lapsed(self._outage_age_s())

    def open_instances(self, upstream: str) -> Iterator[Instance]:
        """Return the instances of an upstream that take new requests."""
        return (
            item
            for item in self.instances.values()
            if item.upstream == upstream and self._is_open(item)
        )

    def handle_of(self, instance_id: str) -> InstanceHandle | None:
        """Return an instance to hold on to; None if it isn't known."""
        instance = self.instances.get(instance_id)
        if instance is None:
            return None
        return InstanceHandle(
            instance, self.records[instance_id], self.pools[instance_id]
        )

    def open_handles(self, upstream: str) -> Iterator[InstanceHandle]:
        """Return the instances of an upstream that take new requests, to hold."""
        return (
            InstanceHandle(item, self.records[item.id], self.pools[item.id])
            for item in self.open_instances(upstream)
        )

    def note_samples(self, owner: str, by_engine: Mapping[str, int]) -> None:
        """Take how many samples of another owner's jobs each engine has."""
        now_s = self._now_s()
        for instance_id, record in self.records.items():
            record.told.pop(owner, None)
            count = by_engine.get(instance_id, 0)
            if count > 0:
                record.told[owner] = count, now_s

    def note_absent(self, handle: InstanceHandle) -> None:
        """Use an instance no more at whose address another one answers.

        It is used again once a newer entry names it, or it answers.
        """
        if self.records.get(handle.id) is not handle.record:
            return
        now_s = self._now_s()
        since_s = self._absent_s.get(handle.id, float("-inf"))
        if now_s - since_s < ABSENT_S:
            return
        self._absent_s[handle.id] = now_s
        handle.record.has_answered = False
        handle.pool.close_idle()
        self._log.warning("instance-absent", instance=handle.id)
        if should_read_list(self._absent_s.values(), self._list_read_s, now_s):
            self._list_read_s = now_s
            for callback in self.on_outdated:
                callback()

    def note_present(self, handle: InstanceHandle) -> None:
        """Take that an instance has answered itself."""
        handle.record.has_answered = True
        self._absent_s.pop(handle.id, None)

    def may_send_to(self, instance_id: str) -> bool:
        """Whether an instance still takes new requests."""
        found = self.instances.get(instance_id)
        return found is not None and self._is_open(found)
