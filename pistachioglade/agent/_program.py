"""The agent's program: composition root, start and planned stop."""

from __future__ import annotations

import asyncio
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatchmethod
from typing import Any, Final

import click

from ..config import AgentSettings
from ..controllers import Node, run_program
from ..errors import ErrorKind, refuse
from ..links import LinkServer, Peer
from ..messages import (
    Acknowledged,
    CancelGenerate,
    DrainNode,
    FetchChunk,
    FetchSamples,
    Generate,
    Generated,
    GetStatus,
    NodeRole,
    NodeStatus,
    OpenStep,
    OpenTicket,
    RunCall,
    Sample,
)
from ..telemetry import logger
from ._calls import CallRunner
from ._facts import INSTANCES
from ._instances import InstanceWatcher
from ._owner import StepOwner
from ._rollouts import RolloutRunner
from ._scheduler import Scheduler
from ._slots import SlotTable
from ._upstream import InstanceClient
from ._weights import WeightController

_log = logger(__name__)

_SPARE_THREADS: Final = 8
_DRAIN_POLL_S: Final = 0.05
#: Time for which a leaving agent still answers its peers, in seconds.
_LINGER_S: Final = 0.5


class Agent:
    """The components of one agent and the dispatch of its link messages."""

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self.node = Node(settings.common, NodeRole.AGENT, settings.upstream)
        threads = sum(item.slots for item in settings.instances) + _SPARE_THREADS
        executor = ThreadPoolExecutor(threads, "upstream")
        clients = {
            item.name: InstanceClient(item.url, item.slots + 2)
            for item in settings.instances
        }
        slots = SlotTable(settings.instances)
        scheduler = Scheduler(settings.upstream, self.node.board, slots)
        self._slots = slots
        self._scheduler = scheduler
        self._watcher = InstanceWatcher(settings, self.node.board, self.node.instances)
        self._calls = CallRunner(self.node, scheduler, clients, executor)
        self._rollouts = RolloutRunner(
            settings, self.node, scheduler, slots, clients, executor
        )
        self._weights = WeightController(settings, self.node, clients, self._watcher)
        self._owner = StepOwner(settings, self.node, self._rollouts)
        self._server = LinkServer(
            self.node.identity, self.handle, self.node.pool.traffic
        )
        self._drain_requested = asyncio.Event()

    @singledispatchmethod
    async def handle(self, message: Any, peer: Peer) -> Any:
        """Answer a message from a peer."""
        return await self.node.handle(message, peer)

    @handle.register
    async def _(self, message: RunCall, peer: Peer) -> Any:
        return await self._calls.run(message)

    @handle.register
    async def _(self, message: OpenTicket, peer: Peer) -> Any:
        return self._calls.open_ticket(message)

    @handle.register
    async def _(self, message: Generate, peer: Peer) -> Any:
        result = await self._rollouts.generate(message)
        if isinstance(result, Sample):
            lost = self._rollouts.take_preempted_tokens()
            return Generated(result, self._rollouts.load(), lost)
        return result

    @handle.register
    async def _(self, message: CancelGenerate, peer: Peer) -> Any:
        return self._rollouts.cancel(message) or Acknowledged()

    @handle.register
    async def _(self, message: OpenStep, peer: Peer) -> Any:
        return await self._owner.open(message)

    @handle.register
    async def _(self, message: FetchSamples, peer: Peer) -> Any:
        return await self._owner.fetch(message)

    @handle.register
    async def _(self, message: FetchChunk, peer: Peer) -> Any:
        return await self._weights.answer_chunk(message)

    @handle.register
    async def _(self, message: DrainNode, peer: Peer) -> Any:
        _log.info("drain.requested", operator=message.operator)
        self.begin_drain()
        return Acknowledged()

    @handle.register
    async def _(self, message: GetStatus, peer: Peer) -> Any:
        return self.status()

    def status(self) -> NodeStatus:
        """Return the status that this agent reports about itself."""
        views = self.node.board.read(INSTANCES)
        return NodeStatus(
            node=self._settings.common.node,
            incarnation=self.node.incarnation,
            generation=self.node.root.generation,
            leaving=self._drain_requested.is_set(),
            versions={name: dict(view.versions) for name, view in views.items()},
            running=sum(self._slots.running()),
            queued=sum(self._scheduler.queued()),
            owned_trainers=self._owner.owned_trainers(),
            link_frames=self.node.pool.traffic.frames,
            link_bytes=self.node.pool.traffic.frame_bytes,
        )

    def begin_drain(self) -> None:
        """Start the planned stop: refuse new work; idempotent."""
        self.node.leave()
        refusal = refuse(ErrorKind.LEAVING, "the agent is leaving")
        self._rollouts.refuse_waiting(refusal)
        self._drain_requested.set()

    async def run(self) -> None:
        """Serve until a planned stop is requested, then drain and close."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_drain)
        await self.node.start(self._server)
        for component in (self._watcher, self._weights, self._owner):
            self.node.spawn(component.run())
        _log.info("agent.started", address=self._settings.common.link_address)
        await self._drain_requested.wait()
        await self._drain()

    async def _drain(self) -> None:
        """Hand the steps over, finish in-flight requests, then close."""
        await self._owner.hand_over()
        deadline_s = time.monotonic() + self._settings.drain_bound_s
        while self._is_busy() and time.monotonic() < deadline_s:
            await asyncio.sleep(_DRAIN_POLL_S)
        await self._server.drain(_LINGER_S)
        await asyncio.sleep(_LINGER_S)
        await self._owner.ledger.flush()
        await self._server.close()
        await self.node.close()
        _log.info("agent.stopped")

    def _is_busy(self) -> bool:
        return bool(self._calls.running or self._rollouts.running)


@click.command()
@click.option("--settings", "path", required=True, help="YAML file of this agent.")
@click.option("--check-settings", is_flag=True, help="Check the file and stop.")
def main(path: str, check_settings: bool) -> None:
    """Run the agent beside an upstream instance."""
    run_program("agent", path, AgentSettings, _serve, check_settings)


async def _serve(settings: AgentSettings) -> None:
    await Agent(settings).run()
