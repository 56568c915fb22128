"""A step owner and its trainer's client in one process, with an object API in memory.

The owner is the real class, on an event loop in its own thread; an engine answers each
sample at once. As in the programs, an exception of the request handler is answered as
an internal error.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import attrs

from ...backing import StoredObject
from ...blackboard import Blackboard
from ...config import (
    AgentSettings,
    ServiceConfig,
    Trainer,
    Upstream,
    UpstreamKind,
)
from ...controllers import CONFIG, MEMBERS
from ...errors import ErrorKind, Refusal, refuse
from ...messages import (
    AgentLoad,
    FetchSamples,
    Generate,
    Generated,
    Group,
    MemberRecord,
    MemberState,
    NodeRole,
    OpenStep,
    OwnerIs,
    Sample,
    VersionSpan,
    structure,
    unstructure,
)
from ...report import merge_receipts, unpack_step
from ...trainer import OpenedStep, TrainerCheckpoint, TrainerClient, TrainerSettings
from .._owner import StepOwner

TRAINER = "tagger"
#: Samples of a step.
STEP_SAMPLES = 4
#: Maximum time that a test's request waits for the owner, in seconds.
_ANSWER_S = 20.0


class MemoryApi:
    """Objects with versions; refuses every call while unavailable."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.is_unavailable = False
        # Paths whose writes are always refused.
        self.refused: set[str] = set()

    def get(self, path: str) -> StoredObject | Refusal:
        """Return an object."""
        if self.is_unavailable:
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "away")
        found = self.objects.get(path)
        return found or refuse(ErrorKind.NOT_FOUND, path)

    def put(self, path: str, value: Any, version: int) -> int | Refusal:
        """Write an object if its version is still ``version``."""
        if self.is_unavailable:
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "away")
        if path in self.refused:
            return refuse(ErrorKind.BAD_REQUEST, path)
        found = self.objects.get(path)
        if (found.version if found else 0) != version:
            return refuse(ErrorKind.CONFLICT, path)
        self.objects[path] = StoredObject(path, version + 1, value)
        return version + 1

    def refusals(self, step: int) -> dict[str, int]:
        """Return the refusal counts of a step's record, by error kind."""
        path = f"ledger/{TRAINER}/{step}/agent-1.1"
        return unpack_step(self.objects[path].value).refusals

    def recorded(self) -> dict[tuple[int, int], str]:
        """Return the copy id of each recorded sample, by step and index."""
        records = [
            unpack_step(item.value)
            for path, item in self.objects.items()
            if path.startswith("ledger/")
        ]
        merged = merge_receipts(records)
        return {key: receipt.copy_id for key, receipt in merged.items()}


class _Engines:
    """Answers each sample at once; each copy has a unique number."""

    def __init__(self) -> None:
        self._copy_count = 0
        # Refusal of each sample whose generation always fails, by step and index.
        self.failing: dict[tuple[int, int], Refusal] = {}

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        if not isinstance(message, Generate):
            return refuse(ErrorKind.NOT_FOUND, type(message).__name__)
        failure = self.failing.get((message.step, message.index))
        if failure is not None:
            return failure
        self._copy_count += 1
        spans = (VersionSpan(message.min_version, 3),)
        copy = f"engines.1.{self._copy_count}"
        sample = Sample(message.index, copy, "t", spans, "engines", "e")
        return Generated(sample, AgentLoad(slots=8, running=0, queued=0))


class _Tracing:
    """Tracing without spans."""

    @contextmanager
    def span(self, name: str, parent: str = "", **fields: Any) -> Iterator[str]:
        yield ""


@attrs.frozen
class _Settings:
    # Node id.
    node: str


class _Node:
    """The attributes of a node that a step owner uses."""

    def __init__(self, name: str, api: MemoryApi, engines: _Engines) -> None:
        self.settings = _Settings(name)
        self.incarnation = 1
        self.api = api
        self.pool = engines
        self.tracing = _Tracing()
        self.board = Blackboard()
        self._tasks: set[asyncio.Task[Any]] = set()
        trainer = Trainer(TRAINER, "tags", ("lm",), 100, 2, "")
        config = ServiceConfig(
            upstreams=(Upstream("lm", UpstreamKind.ENGINE),), trainers=(trainer,)
        )
        self.board.write(CONFIG, config)
        self.board.write(MEMBERS, {"engines": _member("engines")})

    def admission(self) -> None:
        return None

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        return task

    def end(self) -> None:
        for task in self._tasks:
            task.cancel()


def _member(node: str) -> MemberRecord:
    role = NodeRole.AGENT
    return MemberRecord(node, 1, 1, MemberState.ALIVE, role, "a:1", "d", "lm")


class _Rollouts:
    """Rollouts that have seen no fencing token."""

    def highest_fence(self, trainer: str) -> int:
        return 0


class Stage:
    """A current step owner, and the path of trainers' requests to that owner."""

    def __init__(self) -> None:
        self.api = MemoryApi()
        self.engines = _Engines()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._owners = 0
        self._clients: list[TrainerClient] = []
        self._node: _Node | None = None
        # Exceptions raised by the owner's handlers.
        self.faults: list[str] = []
        self.replace_owner()

    def _run(self, work: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(_ANSWER_S)

    def replace_owner(self) -> None:
        """Replace the current owner; its unwritten records are lost."""
        self._run(self._replace_owner())

    async def _replace_owner(self) -> None:
        self._unreachable = ""
        if self._node is not None:
            self._node.end()
            self._unreachable = self._node.settings.node
        self._owners += 1
        self._node = _Node(f"agent-{self._owners}", self.api, self.engines)
        settings = AgentSettings(common=None, upstream="lm", instances=())  # type: ignore[arg-type]
        self._owner = StepOwner(settings, self._node, _Rollouts())  # type: ignore[arg-type]

    def lose_lease(self) -> None:
        """Give the lease to another node and let the owner renew its lease."""
        path = f"owners/{TRAINER}"
        stored = self.api.objects[path]
        other = {**stored.value, "owner": "other", "fence": stored.value["fence"] + 1}
        self.api.put(path, other, stored.version)
        self._run(self._owner._renew(TRAINER))

    def flush(self) -> None:
        """Write the owner's pending records."""
        self._run(self._owner.ledger.flush())

    def client(self, saved: str = "") -> TrainerClient:
        """Return a trainer's client that starts from a checkpoint as JSON."""
        settings = TrainerSettings(("http://e",), "token", "tags", 2, wait_s=0.2)
        checkpoint = TrainerCheckpoint.from_json(saved) if saved else None
        client = TrainerClient(settings, checkpoint)
        client._entries = self  # type: ignore[assignment]
        self._clients.append(client)
        return client

    def open(self, client: TrainerClient, step: int) -> OpenedStep:
        """Open a step of :data:`STEP_SAMPLES` samples."""
        return client.open_step(step, (Group(f"p{step}", STEP_SAMPLES),), 10)

    def post(self, path: str, fields: Any, *_bounds: Any) -> Any | Refusal:
        """Answer a request of the trainer's client."""
        parts = path.split("/")
        known = {"trainer": TRAINER, "step": int(parts[3])}
        is_fetch = parts[-1] == "fetch"
        message = structure({**fields, **known}, FetchSamples if is_fetch else OpenStep)
        answer = self._run(self._handle(message))
        if isinstance(answer, Refusal):
            return answer
        if isinstance(answer, OwnerIs):
            return refuse(ErrorKind.NOT_OWNER, answer.owner)
        return unstructure(answer)

    async def _handle(self, message: Any) -> Any:
        try:
            if isinstance(message, FetchSamples):
                return await self._owner.fetch(message)
            unreachable = self._unreachable
            return await self._owner.open(
                attrs.evolve(message, unreachable_owner=unreachable)
            )
        except Exception as error:  # answered as the link server does
            self.faults.append(repr(error))
            return refuse(ErrorKind.INTERNAL, repr(error))

    def end(self) -> None:
        """Stop the clients, the owner and its loop."""
        for client in self._clients:
            client.close()
        self._run(self._replace_owner())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
