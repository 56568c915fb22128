"""Gauges of an entry, evaluated when the entry's metrics are requested."""

from __future__ import annotations

from ..forwarding import FleetView
from ..http1 import HttpServer
from ..jobs import JobOwner
from ..metrics import Metrics
from ..quarantine import CrashLedger
from ..store import Mirror
from ._duties import Duties
from ._entry_memory import EntryMemory


def register_gauges(
    metrics: Metrics,
    callers: HttpServer,
    owner: JobOwner,
    view: FleetView,
    instances: Mirror,
    configurations: Mirror,
    crashes: CrashLedger,
    duties: Duties,
    memory: EntryMemory,
) -> None:
    """Register an entry's gauges."""
    memory.register_gauges()
    metrics.register_gauge(
        "pistachioglade_busy_connections",
        "Callers' connections with a request in progress.",
        lambda: callers.busy_count,
    )
    metrics.register_gauge(
        "pistachioglade_jobs_running",
        "Jobs that this entry runs.",
        lambda: len(owner.runs),
    )
    metrics.register_gauge(
        "pistachioglade_unlisted_instance_seconds",
        "Longest time for which an instance is in use that left the list.",
        lambda: view.longest_unlisted_s,
    )
    metrics.register_gauge(
        "pistachioglade_instances_age_seconds",
        "Time since the store last told of the list of instances.",
        lambda: instances.age_s,
    )
    metrics.register_gauge(
        "pistachioglade_configuration_version",
        "Version of the configuration in force; 0 before the first.",
        lambda: view.configuration.version if view.configuration else 0,
    )
    metrics.register_gauge(
        "pistachioglade_configuration_age_seconds",
        "Time since the store last told of the configuration.",
        lambda: configurations.age_s,
    )
    metrics.register_gauge(
        "pistachioglade_duties_held",
        "Duties towards the platform whose lease this entry holds.",
        lambda: duties.held_count,
    )
    metrics.register_gauge(
        "pistachioglade_known_paces",
        "Instances whose lasting pace this entry knows.",
        lambda: sum(item.lasting_gap_s() is not None for item in view.records.values()),
    )
    metrics.register_gauge(
        "pistachioglade_slowed_instances",
        "Instances that are much slower than their lasting pace explains.",
        view.count_slowed,
    )
    metrics.register_gauge(
        "pistachioglade_quarantined_requests",
        "Requests that are refused since instances ended while they ran them.",
        lambda: crashes.quarantined_count,
    )
