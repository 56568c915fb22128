"""The run of one seed: start, inject faults, wait for recovery, check."""

from __future__ import annotations

import asyncio
from itertools import cycle, pairwise
from pathlib import Path
from typing import Final

import attrs

from pistachioglade.store.tests.served import served_store
from tests.serving import LOOKUP

from ._bursts import Bursts
from ._callers import Caller, ConfigurationProbe, LateReader
from ._crashes import CrashingCaller
from ._faults import draw_fault, inject_fault
from ._outages import StoreOutages
from ._trainers import Trainer
from ._world import PRIORITIES, World, soak_configuration

#: Minimum time between orders of two lease holders to one engine, in seconds.
_MIN_HOLDER_CHANGE_S: Final = 3.0
#: Time after a freeze of a program or a fault of an engine's relay in which an order
#: that was sent before may still arrive, in seconds.
_DELAY_MARGIN_S: Final = 0.5
#: Range of the time between two faults, in seconds. Faults last up to 4 s and overlap.
_FAULT_INTERVAL_S: Final = (0.2, 1.5)
#: Range of the time between two versions of the configuration, in seconds.
_CONFIGURATION_INTERVAL_S: Final = (1.5, 5.0)
#: Time for recovery after the last fault, in seconds: a silent link is detected after
#: 3 s, and the longest retry pauses are 3 s.
_SETTLE_S: Final = 8.0
#: Time limit of the checks at the end of a run, in seconds.
_CHECK_TIMEOUT_S: Final = 60.0


@attrs.frozen
class Sizes:
    """Numbers of processes, instances and users in a run."""

    # Number of entries.
    entries: int = 3
    # Number of engines, each with an engine program.
    engines: int = 3
    # Number of instances of the plain service.
    plain: int = 3
    # Number of callers.
    callers: int = 4
    # Number of trainers.
    trainers: int = 3
    # Number of callers that read their answers late.
    late_readers: int = 2


@attrs.frozen
class Outcome:
    """Result of one seed."""

    # The seed.
    seed: int
    # Number of injected faults by kind.
    faults: dict[str, int]
    # Numbers of events that callers and trainers observed, by kind.
    counts: dict[str, int]
    # Violated guarantees.
    violations: tuple[str, ...]


class SoakRun:
    """Runs the users of a world, injects faults and checks the guarantees."""

    def __init__(self, world: World, sizes: Sizes, seed: int) -> None:
        self._world = world
        self._crashing_caller = CrashingCaller(world, seed)
        self._outages = StoreOutages(world, self._crashing_caller, seed)
        self._sizes = sizes
        accounts = cycle(PRIORITIES)
        self._late_readers = [
            LateReader(world, f"l{number}", next(accounts))
            for number in range(sizes.late_readers)
        ]
        self._callers = [
            Caller(world, f"c{number}", next(accounts))
            for number in range(sizes.callers)
        ]
        self._trainers = [
            Trainer(world, f"t{number}", account)
            for number, account in zip(
                range(sizes.trainers), cycle(PRIORITIES), strict=False
            )
        ]
        self._bursts = Bursts(world)
        self._probe = ConfigurationProbe(world)
        self._faults: dict[str, int] = {}

    async def run(self, duration_s: float) -> None:
        """Inject faults for some time, then wait for recovery and check."""
        world, sizes = self._world, self._sizes
        await world.start_all(sizes.entries, sizes.engines, sizes.plain)
        users = [
            world.spawn(user.run())
            for user in (
                *self._callers,
                *self._late_readers,
                *self._trainers,
                self._bursts,
                self._probe,
                self._crashing_caller,
            )
        ]
        operator = world.spawn(self._change_configuration())
        await asyncio.gather(
            self._inject_faults(duration_s), self._outages.run(duration_s)
        )
        operator.cancel()
        world.healed_s = asyncio.get_running_loop().time()
        await asyncio.sleep(_SETTLE_S)
        for user in users:
            user.cancel()
        await asyncio.sleep(0)
        async with asyncio.timeout(_CHECK_TIMEOUT_S):
            await self._check()

    async def _change_configuration(self) -> None:
        world = self._world
        while True:
            await asyncio.sleep(world.random.uniform(*_CONFIGURATION_INTERVAL_S))
            # A write without an answer from the store may still take effect later.
            world.configuration += 1
            await world.fleet.configure(soak_configuration(world.configuration))

    async def _inject_faults(self, duration_s: float) -> None:
        world = self._world
        until_s = asyncio.get_running_loop().time() + duration_s
        injections = []
        while asyncio.get_running_loop().time() < until_s:
            fault = draw_fault(world)
            kind = type(fault).__name__
            self._faults[kind] = self._faults.get(kind, 0) + 1
            injections.append(world.spawn(inject_fault(fault, world)))
            await asyncio.sleep(world.random.uniform(*_FAULT_INTERVAL_S))
        await asyncio.gather(*injections)
        for instance in world.fleet.instances:
            instance.faults = type(instance.faults)()
        world.store.dropped_answers = 0

    async def _check(self) -> None:
        """Check the guarantees that hold after all faults have ended."""
        world = self._world
        for program in world.entries.values():
            while not await program.process.is_ready():
                await asyncio.sleep(0.1)
        await world.fleet.configure(soak_configuration(world.configuration))
        await asyncio.sleep(2.0)
        for program in world.entries.values():
            served = await self._probe.probe(program)
            if served != world.configuration:
                world.record_violation(
                    f"{program.process.name} serves version {served} at the end, "
                    f"not {world.configuration}"
                )
        # All trainers compete for the engines, and each must get its whole step.
        steps = await asyncio.gather(*(trainer.step() for trainer in self._trainers))
        for last in steps:
            if not last.is_accepted or len(last.results) < 6:
                world.record_violation(f"{last.id}: not whole though all is well")
        for trainer in self._trainers:
            await trainer.check_all()
        await self._bursts.check_last()
        for reader in self._late_readers:
            if await reader.call(world.choose_entry(), LOOKUP) != 200:
                world.record_violation("a late reader got no answer though all is well")
        for caller in (*self._callers, *self._late_readers, *self._bursts.callers):
            caller.check_runs()
        self._crashing_caller.check_late_attempts()
        self._crashing_caller.check_outages()
        self._check_orders()
        self._check_accounts()
        await self._check_usage()

    def _check_accounts(self) -> None:
        """Check that requests ran under their account, and reward calls under none."""
        for instance in self._world.fleet.instances:
            for request_id, accounts in instance.accounts.items():
                if accounts != {self._world.account_of(request_id)}:
                    self._world.record_violation(f"{request_id} ran under {accounts}")

    async def _check_usage(self) -> None:
        """Check that windows are reported again, and no report contradicts another."""
        world = self._world
        reported = len(world.duty_api.by_window())
        while len(world.duty_api.by_window()) < reported + 2:
            await asyncio.sleep(0.1)
        world.counts["usage window"] += reported
        for what in world.duty_api.contradictions(_MIN_HOLDER_CHANGE_S):
            world.record_violation(what)

    def _check_orders(self) -> None:
        """Check that holders' orders don't overlap and that fencing tokens rise."""
        for instance in self._world.fleet.instances:
            orders = zip(instance.orders, instance.orders_s, strict=True)
            for (earlier, earlier_s), (later, later_s) in pairwise(orders):
                if self._may_be_delayed(instance.id, later["holder"], later_s):
                    continue
                if later["fencing-token"] < earlier["fencing-token"]:
                    self._world.record_violation(
                        f"{instance.id}: {later} behind {earlier}"
                    )
                if later["holder"] == earlier["holder"]:
                    continue
                is_fenced = later["fencing-token"] > earlier["fencing-token"]
                if not is_fenced or later_s - earlier_s < _MIN_HOLDER_CHANGE_S:
                    passed_s = round(later_s - earlier_s, 3)
                    self._world.record_violation(
                        f"{instance.id}: {later} {passed_s} s behind {earlier}"
                    )

    def _may_be_delayed(self, instance_id: str, holder: str, at_s: float) -> bool:
        """Whether a disturbance may have delayed an order after it was sent."""
        return any(
            name in (instance_id, holder)
            and begun_s <= at_s <= ended_s + _DELAY_MARGIN_S
            for name, begun_s, ended_s in self._world.delays
        )

    def outcome(self, seed: int) -> Outcome:
        """Return the outcome of the run."""
        world = self._world
        return Outcome(seed, self._faults, dict(world.counts), tuple(world.violations))


async def soak(seed: int, duration_s: float, folder: Path, sizes: Sizes) -> Outcome:
    """Run one seed; every process that the run starts has ended on return."""
    async with served_store() as store:
        world = World(store, folder, seed)
        run = SoakRun(world, sizes, seed)
        try:
            await run.run(duration_s)
        except TimeoutError:
            world.record_violation("not well again in time")
        finally:
            await world.stop()
        return run.outcome(seed)
