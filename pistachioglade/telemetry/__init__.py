"""Logs, metrics and traces."""

from ..logs import configure_logs, logger
from ._metrics import Metrics
from ._traces import Tracing

__all__ = ["Metrics", "Tracing", "configure_logs", "logger"]
