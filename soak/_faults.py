"""Faults of a soak: each is injected from outside the processes and then ended."""

from __future__ import annotations

import asyncio
import signal
from functools import singledispatch
from pathlib import Path
from typing import Any, Final

import attrs

from ._relay import Relay, RelayMode
from ._world import STORE, Program, World

#: Range of a fault's duration, in seconds; guarantees with a time limit allow for 3 s.
_DURATION_S: Final = (0.3, 4.0)
#: Instance faults that ``Script`` can set, and the maximum of affected requests.
_INSTANCE_FAULTS: Final = ("silent", "cut", "wrong_id", "refused", "failed", "unsigned")
_MAX_FAULTY_REQUESTS: Final = 6
#: Time in which an interpreter reaches a program's first line on any machine, in
#: seconds.
_INTERPRETER_START_S: Final = 5.0
#: Pause between two reads of a process's signal masks, in seconds.
_MASK_POLL_S: Final = 0.005


@attrs.frozen
class Signal:
    """A signal to a process; SIGSTOP is followed by SIGCONT."""

    # Name of the process.
    name: str
    # Signal that is sent.
    number: signal.Signals
    # Time until SIGCONT, in seconds.
    for_s: float


@attrs.frozen
class KillAll:
    """All entries are killed at the same moment."""


@attrs.frozen
class StorePath:
    """The relay between one process and the store is disturbed."""

    # Name of the process.
    name: str
    # Mode of the relay during the fault.
    mode: RelayMode
    # Duration, in seconds.
    for_s: float


@attrs.frozen
class InstancePath:
    """The relay before one instance is disturbed."""

    # Index of the instance among all, modulo their number.
    number: int
    # Mode of the relay during the fault.
    mode: RelayMode
    # Duration, in seconds.
    for_s: float


@attrs.frozen
class StoreFault:
    """The store is down, silent, loses answers or drops its change history."""

    # Kind: "down", "silent", "lost" or "forget".
    how: str
    # Duration, in seconds.
    for_s: float


@attrs.frozen
class Script:
    """An instance answers some of the next requests wrongly."""

    # Index of the instance among all, modulo their number.
    number: int
    # Name of the instance fault.
    how: str
    # Number of requests that the fault affects.
    requests: int


@attrs.frozen
class Replace:
    """An instance announces that it leaves; a new instance replaces it."""

    # Upstream of the instance.
    upstream: str


@attrs.frozen
class Reload:
    """A process gets SIGHUP, which tells it to read its settings again."""

    # Name of the process.
    name: str


Fault = (
    Signal | KillAll | StorePath | InstancePath | StoreFault | Script | Replace | Reload
)


def draw_fault(world: World) -> Fault:
    """Return a random fault."""
    rand = world.random
    name = rand.choice([*world.entries, *world.engines])
    entry = rand.choice(list(world.entries))
    for_s = rand.uniform(*_DURATION_S)
    number = rand.randrange(1000)
    modes = [mode for mode in RelayMode if mode is not RelayMode.OPEN]
    return rand.choice(
        [
            Signal(entry, signal.SIGKILL, 0.0),
            Signal(name, signal.SIGTERM, 0.0),
            Signal(name, signal.SIGSTOP, for_s),
            StorePath(name, rand.choice(modes), for_s),
            InstancePath(number, rand.choice(modes), for_s),
            StoreFault(rand.choice(["down", "silent", "lost", "forget"]), for_s),
            Script(
                number,
                rand.choice(_INSTANCE_FAULTS),
                rand.randint(1, _MAX_FAULTY_REQUESTS),
            ),
            Replace(rand.choice(["app", "lm"])),
            Reload(name),
            *([KillAll()] if rand.random() < 0.3 else []),
        ]
    )


def _program(world: World, name: str) -> Program:
    return world.entries.get(name) or world.engines[name]


def _handles_hangup(pid: int) -> bool:
    """Whether the signal masks of a process show that it ignores or handles SIGHUP."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [line.split()[1] for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    bit = 1 << (signal.SIGHUP - 1)
    return any(int(mask, 16) & bit for mask in masks)


@singledispatch
async def inject_fault(fault: Any, world: World) -> None:
    """Inject a fault; return when it has ended."""
    raise TypeError(f"no fault: {fault!r}")


@inject_fault.register
async def _(fault: Signal, world: World) -> None:
    program = _program(world, fault.name)
    process = program.process.process
    if process is None or process.returncode is not None or program.is_frozen:
        return
    if fault.number is not signal.SIGSTOP:
        program.is_ended_by_us = True
        world.interrupt(fault.name)
        process.send_signal(fault.number)
        return
    program.is_frozen = True
    interruption = world.interrupt(fault.name)
    process.send_signal(signal.SIGSTOP)
    begun_s = asyncio.get_running_loop().time()
    await asyncio.sleep(fault.for_s)
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)
    program.is_frozen = False
    ended_s = asyncio.get_running_loop().time()
    interruption.ended_s = ended_s
    world.delays.append((fault.name, begun_s, ended_s))
    world.disturbances.append((fault.name, begun_s, ended_s))


@inject_fault.register
async def _(fault: KillAll, world: World) -> None:
    for name, program in world.entries.items():
        process = program.process.process
        if process is not None and process.returncode is None:
            program.is_ended_by_us = True
            world.interrupt(name)
            process.send_signal(signal.SIGKILL)


async def _disturb_relay(relay: Relay, mode: RelayMode, for_s: float) -> None:
    relay.set_mode(mode)
    await asyncio.sleep(for_s)
    relay.set_mode(RelayMode.OPEN)


@inject_fault.register
async def _(fault: StorePath, world: World) -> None:
    begun_s = asyncio.get_running_loop().time()
    await _disturb_relay(_program(world, fault.name).store, fault.mode, fault.for_s)
    ended_s = asyncio.get_running_loop().time()
    world.disturbances.append((fault.name, begun_s, ended_s))


@inject_fault.register
async def _(fault: InstancePath, world: World) -> None:
    instances = list(world.instance_relays)
    disturbed = instances[fault.number % len(instances)]
    begun_s = asyncio.get_running_loop().time()
    await _disturb_relay(world.instance_relays[disturbed], fault.mode, fault.for_s)
    world.delays.append((disturbed, begun_s, asyncio.get_running_loop().time()))


@inject_fault.register
async def _(fault: StoreFault, world: World) -> None:
    begun_s = asyncio.get_running_loop().time()
    match fault.how:
        case "down":
            await world.hold_store_down(fault.for_s)
        case "silent":
            world.store.is_silent = True
            await asyncio.sleep(fault.for_s)
            world.store.is_silent = False
            world.record_outage(begun_s)
        case "lost":
            world.store.dropped_answers += 3
            world.disturbances.append((STORE, begun_s, begun_s))
        case _:
            world.store.standin._forget_history()
            world.disturbances.append((STORE, begun_s, begun_s))


@inject_fault.register
async def _(fault: Script, world: World) -> None:
    instances = world.fleet.instances
    chosen = instances[fault.number % len(instances)]
    setattr(chosen.faults, fault.how, fault.requests)


@inject_fault.register
async def _(fault: Replace, world: World) -> None:
    live = world.live_instances(fault.upstream)
    if not live:
        return
    leaving = world.random.choice(live)
    port = world.instance_relays[leaving.id].port
    has_program = any(
        program.process.settings.read_text().endswith(f"app=127.0.0.1:{port}\n")
        for program in world.engines.values()
    )
    if has_program or len(world.live_instances(fault.upstream)) > 4:
        return
    await world.add_instance(fault.upstream)
    leaving.is_leaving = True
    await world.register_instance(leaving)


@inject_fault.register
async def _(fault: Reload, world: World) -> None:
    program = _program(world, fault.name)
    process = program.process.process
    # Before the first line of the program, SIGHUP ends the process. No program can
    # prevent this during the interpreter's start, whose duration varies by machine.
    while process is not None and process.returncode is None:
        age_s = asyncio.get_running_loop().time() - program.begun_s
        if _handles_hangup(process.pid) or age_s > _INTERPRETER_START_S:
            process.send_signal(signal.SIGHUP)
            return
        await asyncio.sleep(_MASK_POLL_S)
