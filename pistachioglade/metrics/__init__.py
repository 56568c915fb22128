"""Counters and latency histograms of the serving programs, and their HTTP endpoint."""

from ._metrics import Metrics
from ._server import (
    METRICS_PATH,
    METRICS_PORT_VARIABLE,
    create_probe_server,
    serve_metrics,
)

__all__ = [
    "METRICS_PATH",
    "METRICS_PORT_VARIABLE",
    "Metrics",
    "create_probe_server",
    "serve_metrics",
]
