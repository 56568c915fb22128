"""Counts answered and refused requests of this entry and writes usage records."""

from __future__ import annotations

import asyncio
import threading
import time
from collections import Counter
from typing import Final

import attrs
from hdrh.histogram import HdrHistogram

from ..backing import StoredObject
from ..controllers import Node
from ..errors import ErrorKind, Refusal
from ..messages import unstructure
from ..report import UsageRecord
from ..telemetry import logger

_log = logger(__name__)

_WRITE_INTERVAL_S: Final = 5.0
#: Range of the answer times in a histogram, in microseconds.
_LOWEST_US: Final = 1
_HIGHEST_US: Final = 3_600_000_000
_DIGITS: Final = 2
#: Maximum number of reasons counted for one caller; further reasons are counted
#: together.
_MAX_REASONS: Final = 50
#: Refusals after which the same records are written again under the same number: the
#: object API is unavailable, or the write may have taken effect.
_RETRYABLE: Final = frozenset(
    {
        ErrorKind.PLATFORM_UNAVAILABLE,
        ErrorKind.PLATFORM_UNCERTAIN,
        ErrorKind.CONFLICT,
        ErrorKind.UNREADABLE,
    }
)


@attrs.define
class _Tally:
    # Caller kind.
    kind: str
    # Number of answered requests.
    answered: int = 0
    # Number of refusals by kind and reason.
    refusals: Counter[str] = attrs.field(factory=Counter)
    # Histogram of the answer times, in microseconds.
    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    )


class UsageRecorder:
    """Records usage in consecutive time spans, each in its own object."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._lock = threading.Lock()
        self._since_unix_s = time.time()
        self._tallies: dict[str, _Tally] = {}
        self._unwritten: list[tuple[UsageRecord, ...]] = []
        self._number = 0

    def _tally(self, caller: str, kind: str) -> _Tally:
        return self._tallies.setdefault(caller, _Tally(kind))

    def answered(self, caller: str, kind: str, duration_s: float) -> None:
        """Count an answered request."""
        with self._lock:
            tally = self._tally(caller, kind)
            tally.answered += 1
            micros = min(_HIGHEST_US, max(_LOWEST_US, int(duration_s * 1e6)))
            tally.latency.record_value(micros)

    def refused(self, caller: str, kind: str, refusal: Refusal) -> None:
        """Count a refused request with its reason."""
        with self._lock:
            refusals = self._tally(caller, kind).refusals
            name = f"{refusal.kind.value}: {refusal.reason}"
            if name not in refusals and len(refusals) >= _MAX_REASONS:
                name = f"{refusal.kind.value}: other reasons"
            refusals[name] += 1

    async def run(self) -> None:
        """Write usage records at intervals until cancelled."""
        while True:
            await asyncio.sleep(_WRITE_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Close the current span and write the unwritten spans."""
        self._close_span()
        for _ in range(len(self._unwritten)):
            refusal = await self._write(self._unwritten[0])
            if refusal is None:
                self._unwritten.pop(0)
                self._number += 1
                continue
            _log.warning(
                "usage.not_written",
                number=self._number,
                kind=refusal.kind.value,
                reason=refusal.reason,
            )
            if refusal.kind in _RETRYABLE:
                return
            # The refusal looks permanent: the span must not delay later spans.
            self._unwritten.append(self._unwritten.pop(0))

    def _close_span(self) -> None:
        with self._lock:
            until_unix_s = time.time()
            tallies, self._tallies = self._tallies, {}
            since_unix_s, self._since_unix_s = self._since_unix_s, until_unix_s
        if tallies:
            self._unwritten.append(
                tuple(
                    UsageRecord(
                        since_unix_s,
                        until_unix_s,
                        caller,
                        tally.kind,
                        tally.answered,
                        dict(tally.refusals),
                        tally.latency.encode().decode(),
                    )
                    for caller, tally in tallies.items()
                )
            )

    async def _write(self, records: tuple[UsageRecord, ...]) -> Refusal | None:
        """Write the records of a span; return a refusal if the write is unconfirmed."""
        node = f"{self._node.settings.node}.{self._node.incarnation}"
        path = f"usage/{node}/{self._number:08d}"
        value = unstructure(records)
        api = self._node.api
        result = await asyncio.to_thread(api.put, path, value, 0)
        if not isinstance(result, Refusal):
            return None
        if result.kind in (ErrorKind.CONFLICT, ErrorKind.PLATFORM_UNCERTAIN):
            stored = await asyncio.to_thread(api.get, path)
            if isinstance(stored, StoredObject):
                return None
        return result
