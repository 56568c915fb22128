"""Writes a record of each step to the object API, in batches.

There is one object for each step and owner incarnation, so that no object has two
writers; the report merges the objects by the samples' indices.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any, Final

import attrs

from ..backing import StoredObject
from ..controllers import Node
from ..errors import ErrorKind, Refusal
from ..report import StepRecord, pack_step
from ..telemetry import logger

_log = logger(__name__)

_WRITE_INTERVAL_S: Final = 2.0


@attrs.frozen
class StepCounts:
    """The counters of a step that its owner keeps besides the receipts."""

    # Error kind to the number of sample requests that were refused or failed.
    refusals: Mapping[str, int] = attrs.field(factory=dict)
    # Reason to the number of tokens that were generated and not delivered.
    wasted_tokens: Mapping[str, int] = attrs.field(factory=dict)


class Ledger:
    """The step records of one owner that are not written yet."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._pending: dict[str, StepRecord] = {}
        self._versions: dict[str, int] = {}
        # Counts of each step that was ever recorded here, by path; some hundred bytes
        # a step.
        self._counts: dict[str, StepCounts] = {}

    def _path(self, trainer: str, step: int) -> str:
        name = f"{self._node.settings.node}.{self._node.incarnation}"
        return f"ledger/{trainer}/{step}/{name}"

    def put_record(self, record: StepRecord) -> None:
        """Keep the newest record of a step for the next batch of writes."""
        path = self._path(record.trainer, record.step)
        self._pending[path] = record
        self._counts[path] = StepCounts(record.refusals, record.wasted_tokens)

    def counts(self, trainer: str, step: int) -> StepCounts:
        """Return the counts of a step that was open here before."""
        return self._counts.get(self._path(trainer, step), StepCounts())

    def is_recorded(self, trainer: str, step: int) -> bool:
        """Return whether the newest record of a step is in the object API."""
        path = self._path(trainer, step)
        return path in self._versions and path not in self._pending

    async def run(self) -> None:
        """Write pending records at intervals until cancelled."""
        while True:
            await asyncio.sleep(_WRITE_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Write the pending records; keep those that could not be written.

        A refused record does not delay the others. The round ends only if the object
        API is unavailable, since each further call would run into its timeout.
        """
        for path, record in tuple(self._pending.items()):
            refusal = await self._write(path, pack_step(record))
            if refusal is None and self._pending.get(path) is record:
                del self._pending[path]
            if refusal is not None and refusal.kind is ErrorKind.PLATFORM_UNAVAILABLE:
                return

    async def _write(self, path: str, value: Any) -> Refusal | None:
        """Write one record; return a refusal if the write is not confirmed."""
        version = self._versions.get(path, 0)
        result = await asyncio.to_thread(self._node.api.put, path, value, version)
        if not isinstance(result, Refusal):
            self._versions[path] = result
            return None
        if result.kind in (ErrorKind.CONFLICT, ErrorKind.PLATFORM_UNCERTAIN):
            stored = await asyncio.to_thread(self._node.api.get, path)
            if isinstance(stored, StoredObject):
                self._versions[path] = stored.version
                if stored.value == value:
                    return None
        _log.warning(
            "ledger.not_written",
            path=path,
            kind=result.kind.value,
            reason=result.reason,
        )
        return result
