"""JSON log lines through structlog, rate-limited and non-blocking."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from typing import Any, Final, TextIO

import structlog

#: Rate limit of a process, in lines per second. Each decision takes one line, and the
#: days with the highest load have some hundred decisions per second on one node.
LINES_PER_S: Final = 400
#: Maximum number of lines in a burst: the capacity of the token bucket.
_BURST_LINES: Final = 1200


class BoundedWriter:
    """Writes lines to a descriptor and drops and counts lines above the rate limit.

    A slow reader causes dropped lines and never delays a request.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
        lines_per_s: float = LINES_PER_S,
        node: str = "",
    ) -> None:
        self._node = node
        self._descriptor = descriptor
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._tokens = float(_BURST_LINES)
        self._refilled_s = clock()
        # Remainder of a partially written line.
        self._remainder = b""
        # Lines dropped since the last report of dropped lines.
        self._unreported = 0
        # Lines dropped since the start.
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        if not self._take_token() or not self._write_remainder():
            self._count_dropped()
            return
        text = line
        if self._unreported:
            report = {"event": "lines-dropped", "count": self._unreported}
            text += "\n" + json.dumps(report | {"node": self._node})
        if self._write(text.encode() + b"\n"):
            self._unreported = 0
        else:
            self._count_dropped()

    def _take_token(self) -> bool:
        now_s = self._clock()
        gained = (now_s - self._refilled_s) * self._lines_per_s
        self._tokens = min(_BURST_LINES, self._tokens + gained)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _count_dropped(self) -> None:
        self.dropped += 1
        self._unreported += 1

    def _write_remainder(self) -> bool:
        """Write the remainder of the last line; return whether nothing remains."""
        if self._remainder and not self._write(self._remainder):
            return False
        return not self._remainder

    def _write(self, data: bytes) -> bool:
        """Write data and keep the remainder; return False if the write would block."""
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        self._remainder = data[written:]
        return True


class _LineLogger:
    """Logger that passes structlog's rendered lines to a bounded writer."""

    def __init__(self, write: BoundedWriter) -> None:
        self.msg = write

    debug = info = warning = error = critical = property(lambda self: self.msg)


def configure_logs(node: str, program: str, stream: TextIO = sys.stderr) -> None:
    """Write the log lines of this process to ``stream`` as JSON, with the node."""
    configure_lines(
        node, program, structlog.PrintLoggerFactory(stream), (_iso_timestamp(),)
    )


def configure_bounded_logs(node: str, program: str) -> BoundedWriter:
    """Write the log lines as :func:`configure_logs`, to a bounded standard output."""
    writer = BoundedWriter(sys.stdout.fileno(), node=node)
    configure_lines(node, program, lambda *_: _LineLogger(writer), (_iso_timestamp(),))
    return writer


def configure_lines(
    node: str, program: str, factory: Any, extra: tuple[Any, ...]
) -> None:
    """Configure structlog with a factory of loggers that take rendered lines."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            *extra,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node, program=program)


def _iso_timestamp() -> Any:
    return structlog.processors.TimeStamper(fmt="iso", utc=True)


def logger(module: str) -> Any:
    """Return the logger of a module."""
    return structlog.get_logger(module=module)
