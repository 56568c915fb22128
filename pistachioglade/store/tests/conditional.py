"""In-memory store with conditional writes, on a virtual clock."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import Any

from ...errors import ErrorKind, Refusal, refuse
from ...platform import Entry


class ConditionalStore:
    """Store whose answers may be lost, and whose writes may take effect late."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._revisions = count(1)
        self.calls = 0
        # Number of following writes that take effect but whose answers are lost.
        self.lost_answers = 0
        # Delays of following writes without an answer, in seconds. Such a write takes
        # effect after its delay if its condition still holds.
        self.late_writes_s: list[float] = []
        self._late: set[asyncio.Task[None]] = set()

    def spoil(self, name: str, field: str, value: Any) -> None:
        """Change a field of an object, as another writer may."""
        entry = self._entries[name]
        changed = {**entry.value, field: value}
        self._entries[name] = Entry(name, next(self._revisions), changed, None)

    async def _answer(self, entry: Entry) -> Entry | Refusal:
        await asyncio.sleep(0.004)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return await _no_answer()
        return entry

    async def create(
        self, kind: str, name: str, value: Any, within_s: float
    ) -> Entry | Refusal:
        self.calls += 1
        created = Entry(name, next(self._revisions), value, None)
        return await self._answer(self._entries.setdefault(name, created))

    async def replace(
        self, kind: str, name: str, value: Any, revision: int | None
    ) -> Entry | Refusal:
        self.calls += 1
        if self.late_writes_s:
            work = self._replace_late(name, value, revision, self.late_writes_s.pop(0))
            task = asyncio.create_task(work)
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            return await _no_answer()
        replaced = self._replace(name, value, revision)
        return (
            replaced if isinstance(replaced, Refusal) else await self._answer(replaced)
        )

    def _replace(self, name: str, value: Any, revision: int | None) -> Entry | Refusal:
        if self._entries[name].revision != revision:
            return refuse(ErrorKind.CONFLICT, "another revision")
        self._entries[name] = Entry(name, next(self._revisions), value, None)
        return self._entries[name]

    async def _replace_late(
        self, name: str, value: Any, revision: int | None, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        self._replace(name, value, revision)


async def _no_answer() -> Refusal:
    await asyncio.sleep(1.0)
    return refuse(ErrorKind.PLATFORM_UNCERTAIN, "lost")
