"""The entry program, which serves callers: its composition root and lifecycle."""

from __future__ import annotations

import asyncio
import secrets
import signal
from functools import partial
from typing import Final

from ..decisions import (
    FULL_POLICY,
    RETRY_PERCENT,
    Mechanism,
    Policy,
    RetryBudget,
    entry_capacity,
    successor_of,
)
from ..forwarding import (
    AdmissionGate,
    FleetView,
    Forwarder,
    InstanceConnections,
    StreamForwarder,
)
from ..jobs import JobCleaner, JobLedger, JobOwner, JobReader
from ..links import Identity, LinkPool, LinkServer
from ..logs import logger
from ..messages import EngineUnattended, FetchChanges, FetchNewer, RelayCall
from ..metrics import Metrics
from ..platform import ProcessSettings
from ..quarantine import CRASH_KIND, CrashLedger, CrashRecordStore, CrashReports
from ..store import StoreClient
from ..tasks import Supervisor
from ..weights import FallbackEngineOrders
from ._configuration_check import ConfigurationCheck
from ._duties import Duties
from ._entry_gauges import register_gauges
from ._entry_memory import EntryMemory
from ._entry_messages import EntryMessages
from ._entry_mirrors import EntryMirrors, MirrorBounds
from ._entry_servers import EntryServers
from ._ingress import Ingress
from ._job_calls import JobCalls
from ._members import ENTRY_KIND, Members
from ._neighbour import NeighbourWatch
from ._pace_reports import PaceReports
from ._peers import Peers
from ._planned_stop import PlannedStop
from ._refusal_reports import RefusalReports
from ._scaling_duty import ScalingDuty
from ._secret import SHARED_SECRET
from ._settings_watch import SettingsWatch
from ._store_ways import StoreRelays
from ._submitted_jobs import SubmittedJobs
from ._usage_duty import UsageDuty
from ._version_announcer import VersionAnnouncer, is_program_alive, notify_fallback
from ._watch_relays import WatchRelays

#: Time between two checks for idle connections and expired instances.
_HOUSEKEEPING_S: Final = 0.25
#: Retries per hundred first attempts without a retry budget: more than a route allows.
_UNBOUNDED_PERCENT: Final = 100_000


class EntryProgram:
    """Builds the components of one entry and runs them until SIGTERM."""

    def __init__(
        self, watch: SettingsWatch, metrics: Metrics, policy: Policy = FULL_POLICY
    ) -> None:
        settings = watch.settings
        self._watch = watch
        watch.on_change.append(self._apply_settings)
        self._settings = settings
        self._log = logger(__name__)
        self._store = StoreClient(
            settings.store.host,
            settings.store.port,
            metrics,
            settings.max_object_bytes,
            policy,
        )
        self._is_leaving = asyncio.Event()
        # A task that is given up stops the process in order; the platform restarts it.
        self._supervisor = Supervisor(metrics, self._is_leaving.set)
        self._memory = EntryMemory(metrics, policy)
        connections = InstanceConnections(
            self._memory.memory, metrics, policy, lambda: len(self._members.names)
        )
        self._view = FleetView(lambda: self._store.outage_age_s, policy, connections)
        boot = secrets.token_hex(4)
        self._address = f"{settings.host}:{settings.internal_port}"
        identity = Identity(settings.node, SHARED_SECRET)
        links = LinkPool(identity)
        self._members = Members(
            settings.node,
            self._address,
            entry_capacity(settings.cpu_cores, settings.link_mbps),
            boot,
            self._store,
            self._view,
            policy,
            settings.domain,
        )
        current = self._members.current
        usage = UsageDuty(settings, boot, current, self._store, links, metrics)
        is_bounded = policy.uses(Mechanism.RETRY_BUDGET)
        budget = RetryBudget(RETRY_PERCENT if is_bounded else _UNBOUNDED_PERCENT)
        self._crashes = CrashLedger()
        self._gate = AdmissionGate(self._view, metrics, policy)
        self._refusals = RefusalReports(self._members.load_peers, links, self._gate)
        forwarding = (
            self._view,
            settings.domain,
            metrics,
            budget,
            self._crashes,
            usage.meter,
            self._gate,
        )
        self._forwarder = Forwarder(*forwarding)
        streams = StreamForwarder(*forwarding)
        self._ledger = JobLedger(self._memory.memory)
        reader = JobReader(
            self._members.own_name,
            self._ledger,
            self._store,
            links,
            lambda job_id: job_id in self._owner.runs,
        )
        self._owner = JobOwner(
            self._members.own_name,
            boot,
            self._view,
            self._ledger,
            self._store,
            self._forwarder,
            reader,
            metrics,
            policy,
            lambda upstream: self._members.engines_preferred_by_others(upstream),
        )
        scaling = ScalingDuty(
            settings,
            boot,
            current,
            self._view,
            self._owner,
            self._store,
            links,
        )
        self._duties = Duties(usage, scaling)
        self._store_relays = StoreRelays(self._members, self._store, links, policy)
        self._store.relays = self._store_relays.relays
        self._fallback_orders = FallbackEngineOrders(
            settings.node,
            boot,
            self._store,
            self._view,
            partial(is_program_alive, links, settings.internal_port),
            partial(notify_fallback, self._members, links),
            self._members.choose_fallback_entry,
            partial(self._supervisor.start, may_end=True),
            settings.lease_s,
            settings.checks_fences,
            policy,
        )
        self._watch_relays = WatchRelays(
            self._members, links, self._store, settings.drain_s, policy
        )
        self._peers = Peers(
            self._members,
            self._view,
            boot,
            self._store,
            links,
            self._ledger,
            self._owner,
            self._crashes,
            policy,
        )
        self._pace_reports = PaceReports(
            self._members, self._view, links, metrics, policy
        )
        self._crash_records = CrashRecordStore(
            self._crashes,
            self._store,
            self._watch_relays.fetch_changes,
            lambda digest: successor_of(digest, self._members.names) == settings.node,
        )
        self._crash_reports = CrashReports(
            self._crashes,
            self._members.names_that_may_serve,
            self._peers.report_crashes,
            self._peers.link_to,
        )
        self._neighbour = NeighbourWatch(
            self._members,
            self._store,
            links,
            self._store_relays,
            self._peers.reassign_jobs,
            policy,
        )
        self._cleaner = JobCleaner(
            self._ledger,
            self._store,
            settings.result_retention_s,
            self._peers.is_responsible_for,
        )
        self._versions = VersionAnnouncer(
            self._store,
            self._view,
            self._members,
            links,
            settings.internal_port,
            self._owner.models,
            self._fallback_orders,
            settings.config_apply_s,
            policy,
        )
        self._owner.on_run_started.append(self._versions.refresh_for_job)
        calls = JobCalls(
            self._owner,
            self._ledger,
            self._store,
            reader,
            self._peers,
            self._members,
            lambda: self._servers.callers.is_crowded,
        )
        ingress = Ingress(self._view, self._forwarder, streams, calls, metrics)
        self._servers = EntryServers(
            ingress.handle, lambda: self.is_ready, self._memory, metrics, settings
        )
        self._mirrors = EntryMirrors(
            self._store,
            self._view,
            self._ledger,
            self._owner,
            self._watch_relays,
            self._mirror_bounds,
        )
        self._configuration_check = ConfigurationCheck(
            self._members.current,
            links,
            self._store,
            self._mirrors.configurations,
            settings.config_apply_s,
            policy,
        )
        self._watch_relays.mirrors = {
            **self._mirrors.by_kind,
            CRASH_KIND: self._crash_records.mirror,
        }
        self._link_server = LinkServer(identity, self._entry_messages().answer)
        self._view.on_list_outdated.append(self._mirrors.instances.fetch_now)
        self._view.on_configuration.append(
            lambda: self._servers.apply_limits(self._view.configuration)
        )
        self._view.on_configuration.append(self._owner.reconcile_all)
        register_gauges(
            metrics,
            self._servers.callers,
            self._owner,
            self._view,
            self._mirrors.instances,
            self._mirrors.configurations,
            self._crashes,
            self._duties,
            self._memory,
        )

    def _mirror_bounds(self) -> MirrorBounds:
        """Return the times for which this entry may use old copies."""
        settings = self._settings
        return MirrorBounds(
            settings.config_apply_s, settings.drain_s, settings.cancel_s
        )

    def _entry_messages(self) -> EntryMessages:
        """Return what answers the messages of other entries."""
        messages = EntryMessages()
        self._peers.register_messages(messages)
        submitted = SubmittedJobs(self._ledger, self._peers.can_take_job)
        submitted.register_messages(messages)
        self._duties.register_messages(messages)
        self._pace_reports.register_messages(messages)
        self._refusals.register_messages(messages)
        messages.register(FetchChanges, self._watch_relays.answer)
        messages.register(FetchNewer, self._configuration_check.answer)
        messages.register(RelayCall, self._store_relays.answer)
        messages.register(EngineUnattended, self._fallback_orders.accept_engine)
        return messages

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send callers to this entry."""
        return (
            not self._is_leaving.is_set()
            and self._view.configuration is not None
            and self._mirrors.instances.is_synced.is_set()
            and self._mirrors.jobs.is_synced.is_set()
            and self._crash_records.mirror.is_synced.is_set()
        )

    def _start_tasks(self) -> None:
        """Start every background task of the entry, each under its own name."""
        start = self._supervisor.start
        node = self._settings.node
        store_check = partial(
            self._store.run_probes,
            ENTRY_KIND,
            node,
            lambda: self._watch_relays.store_check_interval_s,
        )
        start("configurations", self._mirrors.configurations.run)
        start("configuration-check", self._configuration_check.run, may_end=True)
        start("instances", self._mirrors.instances.run)
        start("jobs", self._mirrors.jobs.run)
        start("entries", self._members.mirror.run)
        start("crash-records", self._crash_records.mirror.run)
        start("crash-record-writes", self._crash_records.run)
        start("crash-reports", self._crash_reports.run)
        start("crash-record-expiry", self._crash_records.expire)
        start("versions", self._versions.mirror.run)
        start("announcements", self._versions.run)
        start("store-beat", store_check)
        start("enabling-jobs", self._enable_jobs, may_end=True)
        start("enrolment", self._members.maintain_listing, may_end=True)
        start("neighbour", self._neighbour.run)
        start("samples-running", self._peers.report_samples)
        start("paces", self._pace_reports.run)
        start("orphans", self._peers.reassign_orphans)
        start("store-ways", self._store_relays.run, may_end=True)
        start("refusal-reports", self._refusals.run)
        start("cleaner", self._cleaner.run)
        start("owner", self._owner.run_scheduler)
        start("texts", self._owner.save_texts, may_end=True)
        for name, work in self._duties.tasks().items():
            start(name, work)
        start("housekeeping", self._do_housekeeping)
        start("settings", self._watch.run)

    async def run(self) -> None:
        """Serve until SIGTERM."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._is_leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._watch.request_reload)
        await self._servers.start(settings)
        await self._link_server.start(self._address)
        self._start_tasks()
        self._log.info("started", program="entry", listens=str(settings.callers))
        await self._is_leaving.wait()
        await self._create_stop().run()

    def _create_stop(self) -> PlannedStop:
        return PlannedStop(
            self._settings,
            self._servers.callers,
            self._owner,
            self._peers,
            self._members,
            (self._fallback_orders.release_all, self._duties.stop),
            self._gate.refuse_waiting,
        )

    async def _enable_jobs(self) -> None:
        """Start to run jobs once all job records of the store have been read."""
        await self._mirrors.jobs.is_synced.wait()
        self._owner.enable()

    def _apply_settings(self, settings: ProcessSettings) -> None:
        """Apply the settings that can change while the entry serves callers."""
        self._settings = settings
        self._servers.apply(settings)
        self._store.move_to(settings.store.host, settings.store.port)
        self._store.max_object_bytes = settings.max_object_bytes
        self._cleaner.retention_s = settings.result_retention_s
        self._members.set_capacity(
            entry_capacity(settings.cpu_cores, settings.link_mbps)
        )

    async def _do_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            now_s = asyncio.get_running_loop().time()
            self._servers.close_timed_out(now_s)
            self._view.expire_lapsed()
