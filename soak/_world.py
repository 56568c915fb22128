"""The processes of a soak, the stand-ins around them, and the promises they keep."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import Any, Final

import attrs

from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import FleetInstance
from pistachioglade.store.tests.served import ServedStore
from tests.serving import EntryProcess, Fleet, configuration

from ._relay import Relay

#: Model that the trainers name versions of.
MODEL: Final = "m"
#: Name of the store in ``World.disturbances``.
STORE: Final = "store"
#: Events of a sample, and the time of one: a sample runs for 0.7 s.
EVENTS: Final = 35
EVENT_S: Final = 0.02
#: Pause before a process that has ended starts again.
_RESTART_S: Final = 0.4
#: Pause before a crashed instance is replaced.
_REPLACE_S: Final = 0.8
#: Time between two looks at processes and instances.
_LOOK_S: Final = 0.1


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def soak_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with one route that only this version has."""
    value = configuration(version)
    lookup = value["routes"][0]
    stream = {"type": "streaming", "service": "lm"}
    value["routes"] += [
        lookup | {"name": f"only-{version}", "path-prefix": f"/only-{version}/"},
        lookup | stream | {"name": "stream", "path-prefix": "/stream/"},
        lookup
        | stream
        | {"name": "resumable", "path-prefix": "/resumable/", "resumable": True},
    ]
    return value


@attrs.define
class Program:
    """A process and its way to the store."""

    # The process.
    process: EntryProcess
    # Relay between it and the store.
    store: Relay
    # When it was started last, in seconds of the monotonic clock.
    begun_s: float
    # Counts its starts.
    incarnation: int = 1
    # Whether this soak has just ended it.
    is_ended_by_us: bool = False
    # Whether it stands still.
    is_frozen: bool = False


class World:
    """Everything that a seed's run consists of."""

    def __init__(self, store: ServedStore, folder: Path, seed: int) -> None:
        self.random = random.Random(seed)
        self.fleet = Fleet(store, folder)
        self.store = store
        # Entries and the programs beside engines, by name.
        self.entries: dict[str, Program] = {}
        self.engines: dict[str, Program] = {}
        # Relays before instances, by the instance's id.
        self.instance_relays: dict[str, Relay] = {}
        # Newest configuration and weight version that the store has acknowledged.
        self.configuration = 1
        self.named_version = 1
        # Newest weight version that a trainer ever sent, acknowledged or not.
        self.sent_version = 1
        # When the last fault had healed, in seconds of the monotonic clock.
        self.healed_s = float("inf")
        # Paths of requests that crash instances of the plain service.
        self.crash_paths: set[str] = set()
        # Crashed instances and when they crashed, in seconds of the monotonic clock.
        self.crashes: list[tuple[FleetInstance, float]] = []
        # Disturbances of programs and the store: name, begin and end.
        self.disturbances: list[tuple[str, float, float]] = []
        # Programs that were frozen and instances whose links were bent, from and to.
        self.held_up: list[tuple[str, float, float]] = []
        # Broken promises, in words.
        self.violations: list[str] = []
        # What happened, by kind.
        self.counts: Counter[str] = Counter()
        self._numbers = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def violated(self, what: str) -> None:
        """Note a broken promise."""
        self.violations.append(what)

    # Building.

    async def add_instance(self, upstream: str) -> FleetInstance:
        """Add an instance behind a relay of its own."""
        self._numbers += 1
        models = (MODEL,) if upstream == "lm" else ()
        instance = FleetInstance(
            f"{upstream}-{self._numbers}", upstream, models, EVENTS, EVENT_S
        )
        for model in models:
            instance.versions[model] = self.named_version
        if upstream == "app":
            instance.crash_paths = self.crash_paths
            instance.on_crash = lambda: self._crashed(instance)
        await instance.start()
        relay = Relay(instance.port)
        await relay.start()
        self.instance_relays[instance.id] = relay
        self.fleet.instances.append(instance)
        await self.list_instance(instance)
        return instance

    async def list_instance(self, instance: FleetInstance) -> None:
        """Write an instance's entry, by the address of its relay."""
        port = self.instance_relays[instance.id].port
        value = instance.entry() | {"address": f"127.0.0.1:{port}"}
        client = self.store.client()
        made = await client.create(names.INSTANCE_KIND, instance.id, value, 5.0)
        if getattr(made, "value", value) != value:
            await client.replace(names.INSTANCE_KIND, instance.id, value, None)

    def _crashed(self, instance: FleetInstance) -> None:
        """Record the crash of an instance and schedule its replacement."""
        self.crashes.append((instance, _now_s()))
        self.counts["crash"] += 1
        instance.is_leaving = True
        self.instance_relays[instance.id].stop()
        self.spawn(self._replace(instance))

    async def _replace(self, instance: FleetInstance) -> None:
        await asyncio.sleep(_REPLACE_S)
        client = self.store.client()
        while await client.delete(names.INSTANCE_KIND, instance.id) is not None:
            await asyncio.sleep(_LOOK_S)
        await self.add_instance(instance.upstream)

    async def _relay_to_store(self) -> Relay:
        relay = Relay(self.store.port)
        await relay.start()
        return relay

    async def build(self, entries: int, engines: int, plain: int) -> None:
        """Start everything."""
        await self.fleet.configure(soak_configuration(1))
        for _ in range(plain):
            await self.add_instance("app")
        for number in range(engines):
            engine = await self.add_instance("lm")
            relay = await self._relay_to_store()
            name = f"engine-{number}"
            # By the address in the list, at which the program looks for its engine.
            port = self.instance_relays[engine.id].port
            process = await self.fleet.add_engine_program(name, port, relay.port)
            self.engines[name] = Program(process, relay, _now_s())
        for number in range(entries):
            relay = await self._relay_to_store()
            process = await self.fleet.add_entry(f"entry-{number}", relay.port)
            self.entries[process.name] = Program(process, relay, _now_s())
        self.spawn(self._supervise())
        self.spawn(self._heartbeats())

    def spawn(self, work: Any) -> asyncio.Task[None]:
        """Run work that lasts as long as the world."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.violated(f"the soak itself failed: {task.exception()!r}")

    # What the platform does.

    async def _supervise(self) -> None:
        """Start processes again that have ended; none may end by itself."""
        while True:
            await asyncio.sleep(_LOOK_S)
            for name, program in (*self.entries.items(), *self.engines.items()):
                process = program.process.process
                if process is None or process.returncode is None:
                    continue
                if not program.is_ended_by_us:
                    self.violated(f"{name} ended by itself: {process.returncode}")
                program.is_ended_by_us = False
                program.is_frozen = False
                ended_s = _now_s()
                await asyncio.sleep(_RESTART_S)
                program.incarnation += 1
                program.begun_s = _now_s()
                self.disturbances.append((name, ended_s, program.begun_s))
                await program.process.start()

    async def _heartbeats(self) -> None:
        """Keep the weight versions in the list of instances true."""
        told: dict[str, dict[str, int]] = {}
        while True:
            await asyncio.sleep(_LOOK_S)
            for instance in self.fleet.instances:
                known = told.get(instance.id)
                if known == instance.versions or instance.is_leaving:
                    continue
                if not self.store.standin.faults.down:
                    told[instance.id] = dict(instance.versions)
                    await self.list_instance(instance)

    # What is asked of it.

    def live(self, upstream: str) -> list[FleetInstance]:
        """Return the instances that take requests."""
        return [
            item
            for item in self.fleet.instances
            if item.upstream == upstream and not item.is_leaving
        ]

    def runs(self, request_id: str) -> int:
        """Return how often any instance began to work on a request."""
        return sum(item.runs[request_id] for item in self.fleet.instances)

    def failures(self, request_id: str) -> int:
        """Return how often any instance failed a request after running it."""
        return sum(item.failures[request_id] for item in self.fleet.instances)

    def is_undisturbed(self, entry: str, at_s: float, for_s: float) -> bool:
        """Whether an entry and the store were undisturbed for some time before."""
        return not any(
            name in (entry, STORE) and begun_s <= at_s and ended_s >= at_s - for_s
            for name, begun_s, ended_s in self.disturbances
        )

    def any_entry(self) -> Program:
        """Return an entry, as the platform's balancer might."""
        return self.random.choice(list(self.entries.values()))

    async def stop(self) -> None:
        """End every process that this run has started, and the stand-ins."""
        for task in tuple(self._tasks):
            task.cancel()
        for program in (*self.entries.values(), *self.engines.values()):
            process = program.process.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
            program.store.stop()
        for relay in self.instance_relays.values():
            relay.stop()
        for instance in self.fleet.instances:
            instance.stop()
