"""An upstream that crashes on a certain request, and a caller that repeats it."""

from __future__ import annotations

import asyncio
from itertools import count

from pistachioglade.http1 import Response
from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import FleetInstance

from .serving import LOOKUP, Fleet, ServingProcess, instances_of

#: Path of the request that crashes the instances that run it.
FATAL_PATH = f"{LOOKUP}fatal"
_FATAL_ID = "fatal-"
#: Delay before a crashed instance is replaced, in seconds.
_REPLACEMENT_DELAY_S = 0.4


def now_s() -> float:
    return asyncio.get_running_loop().time()


class CrashingUpstream:
    """Replaces the instances of an upstream that requests to one path crash."""

    def __init__(
        self,
        fleet: Fleet,
        upstream: str = "app",
        path: str = FATAL_PATH,
        models: tuple[str, ...] = (),
        replacement_delay_s: float = _REPLACEMENT_DELAY_S,
    ) -> None:
        self._fleet = fleet
        self._upstream = upstream
        self._path = path
        self._models = models
        self._replacement_delay_s = replacement_delay_s
        self._starts = count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        # Whether the instances crash on requests to the path.
        self._is_crashing = True
        # Times of crashes, in seconds of the monotonic clock.
        self.crashes_s: list[float] = []
        for instance in instances_of(fleet, upstream):
            self._prepare(instance)

    def _prepare(self, instance: FleetInstance) -> None:
        instance.crash_paths = {self._path} if self._is_crashing else set()
        instance.on_crash = lambda: self._handle_crash(instance)

    def stop_crashing(self) -> None:
        """Let all instances run the request, also those that are added later."""
        self._is_crashing = False
        for instance in instances_of(self._fleet, self._upstream):
            instance.crash_paths = set()

    def _handle_crash(self, instance: FleetInstance) -> None:
        self.crashes_s.append(now_s())
        task = asyncio.create_task(self._replace(instance))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(self, instance: FleetInstance) -> None:
        await asyncio.sleep(self._replacement_delay_s)
        client = self._fleet.store.client()
        await client.delete(names.INSTANCE_KIND, instance.id)
        await self.add()

    async def add(self) -> None:
        """Start and register an additional instance."""
        name = f"{self._upstream}-again-{next(self._starts)}"
        instance = FleetInstance(name, self._upstream, self._models)
        self._prepare(instance)
        await self._fleet.add_instance(instance)

    def attempts_since(self, at_s: float) -> int:
        """Return the number of client attempts that reached instances since a time."""
        begun = {
            request_id
            for instance in instances_of(self._fleet, self._upstream)
            for request_id, begun_s in instance.begun_s.items()
            if request_id.startswith(_FATAL_ID) and begun_s >= at_s
        }
        return len(begun)


class RepeatingCaller:
    """Sends the same request to each entry in turn under new ids."""

    def __init__(self, fleet: Fleet, path: str = FATAL_PATH) -> None:
        self._fleet = fleet
        self._path = path
        self._numbers = count(1)
        # Answers, each with its duration in seconds.
        self.answers: list[tuple[Response, float]] = []

    async def call(self, entry: ServingProcess) -> Response:
        """Send the request once."""
        begun_s = now_s()
        request_id = f"{_FATAL_ID}{next(self._numbers)}"
        answer = await self._fleet.call(
            entry, "POST", self._path, request_id, b"the same body"
        )
        self.answers.append((answer, now_s() - begun_s))
        return answer

    async def call_until(self, until_s: float, pause_s: float = 0.1) -> None:
        """Send the request to each running entry repeatedly until a time."""
        while True:
            for entry in self._fleet.entries:
                if entry.process is not None and entry.process.returncode is None:
                    await self.call(entry)
                    await asyncio.sleep(pause_s)
            if now_s() >= until_s:
                return
