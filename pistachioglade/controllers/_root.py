"""Fetches, applies and announces the root; accepts only higher generations."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Final

from ..backing import ROOT_PATH, ObjectApi, RootStore, StoredObject
from ..blackboard import Blackboard
from ..config import ServiceConfig, config_from_parts, digest_of
from ..errors import ErrorKind, Refusal, refuse
from ..links import LinkPool
from ..messages import FetchRoot, RootSnapshot, RootState
from ..telemetry import logger
from ._facts import CONFIG, NEWEST, ROOT

_log = logger(__name__)

_FETCH_TIMEOUT_S: Final = 3.0
_WATCH_WAIT_S: Final = 20.0
_WATCH_PAUSE_S: Final = 0.5

#: Announces this node's generation to its peers.
Announce = Callable[[int], Awaitable[None]]


class RootController:
    """The only writer of :data:`ROOT`, :data:`CONFIG` and :data:`NEWEST`."""

    def __init__(
        self, board: Blackboard, pool: LinkPool, api: ObjectApi, store: RootStore
    ) -> None:
        self._board = board
        self._pool = pool
        self._api = api
        self._store = store
        self._fetching = asyncio.Lock()
        self._announce: Announce | None = None
        self._last_read_s = time.monotonic()

    def on_change(self, announce: Announce) -> None:
        """Set the function that is called after each change of the root."""
        self._announce = announce

    @property
    def generation(self) -> int:
        """The generation in force here; 0 before the first root."""
        snapshot = self._board.read(ROOT)
        return snapshot.root.generation if snapshot else 0

    def silence_s(self) -> float:
        """Return the time since the last read from the object API, in seconds."""
        return time.monotonic() - self._last_read_s

    def known_parts(self) -> dict[str, str]:
        """Return the parts in force here, by digest."""
        snapshot = self._board.read(ROOT)
        return dict(snapshot.parts) if snapshot else {}

    def answer_fetch(self, message: FetchRoot) -> RootSnapshot | Refusal:
        """Return the root to a peer, without the parts that the peer knows."""
        snapshot = self._board.read(ROOT)
        if snapshot is None:
            return refuse(ErrorKind.NO_CONFIG, "no root is known here")
        known = set(message.known_parts)
        parts = {
            digest: text
            for digest, text in snapshot.parts.items()
            if digest not in known
        }
        return RootSnapshot(snapshot.root, parts)

    async def fetch_from_peer(self, address: str, generation: int) -> None:
        """Fetch the root from a peer that has offered a higher generation."""
        async with self._fetching:
            if generation <= self.generation:
                return
            known = self.known_parts()
            message = FetchRoot(tuple(known))
            answer = await self._pool.call(address, message, _FETCH_TIMEOUT_S)
            if isinstance(answer, RootSnapshot):
                await self.apply_root(answer.root, known | answer.parts)

    async def fetch_from_store(self) -> None:
        """Fetch the root from the object API."""
        root = await asyncio.to_thread(self._store.read)
        if isinstance(root, RootState):
            self._last_read_s = time.monotonic()
            await self.apply_stored_root(root)

    async def apply_stored_root(self, root: RootState) -> None:
        """Apply a root of the object API, reading the parts that are missing here."""
        if root.generation <= self.generation:
            return
        known = self.known_parts()
        snapshot = await asyncio.to_thread(self._store.snapshot, root, known)
        if isinstance(snapshot, RootSnapshot):
            await self.apply_root(snapshot.root, snapshot.parts)

    async def apply_root(self, root: RootState, parts: dict[str, str]) -> None:
        """Apply a root if its generation is higher and its parts are complete."""
        if root.generation <= self.generation:
            return
        config = _parse_config(root, parts)
        if config is None:
            _log.warning("root.incomplete", generation=root.generation)
            return
        current_parts = {digest: parts[digest] for digest in root.parts.values()}
        self._board.write(CONFIG, config)
        self._board.write(NEWEST, MappingProxyType(dict(root.models)))
        self._board.write(ROOT, RootSnapshot(root, current_parts))
        _log.info("root.adopted", generation=root.generation)
        if self._announce is not None:
            await self._announce(root.generation)

    def watch(self) -> None:
        """Watch the root in the object API until the process ends.

        The watch runs in a daemon thread, since a planned stop must not wait for the
        answer of a watch.
        """
        loop = asyncio.get_running_loop()
        thread = threading.Thread(target=self._watch, args=(loop,), daemon=True)
        thread.start()

    def _watch(self, loop: asyncio.AbstractEventLoop) -> None:
        version = 0
        while not loop.is_closed():
            found = self._api.watch(ROOT_PATH, version, _WATCH_WAIT_S)
            if isinstance(found, StoredObject):
                version = found.version
                self._schedule_fetch(loop)
            elif isinstance(found, Refusal):
                time.sleep(_WATCH_PAUSE_S)

    def _schedule_fetch(self, loop: asyncio.AbstractEventLoop) -> None:
        if loop.is_closed():
            return
        work = self.fetch_from_store()
        try:
            asyncio.run_coroutine_threadsafe(work, loop)
        except RuntimeError:
            work.close()


def _parse_config(root: RootState, parts: dict[str, str]) -> ServiceConfig | None:
    """Return the configuration; None if a part is missing or has a wrong digest."""
    texts = {name: parts.get(digest) for name, digest in root.parts.items()}
    present = {name: text for name, text in texts.items() if text is not None}
    intact = all(digest_of(text) == root.parts[name] for name, text in present.items())
    if len(present) != len(texts) or not intact:
        return None
    try:
        return config_from_parts(present)
    except Exception:  # cattrs groups errors of any type
        _log.exception("root.unreadable", generation=root.generation)
        return None
