"""JSON lines on standard error, through structlog."""

from __future__ import annotations

import sys
from typing import Any

import structlog


def configure_logs(node: str, program: str) -> None:
    """Write every log line of this process as JSON, with its node."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node, program=program)


def logger(module: str) -> Any:
    """Return the logger of a module."""
    return structlog.get_logger(module=module)
