"""OpenTelemetry spans for each hop, written to a file as JSON lines."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

_PROPAGATOR = TraceContextTextMapPropagator()


class _JsonLinesExporter(SpanExporter):
    """Appends each span to a file as a line of JSON."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lock = threading.Lock()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        lines = [json.dumps(_span_fields(span)) + "\n" for span in spans]
        with self._lock, self._path.open("a", encoding="utf-8") as file:
            file.writelines(lines)
        return SpanExportResult.SUCCESS


def _span_fields(span: ReadableSpan) -> dict[str, Any]:
    context = span.get_span_context()
    parent = span.parent
    return {
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": f"{parent.span_id:016x}" if parent else "",
        "name": span.name,
        "node": span.resource.attributes.get("service.instance.id", ""),
        "start_unix_s": (span.start_time or 0) / 1e9,
        "duration_s": ((span.end_time or 0) - (span.start_time or 0)) / 1e9,
        "attributes": dict(span.attributes or {}),
    }


class Tracing:
    """The tracer of one process; without a path, it only propagates trace contexts."""

    def __init__(self, node: str, path: str, sample_ratio: float) -> None:
        self._provider: TracerProvider | None = None
        if path:
            self._provider = TracerProvider(
                resource=Resource({"service.instance.id": node}),
                sampler=ParentBased(TraceIdRatioBased(sample_ratio)),
            )
            exporter = _JsonLinesExporter(Path(path))
            self._provider.add_span_processor(
                BatchSpanProcessor(exporter, schedule_delay_millis=500)
            )

    @contextmanager
    def span(
        self, name: str, traceparent: str, **attributes: str | int | float
    ) -> Iterator[str]:
        """Open a child span of ``traceparent``; yield the header for the next hop."""
        if self._provider is None:
            yield traceparent
            return
        tracer = self._provider.get_tracer("pistachioglade")
        parent = _PROPAGATOR.extract({"traceparent": traceparent})
        with tracer.start_as_current_span(
            name, context=parent, attributes=attributes
        ) as span:
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
            yield carrier.get("traceparent", traceparent)

    def close(self) -> None:
        """Write the buffered spans and stop."""
        if self._provider is not None:
            self._provider.shutdown()
