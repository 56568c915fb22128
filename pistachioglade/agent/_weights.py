"""Distributes new weights to the instances: from peers along a tree, or the store.

The version of an instance is the version that the instance reports. The controller
compares that version with the newest publication after each state poll, so the
next round corrects a lost, refused or late order.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Mapping
from typing import Final

import attrs

from ..backing import CHUNK_BYTES, WeightStore
from ..config import AgentSettings, UpstreamKind
from ..controllers import CONFIG, MEMBERS, NEWEST, ROOT, Node, usable_agents
from ..decisions import fetch_sources, wave_delay_s
from ..errors import ErrorKind, Refusal, refuse
from ..messages import ChunkData, FetchChunk, ModelVersion
from ..telemetry import logger
from ._facts import INSTANCES
from ._instances import InstanceWatcher
from ._upstream import InstanceClient

_log = logger(__name__)

_CHUNK_WAIT_S: Final = 3.0
_CHUNK_TIMEOUT_S: Final = 5.0
_RETRY_PAUSE_S: Final = 0.3
#: Time within which the waves over all failure domains have to start, in seconds.
_WAVES_BOUND_S: Final = 6.0
_FIRST_SWAP_S: Final = 0.5


@attrs.define(eq=False)
class _Transfer:
    """The chunks of one version's weights that this agent has."""

    # The publication.
    target: ModelVersion
    # Chunks by number.
    chunks: dict[int, bytes] = attrs.field(factory=dict)
    # Whether all chunks are present and the digest matches.
    is_complete: bool = False

    @property
    def chunk_count(self) -> int:
        """The number of chunks of the weights."""
        return max(1, -(-self.target.size_bytes // CHUNK_BYTES))

    def digest(self) -> str:
        """Return the SHA-256 of the chunks."""
        code = hashlib.sha256()
        for number in range(self.chunk_count):
            code.update(self.chunks[number])
        return code.hexdigest()


class WeightController:
    """Updates the instances of one agent to the newest versions."""

    def __init__(
        self,
        settings: AgentSettings,
        node: Node,
        clients: Mapping[str, InstanceClient],
        watcher: InstanceWatcher,
    ) -> None:
        self._settings = settings
        self._node = node
        self._clients = clients
        self._watcher = watcher
        self._store = (
            WeightStore(settings.weight_store_url)
            if settings.weight_store_url
            else None
        )
        self._transfers: dict[str, _Transfer] = {}
        self._arrived = asyncio.Event()
        self._swap_s = _FIRST_SWAP_S
        self._sent: dict[str, set[tuple[str, int]]] = {}

    async def run(self) -> None:
        """Apply publications to the instances until cancelled."""
        signal = self._node.board.signal(NEWEST, CONFIG, INSTANCES)
        while True:
            signal.clear()
            wanted = self._wanted_versions()
            await asyncio.gather(
                *(self._update_instances(*item) for item in wanted.items())
            )
            if self._is_settled():
                await signal.wait()
            else:
                await asyncio.sleep(_RETRY_PAUSE_S)

    def _wanted_versions(self) -> dict[str, ModelVersion]:
        """Return the newest version of each model that this upstream's trainers use."""
        config = self._node.board.read(CONFIG)
        newest = self._node.board.read(NEWEST)
        if config is None or self._store is None:
            return {}
        upstream = config.upstream(self._settings.upstream)
        if upstream is None or upstream.kind is not UpstreamKind.ENGINE:
            return {}
        models = {
            trainer.model
            for trainer in config.trainers
            if self._settings.upstream in trainer.upstreams
        }
        return {model: newest[model] for model in sorted(models & set(newest))}

    def _outdated_instances(self, model: str, version: int) -> list[str]:
        return [
            view.name
            for view in self._node.board.read(INSTANCES).values()
            if view.healthy and view.versions.get(model, 0) != version
        ]

    def _is_settled(self) -> bool:
        return not any(
            self._outdated_instances(model, target.version)
            for model, target in self._wanted_versions().items()
        )

    async def _update_instances(self, model: str, target: ModelVersion) -> None:
        if not self._outdated_instances(model, target.version):
            return
        transfer = self._transfers.get(model)
        if transfer is None or transfer.target != target:
            transfer = _Transfer(target)
            self._transfers[model] = transfer
        if not transfer.is_complete and not await self._fetch(model, transfer):
            return
        await self._swap_in_turn(model, target)

    async def _fetch(self, model: str, transfer: _Transfer) -> bool:
        """Copy the missing chunks; return False if the fetch has to be repeated."""
        for number in range(transfer.chunk_count):
            if number not in transfer.chunks:
                data = await self._fetch_chunk(model, transfer.target.version, number)
                if isinstance(data, Refusal):
                    _log.info("weights.chunk_missing", reason=data.reason)
                    return False
                transfer.chunks[number] = data
                self._signal_arrival()
            if self._transfers.get(model) is not transfer:
                return False
        if transfer.digest() != transfer.target.digest:
            _log.warning("weights.digest_wrong", model=model)
            transfer.chunks.clear()
            return False
        transfer.is_complete = True
        return True

    async def _fetch_chunk(
        self, model: str, version: int, number: int
    ) -> bytes | Refusal:
        peers = usable_agents(self._node.board, self._settings.upstream)
        addresses = {record.node: record.address for record in peers}
        own = self._node.settings.node
        message = FetchChunk(model, version, number, _CHUNK_WAIT_S)
        for source in fetch_sources(model, version, own, addresses):
            answer = await self._node.pool.call(
                addresses[source], message, _CHUNK_TIMEOUT_S
            )
            if isinstance(answer, ChunkData):
                return answer.data
        assert self._store is not None
        return await asyncio.to_thread(self._store.chunk, model, version, number)

    async def answer_chunk(self, message: FetchChunk) -> ChunkData | Refusal:
        """Return a chunk to a peer; wait up to ``wait_s`` for the chunk to arrive."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + message.wait_s
        while True:
            transfer = self._transfers.get(message.model)
            version = transfer.target.version if transfer else 0
            if transfer and version == message.version:
                data = transfer.chunks.get(message.chunk)
                if data is not None:
                    return ChunkData(data)
            if version > message.version or loop.time() >= deadline_s:
                return refuse(ErrorKind.NOT_FOUND, "that chunk is not here")
            await self._next_arrival(deadline_s)

    async def _next_arrival(self, deadline_s: float) -> None:
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._arrived.wait()
        except TimeoutError:
            return

    def _signal_arrival(self) -> None:
        """Wake the requests of peers that wait for a chunk."""
        self._arrived.set()
        self._arrived = asyncio.Event()

    async def _swap_in_turn(self, model: str, target: ModelVersion) -> None:
        """Wait for this failure domain's turn, then swap one instance at a time."""
        domains = [
            record.domain
            for record in self._node.board.read(MEMBERS).values()
            if record.upstream == self._settings.upstream
        ]
        own = self._node.settings.domain
        await asyncio.sleep(wave_delay_s(own, domains, self._swap_s, _WAVES_BOUND_S))
        for name in self._outdated_instances(model, target.version):
            await self._swap(name, model, target)

    async def _swap(self, name: str, model: str, target: ModelVersion) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        if not await self._send_weights(name, model, target):
            return
        snapshot = self._node.board.read(ROOT)
        fence = snapshot.root.generation if snapshot else 0
        await asyncio.to_thread(
            self._clients[name].order_version,
            model,
            target.version,
            target.digest,
            fence,
        )
        view = await self._watcher.read_state(name)
        if view.versions.get(model) != target.version:
            _log.info("weights.not_swapped", instance=name, model=model)
            self._sent.get(name, set()).discard((model, target.version))
            return
        self._swap_s = 0.7 * self._swap_s + 0.3 * (loop.time() - started_s)
        _log.info("weights.swapped", instance=name, model=model, to=target.version)

    async def _send_weights(self, name: str, model: str, target: ModelVersion) -> bool:
        sent = self._sent.setdefault(name, set())
        if (model, target.version) in sent:
            return True
        transfer = self._transfers[model]
        for number in range(transfer.chunk_count):
            reply = await asyncio.to_thread(
                self._clients[name].send_weights,
                model,
                target.version,
                number * CHUNK_BYTES,
                transfer.chunks[number],
            )
            if isinstance(reply, Refusal) or reply.status != 200:
                return False
        self._sent[name] = {(model, target.version)} | {
            item for item in sent if item[0] != model
        }
        return True
