"""One seed's run: build, disturb, heal, judge."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from pathlib import Path
from typing import Final

import attrs

from pistachioglade.store.tests.served import served_store

from ._callers import Caller, ConfigurationProbe
from ._crashes import CrashingCaller
from ._faults import draw, play
from ._trainers import Trainer
from ._world import World, soak_configuration

#: Least time between the orders of two holders to one engine.
_LEASE_S: Final = 3.0
#: Time behind a freeze of a program or a fault of an engine's link in which an order
#: may arrive that was sent before it.
_HELD_UP_S: Final = 0.5
#: Time between two faults, in seconds; they last up to four, so that they overlap.
_GAP_S: Final = (0.2, 1.5)
#: Time between two versions of the configuration.
_CONFIGURE_S: Final = (1.5, 5.0)
#: Time for everything to be well again after the last fault: a silent link is noticed
#: after 3 s, and the longest retry pauses are 3 s.
_SETTLE_S: Final = 8.0
#: Time within which the checks behind a run have to end.
_JUDGE_S: Final = 60.0


@attrs.frozen
class Sizes:
    """How many of everything."""

    # Entries.
    entries: int = 3
    # Engines, each with its program.
    engines: int = 2
    # Instances of the plain service.
    plain: int = 3
    # Callers.
    callers: int = 4
    # Trainers.
    trainers: int = 2


@attrs.frozen
class Outcome:
    """What came of a seed."""

    # The seed.
    seed: int
    # Faults by kind.
    faults: dict[str, int]
    # What callers and trainers met.
    counts: dict[str, int]
    # Broken promises.
    violations: tuple[str, ...]


class SoakRun:
    """A world, its users and its faults."""

    def __init__(self, world: World, sizes: Sizes, seed: int) -> None:
        self._world = world
        self._crashing_caller = CrashingCaller(world, seed)
        self._sizes = sizes
        self._callers = [Caller(world, f"c{place}") for place in range(sizes.callers)]
        self._trainers = [
            Trainer(world, f"t{place}") for place in range(sizes.trainers)
        ]
        self._probe = ConfigurationProbe(world)
        self._faults: dict[str, int] = {}

    async def run(self, duration_s: float) -> None:
        """Disturb for a while, then judge."""
        world, sizes = self._world, self._sizes
        await world.build(sizes.entries, sizes.engines, sizes.plain)
        users = [
            world.spawn(user.run())
            for user in (
                *self._callers,
                *self._trainers,
                self._probe,
                self._crashing_caller,
            )
        ]
        operator = world.spawn(self._configure())
        await self._disturb(duration_s)
        operator.cancel()
        world.healed_s = asyncio.get_running_loop().time()
        await asyncio.sleep(_SETTLE_S)
        for user in users:
            user.cancel()
        await asyncio.sleep(0)
        async with asyncio.timeout(_JUDGE_S):
            await self._judge()

    async def _configure(self) -> None:
        world = self._world
        while True:
            await asyncio.sleep(world.random.uniform(*_CONFIGURE_S))
            # A write that the store doesn't answer may still be in force later.
            world.configuration += 1
            await world.fleet.configure(soak_configuration(world.configuration))

    async def _disturb(self, duration_s: float) -> None:
        world = self._world
        until_s = asyncio.get_running_loop().time() + duration_s
        playing = []
        while asyncio.get_running_loop().time() < until_s:
            fault = draw(world)
            kind = type(fault).__name__
            self._faults[kind] = self._faults.get(kind, 0) + 1
            playing.append(world.spawn(play(fault, world)))
            await asyncio.sleep(world.random.uniform(*_GAP_S))
        await asyncio.gather(*playing)
        for instance in world.fleet.instances:
            instance.faults = type(instance.faults)()
        world.store.dropped_answers = 0

    async def _judge(self) -> None:
        """Check what must hold once all is well again."""
        world = self._world
        for program in world.entries.values():
            while not await program.process.is_ready():
                await asyncio.sleep(0.1)
        await world.fleet.configure(soak_configuration(world.configuration))
        await asyncio.sleep(2.0)
        for program in world.entries.values():
            served = await self._probe.probe(program)
            if served != world.configuration:
                world.violated(
                    f"{program.process.name} serves version {served} at the end, "
                    f"not {world.configuration}"
                )
        for trainer in self._trainers:
            last = await trainer.step()
            if not last.is_accepted or len(last.results) < 6:
                world.violated(f"{last.id}: not whole though all is well")
        for trainer in self._trainers:
            await trainer.check_all()
        for caller in self._callers:
            caller.check_fates()
        self._crashing_caller.check_late_attempts()
        self._check_orders()

    def _check_orders(self) -> None:
        """Check that holders of an engine's orders take turns, each with its fence."""
        for instance in self._world.fleet.instances:
            orders = zip(instance.orders, instance.orders_s, strict=True)
            for (earlier, earlier_s), (later, later_s) in pairwise(orders):
                if self._is_held_up(instance.id, later["holder"], later_s):
                    continue
                if later["fencing-token"] < earlier["fencing-token"]:
                    self._world.violated(f"{instance.id}: {later} behind {earlier}")
                if later["holder"] == earlier["holder"]:
                    continue
                is_fenced = later["fencing-token"] > earlier["fencing-token"]
                if not is_fenced or later_s - earlier_s < _LEASE_S:
                    passed_s = round(later_s - earlier_s, 3)
                    self._world.violated(
                        f"{instance.id}: {later} {passed_s} s behind {earlier}"
                    )

    def _is_held_up(self, instance_id: str, holder: str, at_s: float) -> bool:
        """Whether an order may have been sent long before it came."""
        return any(
            name in (instance_id, holder) and begun_s <= at_s <= ended_s + _HELD_UP_S
            for name, begun_s, ended_s in self._world.held_up
        )

    def outcome(self, seed: int) -> Outcome:
        """Return what came of it."""
        world = self._world
        return Outcome(seed, self._faults, dict(world.counts), tuple(world.violations))


async def soak(seed: int, duration_s: float, folder: Path, sizes: Sizes) -> Outcome:
    """Run one seed; every process that it starts has ended when it returns."""
    async with served_store() as store:
        world = World(store, folder, seed)
        run = SoakRun(world, sizes, seed)
        try:
            await run.run(duration_s)
        except TimeoutError:
            world.violated("not well again in time")
        finally:
            await world.stop()
        return run.outcome(seed)
