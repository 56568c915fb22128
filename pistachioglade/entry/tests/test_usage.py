"""Usage records of an entry whose writes the object API refuses."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from ...agent.tests.stepping import MemoryApi
from ...errors import ErrorKind, Refusal, refuse
from .._usage import UsageRecorder

_NODE = "entry-0"


class _Api(MemoryApi):
    """Refuses the records of one caller."""

    def __init__(self, refused_caller: str) -> None:
        super().__init__()
        self._refused_caller = refused_caller

    def put(self, path: str, value: Any, version: int) -> int | Refusal:
        """Write an object unless it names the refused caller."""
        if any(record["caller"] == self._refused_caller for record in value):
            return refuse(ErrorKind.TOO_LARGE, path)
        return super().put(path, value, version)

    def callers(self) -> list[str]:
        """Return the callers of all stored records, in the order of their numbers."""
        paths = sorted(self.objects)
        return [item["caller"] for path in paths for item in self.objects[path].value]


@attrs.frozen
class _Settings:
    # Node id.
    node: str = _NODE


class _Node:
    """The attributes of a node that the recorder uses."""

    def __init__(self, api: MemoryApi) -> None:
        self.settings = _Settings()
        self.incarnation = 1
        self.api = api


def _recorder(api: MemoryApi) -> UsageRecorder:
    return UsageRecorder(_Node(api))  # type: ignore[arg-type]


def _count(recorder: UsageRecorder, caller: str) -> None:
    recorder.answered(caller, "lawyer", 0.01)
    asyncio.run(recorder.flush())


def test_a_refused_span_does_not_delay_other_spans() -> None:
    """The object API refuses one span of counts at each write.

    If a round of writes ends at the first failure of any kind and the refused span
    stays the first, the report counts no further request of any caller at that entry,
    and no log line gives the reason.
    """
    api = _Api("indexers")
    recorder = _recorder(api)
    for caller in ("lawyers", "indexers", "engineers", "families"):
        _count(recorder, caller)
    assert api.callers() == ["lawyers", "engineers", "families"]


def test_an_outage_keeps_all_spans_in_order() -> None:
    api = _Api("")
    recorder = _recorder(api)
    _count(recorder, "lawyers")
    api.is_unavailable = True
    _count(recorder, "indexers")
    _count(recorder, "engineers")
    assert api.callers() == ["lawyers"]
    api.is_unavailable = False
    _count(recorder, "families")
    assert api.callers() == ["lawyers", "indexers", "engineers", "families"]
