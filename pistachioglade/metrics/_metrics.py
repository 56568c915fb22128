"""The metrics of a serving program; docs/OPERATIONS.md explains their names."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

#: Bucket bounds for the times of lookups, around their targets of 0.15 to 0.43 s.
_CALL_BOUNDS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
#: Bucket bounds for the times of store calls, around the usual 4 ms and the limit of
#: 1 s.
_STORE_BOUNDS_S: Final = (0.005, 0.01, 0.025, 0.1, 0.25, 1.0)
#: Bucket bounds for the times of samples and results, around a step's 7.5 s.
_SAMPLE_BOUNDS_S: Final = (0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class Metrics:
    """The metrics of one process.

    Each object has its own registry, so that each test starts with fresh metrics.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "pistachioglade_requests",
            "Callers' requests by what they asked for and the answer's status.",
            ("call", "status"),
            registry=self._registry,
        )
        self._request_s = Histogram(
            "pistachioglade_request_seconds",
            "Time from a request's last byte to its answer.",
            ("call",),
            buckets=_CALL_BOUNDS_S,
            registry=self._registry,
        )
        self._tries = Counter(
            "pistachioglade_upstream_tries",
            "Requests sent to instances by how each try ended.",
            ("outcome",),
            registry=self._registry,
        )
        self._streams = Counter(
            "pistachioglade_streams",
            "Callers' streams by how they ended, once they had begun.",
            ("end",),
            registry=self._registry,
        )
        self._item_tries = Counter(
            "pistachioglade_item_tries",
            "Tries of samples by how they ended.",
            ("outcome",),
            registry=self._registry,
        )
        self._item_s = Histogram(
            "pistachioglade_item_try_seconds",
            "Time of one try of a sample.",
            buckets=_SAMPLE_BOUNDS_S,
            registry=self._registry,
        )
        self._item_moves = Counter(
            "pistachioglade_item_moves",
            "Running samples that were moved to another engine, by reason.",
            ("reason",),
            registry=self._registry,
        )
        self._client_ends = Counter(
            "pistachioglade_clients_cut_off",
            "Clients that were cut off, by server and reason.",
            ("server", "reason"),
            registry=self._registry,
        )
        self._samples_waiting = Gauge(
            "pistachioglade_samples_waiting",
            "Samples that wait for an engine, by trainer.",
            ("trainer",),
            registry=self._registry,
        )
        self._tokens_started = Counter(
            "pistachioglade_sample_tokens_started",
            "Expected tokens of the samples that were started, by trainer.",
            ("trainer",),
            registry=self._registry,
        )
        self._results = Counter(
            "pistachioglade_results_listed",
            "Results that the store has taken from this process.",
            registry=self._registry,
        )
        self._result_age_s = Histogram(
            "pistachioglade_result_age_seconds",
            "Age of the oldest result of a batch when the store had taken it.",
            buckets=_SAMPLE_BOUNDS_S,
            registry=self._registry,
        )
        self._store_calls = Counter(
            "pistachioglade_store_calls",
            "Calls to the store by method and outcome.",
            ("method", "outcome"),
            registry=self._registry,
        )
        self._store_s = Histogram(
            "pistachioglade_store_call_seconds",
            "Time of one call to the store, watches left out.",
            buckets=_STORE_BOUNDS_S,
            registry=self._registry,
        )
        self._watches = Counter(
            "pistachioglade_store_watches",
            "Watches of the store by kind and by whether they were answered.",
            ("kind", "outcome"),
            registry=self._registry,
        )
        self._pace_changes = Counter(
            "pistachioglade_pace_changes",
            "Changes of the state of an instance's pace, by the new state.",
            ("state",),
            registry=self._registry,
        )
        self._paces_reported = Counter(
            "pistachioglade_paces_reported",
            "Paces of instances that other entries reported, by what became of them.",
            ("outcome",),
            registry=self._registry,
        )
        self._connections = Counter(
            "pistachioglade_connections",
            "Connections to instances by upstream: opened, reused, awaited at the"
            " limit, and closed by reason.",
            ("upstream", "event"),
            registry=self._registry,
        )
        self._usage_windows = Counter(
            "pistachioglade_usage_windows",
            "Windows of usage by how their report ended at this entry.",
            ("outcome",),
            registry=self._registry,
        )
        self._refusals = Counter(
            "pistachioglade_refusals",
            "Callers' requests that were refused, by kind.",
            ("kind",),
            registry=self._registry,
        )
        self._task_failures = Counter(
            "pistachioglade_task_failures",
            "Failures of background work by its name; it starts again.",
            ("task",),
            registry=self._registry,
        )
        self._unreadable = Counter(
            "pistachioglade_unreadable",
            "Answers and objects of the store that could not be read, by kind.",
            ("kind",),
            registry=self._registry,
        )
        self._queue_lengths = Gauge(
            "pistachioglade_admission_queue",
            "Lookups and streams that wait for an instance, by upstream.",
            ("upstream",),
            registry=self._registry,
        )
        self._queue_s = Histogram(
            "pistachioglade_admission_wait_seconds",
            "Time that a lookup or a stream waited before it was sent to an instance.",
            ("upstream",),
            buckets=_CALL_BOUNDS_S,
            registry=self._registry,
        )
        self._queue_refusals = Counter(
            "pistachioglade_admission_refusals",
            "Lookups and streams that were refused while no instance had room.",
            ("upstream", "reason"),
            registry=self._registry,
        )

    def record_queue_length(self, upstream: str, length: int) -> None:
        """Set the number of requests that wait for an upstream."""
        self._queue_lengths.labels(upstream).set(length)

    def record_queue_wait(self, upstream: str, waited_s: float) -> None:
        """Record how long a request waited before it was sent."""
        self._queue_s.labels(upstream).observe(waited_s)

    def record_queue_refusal(self, upstream: str, reason: str) -> None:
        """Count a request that was refused by the queue."""
        self._queue_refusals.labels(upstream, reason).inc()

    def record_pace_change(self, state: str) -> None:
        """Count a change of the state of an instance's pace."""
        self._pace_changes.labels(state).inc()

    def record_paces_reported(self, outcome: str, count: int) -> None:
        """Count paces that another entry reported."""
        self._paces_reported.labels(outcome).inc(count)

    def record_connection(self, upstream: str, event: str) -> None:
        """Count an event of the connections to an upstream's instances."""
        self._connections.labels(upstream, event).inc()

    def record_usage_window(self, outcome: str) -> None:
        """Count a window of usage by how its report ended here."""
        self._usage_windows.labels(outcome).inc()

    def record_refusal(self, kind: str) -> None:
        """Count a caller's request that was refused."""
        self._refusals.labels(kind).inc()

    def record_client_end(self, server: str, reason: str) -> None:
        """Count a client that a server has cut off."""
        self._client_ends.labels(server, reason).inc()

    def record_task_failure(self, name: str) -> None:
        """Count a failure of background work."""
        self._task_failures.labels(name).inc()

    def record_unreadable(self, kind: str) -> None:
        """Count an answer or an object of the store that could not be read."""
        self._unreadable.labels(kind).inc()

    def register_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Expose a value that ``read`` returns at each scrape."""
        Gauge(name, text, registry=self._registry).set_function(read)

    def record_request(self, call: str, status: int, took_s: float) -> None:
        """Count a caller's answered request and its time."""
        self._requests.labels(call, status).inc()
        self._request_s.labels(call).observe(took_s)

    def record_attempt(self, outcome: str) -> None:
        """Count an attempt at an instance."""
        self._tries.labels(outcome).inc()

    def record_stream_end(self, end: str) -> None:
        """Count the end of a caller's stream that had begun."""
        self._streams.labels(end).inc()

    def record_item_attempt(self, outcome: str, took_s: float) -> None:
        """Count an attempt at a sample and its time."""
        self._item_tries.labels(outcome).inc()
        self._item_s.observe(took_s)

    def record_move(self, reason: str) -> None:
        """Count a running sample that was moved to another engine."""
        self._item_moves.labels(reason).inc()

    def record_samples_waiting(self, waiting: Mapping[str, int]) -> None:
        """Set how many samples wait, by trainer; trainers without a job are removed."""
        self._samples_waiting.clear()
        for trainer, samples in waiting.items():
            self._samples_waiting.labels(trainer).set(samples)

    def record_sample_start(self, trainer: str, tokens: int) -> None:
        """Count the expected tokens of a sample that was started."""
        self._tokens_started.labels(trainer).inc(tokens)

    def record_results(self, count: int, oldest_age_s: float) -> None:
        """Count the results of a batch in the store and record the oldest age."""
        self._results.inc(count)
        self._result_age_s.observe(oldest_age_s)

    def record_store_call(self, method: str, outcome: str, took_s: float) -> None:
        """Count a call to the store and its time."""
        self._store_calls.labels(method, outcome).inc()
        self._store_s.observe(took_s)

    def record_watch(self, kind: str, outcome: str) -> None:
        """Count a watch of the store by how it ended."""
        self._watches.labels(kind, outcome).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
