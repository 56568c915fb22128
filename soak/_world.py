"""The processes and stand-ins of a soak, and the record of violated guarantees."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import Any, Final

import attrs

from pistachioglade.platform import names
from pistachioglade.standins._duty_api import DutyApiStandin
from pistachioglade.standins._fleet_instance import FleetInstance
from pistachioglade.store.tests.served import ServedStore
from tests.serving import REWARD, Fleet, ServingProcess, configuration

from ._crash_bounds import Interruption
from ._relay import Relay

#: Model that the trainers name versions of.
MODEL: Final = "m"
#: Name of the store in ``World.disturbances``.
STORE: Final = "store"
#: Account of crashing callers and probes, and the key that it keeps.
ACCOUNT: Final = "soaked"
KEY: Final = "key-of-the-soak"
#: Priorities of the accounts that compete; None for the routes' priority.
PRIORITIES: Final = {ACCOUNT: None, "urgent": 0, "patient": 9}
#: Keys that these accounts keep.
KEYS: Final = {name: f"{KEY}-{name}" for name in PRIORITIES} | {ACCOUNT: KEY}
#: Length of a window of usage and time until its report is due, in seconds.
WINDOW_S: Final = 2.0
USAGE_DELAY_S: Final = 8.0
#: Events of a sample and seconds per event: a sample runs for 0.7 s.
EVENTS: Final = 35
EVENT_S: Final = 0.02
#: Factor on the time of an event at every third engine.
_SLOW_FACTOR: Final = 3.0
#: Slots of an engine. Engines take every other version, so that often one engine alone
#: may run the 18 samples of all trainers' steps. Three times the time of a sample on a
#: slow engine is within the time of a step.
_ENGINE_SLOTS: Final = 6
#: Delay before a process that has exited is restarted, in seconds.
_RESTART_DELAY_S: Final = 0.4
#: Delay before a crashed instance is replaced, in seconds.
_REPLACEMENT_DELAY_S: Final = 0.8
#: Interval at which processes and instances are polled, in seconds.
_POLL_INTERVAL_S: Final = 0.1


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def key_of_version(version: int) -> str:
    """Return the key that only one version of the configuration has."""
    return f"key-of-version-{version}"


def soak_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with one route and one key that only this version has."""
    accounts: list[dict[str, Any]] = [
        {"name": name, "api-keys": [KEYS[name]]}
        | ({} if priority is None else {"priority": priority})
        for name, priority in PRIORITIES.items()
    ]
    accounts[0]["api-keys"].append(key_of_version(version))
    accounts.append({"name": "other", "api-keys": []})
    value = configuration(version, tenants=accounts)
    for route in value["routes"]:
        route["public"] = route["path-prefix"] == REWARD
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
    """A process and its relay to the store."""

    # The process.
    process: ServingProcess
    # Relay between the process and the store.
    store: Relay
    # Monotonic time of the last start, in seconds.
    begun_s: float
    # Number of starts.
    incarnation: int = 1
    # Whether the soak has sent a signal that ends the process.
    is_ended_by_us: bool = False
    # Whether the process is frozen by SIGSTOP.
    is_frozen: bool = False


class World:
    """Processes, instances, store and records of the run of one seed."""

    def __init__(self, store: ServedStore, folder: Path, seed: int) -> None:
        self.random = random.Random(seed)
        self.fleet = Fleet(store, folder)
        # The platform's API for usage reports.
        self.duty_api = DutyApiStandin()
        self.store = store
        # Entries and engine programs, by name.
        self.entries: dict[str, Program] = {}
        self.engines: dict[str, Program] = {}
        # Relays before instances, by instance id.
        self.instance_relays: dict[str, Relay] = {}
        # Newest configuration and weight version that the store has acknowledged.
        self.configuration = 1
        self.named_version = 1
        # Newest weight version that a trainer has sent, acknowledged or not.
        self.sent_version = 1
        # Monotonic time at which the last fault had ended, in seconds.
        self.healed_s = float("inf")
        # Paths of requests that crash instances of the plain service.
        self.crash_paths: set[str] = set()
        # Crashed instances and when they crashed, in seconds of the monotonic clock.
        self.crashes: list[tuple[FleetInstance, float]] = []
        # Disturbances of programs and the store: name, begin and end in seconds.
        self.disturbances: list[tuple[str, float, float]] = []
        # Freezes of programs and disturbances of instances' relays, which delay orders:
        # name, begin and end in seconds.
        self.delays: list[tuple[str, float, float]] = []
        # Times in which entries were frozen, ending, down or starting.
        self.interruptions: list[Interruption] = []
        # Begins and ends of outages of the store, in seconds.
        self.outages: list[tuple[float, float]] = []
        # Ids of instances that aren't replaced when they crash.
        self.spares: set[str] = set()
        # Descriptions of violated guarantees.
        self.violations: list[str] = []
        # Numbers of events by kind.
        self.counts: Counter[str] = Counter()
        # Account of each caller and trainer, by the name that begins its request ids.
        self.accounts: dict[str, str] = {}
        self._numbers = 0
        # Number of overlapping faults that keep the store down.
        self._store_downs = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def record_violation(self, what: str) -> None:
        """Record the description of a violated guarantee."""
        self.violations.append(what)

    # Start of processes and instances.

    async def add_instance(self, upstream: str) -> FleetInstance:
        """Start and register an instance behind a new relay."""
        self._numbers += 1
        models, event_s, slots = ((), EVENT_S, 8)
        if upstream == "lm":
            engines = sum(item.upstream == "lm" for item in self.fleet.instances)
            is_slow = engines % 3 == 1
            models = (MODEL,)
            event_s, slots = EVENT_S * (_SLOW_FACTOR if is_slow else 1), _ENGINE_SLOTS
        instance = FleetInstance(
            f"{upstream}-{self._numbers}", upstream, models, EVENTS, event_s, slots
        )
        for model in models:
            instance.versions[model] = self.named_version
        if upstream == "app":
            instance.crash_paths = self.crash_paths
            instance.on_crash = lambda: self._handle_crash(instance)
        await instance.start()
        relay = Relay(instance.port)
        await relay.start()
        self.instance_relays[instance.id] = relay
        self.fleet.instances.append(instance)
        await self.register_instance(instance)
        return instance

    async def register_instance(self, instance: FleetInstance) -> None:
        """Write an instance's entry with the address of its relay."""
        port = self.instance_relays[instance.id].port
        value = instance.entry() | {"address": f"127.0.0.1:{port}"}
        client = self.store.client()
        made = await client.create(names.INSTANCE_KIND, instance.id, value, 5.0)
        if getattr(made, "value", value) != value:
            await client.replace(names.INSTANCE_KIND, instance.id, value, None)

    def _handle_crash(self, instance: FleetInstance) -> None:
        """Record the crash of an instance and schedule its replacement."""
        self.crashes.append((instance, _now_s()))
        self.counts["crash"] += 1
        instance.is_leaving = True
        self.instance_relays[instance.id].stop()
        self.spawn(self._replace(instance))

    async def _replace(self, instance: FleetInstance) -> None:
        await asyncio.sleep(_REPLACEMENT_DELAY_S)
        client = self.store.client()
        while await client.delete(names.INSTANCE_KIND, instance.id) is not None:
            await asyncio.sleep(_POLL_INTERVAL_S)
        if instance.id not in self.spares:
            await self.add_instance(instance.upstream)

    async def _relay_to_store(self) -> Relay:
        relay = Relay(self.store.port)
        await relay.start()
        return relay

    async def start_all(self, entries: int, engines: int, plain: int) -> None:
        """Start the instances, the programs and the background tasks."""
        self.fleet.extra_settings |= {
            "cloud-api.address": f"127.0.0.1:{await self.duty_api.start()}",
            "cloud-api.duties": "usage_reporting",
            "bounds.report-window-s": f"{WINDOW_S:g}",
            "bounds.usage-delay-s": f"{USAGE_DELAY_S:g}",
        }
        await self.fleet.configure(soak_configuration(1))
        for _ in range(plain):
            await self.add_instance("app")
        for number in range(engines):
            engine = await self.add_instance("lm")
            relay = await self._relay_to_store()
            name = f"engine-{number}"
            # The program finds its engine by the address in the instance list, which is
            # that of the relay.
            port = self.instance_relays[engine.id].port
            process = await self.fleet.add_engine_program(name, port, relay.port)
            self.engines[name] = Program(process, relay, _now_s())
        for number in range(entries):
            relay = await self._relay_to_store()
            process = await self.fleet.add_entry(f"entry-{number}", relay.port)
            self.entries[process.name] = Program(process, relay, _now_s())
        self.spawn(self._supervise())
        self.spawn(self._update_instance_entries())

    def spawn(self, work: Any) -> asyncio.Task[None]:
        """Run a coroutine as a task that ``stop`` cancels."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.record_violation(f"the soak itself failed: {task.exception()!r}")

    # Faults.

    async def hold_store_down(self, for_s: float) -> None:
        """Take the store down; it returns when the last overlapping fault ends."""
        faults = self.store.standin.faults
        self._store_downs += 1
        faults.down = True
        begun_s = _now_s()
        await asyncio.sleep(for_s)
        self._store_downs -= 1
        faults.down = self._store_downs > 0
        self.record_outage(begun_s)

    def record_outage(self, begun_s: float) -> None:
        """Record an outage of the store that ends now."""
        self.outages.append((begun_s, _now_s()))
        self.disturbances.append((STORE, begun_s, _now_s()))

    def interrupt(self, name: str) -> Interruption:
        """Record that an entry or engine program is interrupted from now on."""
        interruption = Interruption(name, _now_s())
        if name in self.entries:
            self.interruptions.append(interruption)
        return interruption

    async def _end_interruptions(self, program: Program) -> None:
        """Wait until a restarted entry is ready; end its interruptions before that."""
        restarted_s = program.begun_s
        while not await self._is_ready(program):
            await asyncio.sleep(_POLL_INTERVAL_S)
        for item in self.interruptions:
            is_earlier = item.begun_s <= restarted_s and item.ended_s > restarted_s
            if item.name == program.process.name and is_earlier:
                item.ended_s = _now_s()

    @staticmethod
    async def _is_ready(program: Program) -> bool:
        try:
            return await program.process.is_ready()
        except TimeoutError:
            # The process is frozen.
            return False

    # Work of the platform.

    async def _supervise(self) -> None:
        """Restart exited processes; an exit that no signal caused is a violation."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            for name, program in (*self.entries.items(), *self.engines.items()):
                process = program.process.process
                if process is None or process.returncode is None:
                    continue
                if not program.is_ended_by_us:
                    self.record_violation(
                        f"{name} ended by itself: {process.returncode}"
                    )
                program.is_ended_by_us = False
                program.is_frozen = False
                ended_s = _now_s()
                await asyncio.sleep(_RESTART_DELAY_S)
                program.incarnation += 1
                program.begun_s = _now_s()
                self.disturbances.append((name, ended_s, program.begun_s))
                await program.process.start()
                if name in self.entries:
                    self.spawn(self._end_interruptions(program))

    async def _update_instance_entries(self) -> None:
        """Write the instances' current weight versions to their entries."""
        listed: dict[str, dict[str, int]] = {}
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            for instance in self.fleet.instances:
                known = listed.get(instance.id)
                if known == instance.versions or instance.is_leaving:
                    continue
                if not self.store.standin.faults.down:
                    listed[instance.id] = dict(instance.versions)
                    await self.register_instance(instance)

    # Queries.

    def account_of(self, request_id: str) -> str:
        """Return the account under which a request must run."""
        if "reward" in request_id:
            return ""
        return self.accounts.get(request_id.partition("-")[0], ACCOUNT)

    def live_instances(self, upstream: str) -> list[FleetInstance]:
        """Return the instances that aren't leaving."""
        return [
            item
            for item in self.fleet.instances
            if item.upstream == upstream and not item.is_leaving
        ]

    def count_runs(self, request_id: str) -> int:
        """Return how many times instances began to run a request."""
        return sum(item.runs[request_id] for item in self.fleet.instances)

    def count_failures(self, request_id: str) -> int:
        """Return how many times instances failed a request after running it."""
        return sum(item.failures[request_id] for item in self.fleet.instances)

    def is_undisturbed(self, entry: str, at_s: float, for_s: float) -> bool:
        """Whether an entry and the store had no disturbance in [at_s - for_s, at_s]."""
        return not any(
            name in (entry, STORE) and begun_s <= at_s and ended_s >= at_s - for_s
            for name, begun_s, ended_s in self.disturbances
        )

    def choose_entry(self) -> Program:
        """Return a random entry, as the platform's load balancer would."""
        return self.random.choice(list(self.entries.values()))

    async def stop(self) -> None:
        """Kill every process of this run and stop the relays and stand-ins."""
        for task in tuple(self._tasks):
            task.cancel()
        for program in (*self.entries.values(), *self.engines.values()):
            process = program.process.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
            program.store.stop()
        self.duty_api.stop()
        for relay in self.instance_relays.values():
            relay.stop()
        for instance in self.fleet.instances:
            instance.stop()
