"""Structured logs."""

from ._logs import BoundedWriter, configure_bounded_logs, configure_logs, logger

__all__ = ["BoundedWriter", "configure_bounded_logs", "configure_logs", "logger"]
