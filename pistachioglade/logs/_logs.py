"""JSON lines through structlog, bounded in volume and never blocking."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from typing import Any, Final, TextIO

import structlog

#: Lines that a process may write in a second. A decision takes one line and the
#: heaviest days have some hundred decisions a second on one node.
LINES_PER_S: Final = 400
#: Lines that may be saved up for a burst.
_BURST_LINES: Final = 1200


class BoundedWriter:
    """Writes lines to a descriptor; drops and counts what is too much.

    A reader that doesn't keep up costs lines, never the time of a request.
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
        self._filled_s = clock()
        # What a short write has left over.
        self._rest = b""
        # Lines dropped since the last line that told of any.
        self._untold = 0
        # Lines dropped in all.
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        if not self._take() or not self._finish_last():
            self._drop()
            return
        text = line
        if self._untold:
            told = {"event": "lines-dropped", "count": self._untold}
            text += "\n" + json.dumps(told | {"node": self._node})
        if self._write(text.encode() + b"\n"):
            self._untold = 0
        else:
            self._drop()

    def _take(self) -> bool:
        now_s = self._clock()
        gained = (now_s - self._filled_s) * self._lines_per_s
        self._tokens = min(_BURST_LINES, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self._untold += 1

    def _finish_last(self) -> bool:
        """Write what is left of the last line; return whether nothing is."""
        if self._rest and not self._write(self._rest):
            return False
        return not self._rest

    def _write(self, data: bytes) -> bool:
        """Return whether the data went out or its rest is kept for the next line."""
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        self._rest = data[written:]
        return True


class _LineLogger:
    """The logger that structlog hands finished lines to."""

    def __init__(self, write: BoundedWriter) -> None:
        self.msg = write

    debug = info = warning = error = critical = property(lambda self: self.msg)


def configure_logs(node: str, program: str, stream: TextIO = sys.stderr) -> None:
    """Write every log line of this process as JSON, with its node."""
    configure_lines(
        node, program, structlog.PrintLoggerFactory(stream), (_iso_timestamp(),)
    )


def configure_bounded_logs(node: str, program: str) -> BoundedWriter:
    """As :func:`configure_logs`, on standard output, bounded and never blocking."""
    writer = BoundedWriter(sys.stdout.fileno(), node=node)
    configure_lines(node, program, lambda *_: _LineLogger(writer), (_iso_timestamp(),))
    return writer


def configure_lines(
    node: str, program: str, factory: Any, extra: tuple[Any, ...]
) -> None:
    """Set structlog up with a factory of loggers that take finished lines."""
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
