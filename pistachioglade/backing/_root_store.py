"""The root object: one conditional update for each accepted change.

A root contains the tags of its recent writes. After a lost answer the writer reads
the root again: if the root contains the tag, the write took effect; if a newer
version lacks the tag, the write will never take effect.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from itertools import count
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..messages import RootSnapshot, RootState, structure, unstructure
from ._object_api import ObjectApi, StoredObject

ROOT_PATH: Final = "root"
#: Number of write tags in a root.
_RECENT_WRITES: Final = 32
#: Time within which the outcome of a write has to be known, in seconds.
_SETTLE_S: Final = 8.0
_RETRY_PAUSE_S: Final = 0.1

#: Returns the root that replaces the given root, or a refusal.
RootChange = Callable[[RootState], RootState | Refusal]


@attrs.frozen
class _Versioned:
    # Version of the object; 0 if the object does not exist.
    version: int
    # Content of the object.
    root: RootState


class RootStore:
    """Reads and conditionally replaces the root."""

    def __init__(
        self,
        api: ObjectApi,
        writer: str,
        now_s: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._now_s = now_s
        self._sleep = sleep
        self._api = api
        self._writer = writer
        self._sequence = count(1)

    def read(self) -> RootState | Refusal:
        """Return the root in the object API."""
        found = self._read()
        return found if isinstance(found, Refusal) else found.root

    def _read(self) -> _Versioned | Refusal:
        stored = self._api.get(ROOT_PATH)
        if isinstance(stored, StoredObject):
            return _Versioned(stored.version, structure(stored.value, RootState))
        if stored.kind is ErrorKind.NOT_FOUND:
            return _Versioned(0, RootState(0))
        return stored

    def snapshot(
        self, root: RootState, known: Mapping[str, str]
    ) -> RootSnapshot | Refusal:
        """Return a root with its parts, reading those that are not ``known``."""
        parts: dict[str, str] = {}
        for digest in root.parts.values():
            if digest in known:
                parts[digest] = known[digest]
                continue
            stored = self._api.get(f"parts/{digest}")
            if isinstance(stored, Refusal):
                return stored
            parts[digest] = stored.value["text"]
        return RootSnapshot(root, parts)

    def write_parts(self, parts: Mapping[str, str]) -> Refusal | None:
        """Write parts by their digests; an existing part has the same content."""
        for digest, text in parts.items():
            refusal = self._write_part(digest, text)
            if refusal is not None:
                return refusal
        return None

    def _write_part(self, digest: str, text: str) -> Refusal | None:
        """Write one part; repeat the write after a lost answer, which is idempotent."""
        deadline_s = self._now_s() + _SETTLE_S
        while True:
            result = self._api.put(f"parts/{digest}", {"text": text}, 0)
            if not isinstance(result, Refusal) or result.kind is ErrorKind.CONFLICT:
                return None
            is_lost = result.kind is ErrorKind.PLATFORM_UNCERTAIN
            if not is_lost or self._now_s() > deadline_s:
                return refuse(ErrorKind.PLATFORM_UNAVAILABLE, result.reason)

    def commit(self, change: RootChange) -> RootState | Refusal:
        """Replace the root; a PLATFORM_UNCERTAIN refusal means an unknown outcome."""
        deadline_s = self._now_s() + _SETTLE_S
        tag = f"{self._writer}:{next(self._sequence)}"
        maybe_written = False
        while self._now_s() < deadline_s:
            found = self._read()
            if isinstance(found, Refusal):
                if not maybe_written:
                    return found
                self._sleep(_RETRY_PAUSE_S)
                continue
            earlier = _generation_of(found.root, tag)
            if earlier is not None:
                return found.root
            target = change(found.root)
            if isinstance(target, Refusal) or target == found.root:
                return target
            result = self._swap(found, target, tag)
            if not isinstance(result, Refusal):
                return result
            if result.kind is ErrorKind.PLATFORM_UNAVAILABLE and not maybe_written:
                return result
            maybe_written |= result.kind is ErrorKind.PLATFORM_UNCERTAIN
            self._sleep(_RETRY_PAUSE_S)
        return refuse(ErrorKind.PLATFORM_UNCERTAIN, "the write could not be settled")

    def _swap(
        self, found: _Versioned, target: RootState, tag: str
    ) -> RootState | Refusal:
        generation = found.root.generation + 1
        recent = (f"{tag}:{generation}", *found.root.recent_writes)
        root = attrs.evolve(
            target, generation=generation, recent_writes=recent[:_RECENT_WRITES]
        )
        result = self._api.put(ROOT_PATH, unstructure(root), found.version)
        return result if isinstance(result, Refusal) else root


def _generation_of(root: RootState, tag: str) -> int | None:
    """Return the generation written with ``tag``; None if the root lacks the tag."""
    generations = (
        int(write.rpartition(":")[2])
        for write in root.recent_writes
        if write.rpartition(":")[0] == tag
    )
    return next(generations, None)
