"""Faults of a soak: each is brought about from outside a process, and heals."""

from __future__ import annotations

import asyncio
import signal
from functools import singledispatch
from pathlib import Path
from typing import Any, Final

import attrs

from ._relay import Relay, RelayMode
from ._world import STORE, Program, World

#: Time that a fault lasts, in seconds; promises with a bound allow for 3 s.
_LASTS_S: Final = (0.3, 4.0)
#: Instance faults that a fault scripts, and how many requests each may meet.
_SCRIPTS: Final = ("silent", "cut", "wrong_id", "refused", "failed", "unsigned")
_MOST_SCRIPTED: Final = 6
#: Time in which an interpreter has reached a program's first line, on any machine.
_INTERPRETER_S: Final = 5.0
_MASK_PAUSE_S: Final = 0.005


@attrs.frozen
class Signal:
    """A signal to a process; SIGSTOP is followed by SIGCONT."""

    # Name of the process.
    name: str
    # The signal.
    number: signal.Signals
    # Time until a stopped process goes on.
    for_s: float


@attrs.frozen
class KillAll:
    """All entries die at the same moment."""


@attrs.frozen
class StorePath:
    """The way between one process and the store misbehaves."""

    # Name of the process.
    name: str
    # How.
    mode: RelayMode
    # For how long.
    for_s: float


@attrs.frozen
class InstancePath:
    """The way to one instance misbehaves."""

    # Place of the instance among all.
    number: int
    # How.
    mode: RelayMode
    # For how long.
    for_s: float


@attrs.frozen
class StoreFault:
    """The store is away, silent, loses answers or forgets its history."""

    # Which.
    how: str
    # For how long.
    for_s: float


@attrs.frozen
class Script:
    """An instance answers some of the next requests wrongly."""

    # Place of the instance among all.
    number: int
    # Which fault.
    how: str
    # How many requests meet it.
    requests: int


@attrs.frozen
class Replace:
    """An instance announces that it leaves; another one comes."""

    # Upstream.
    upstream: str


@attrs.frozen
class Reload:
    """A process hears that its settings have changed."""

    # Name of the process.
    name: str


Fault = (
    Signal | KillAll | StorePath | InstancePath | StoreFault | Script | Replace | Reload
)


def draw(world: World) -> Fault:
    """Draw a fault."""
    rand = world.random
    name = rand.choice([*world.entries, *world.engines])
    entry = rand.choice(list(world.entries))
    for_s = rand.uniform(*_LASTS_S)
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
            Script(number, rand.choice(_SCRIPTS), rand.randint(1, _MOST_SCRIPTED)),
            Replace(rand.choice(["app", "lm"])),
            Reload(name),
            *([KillAll()] if rand.random() < 0.3 else []),
        ]
    )


def _program(world: World, name: str) -> Program:
    return world.entries.get(name) or world.engines[name]


def _covers_hangup(pid: int) -> bool:
    """Whether a process ignores or handles SIGHUP by now, as its masks tell."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [line.split()[1] for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    bit = 1 << (signal.SIGHUP - 1)
    return any(int(mask, 16) & bit for mask in masks)


@singledispatch
async def play(fault: Any, world: World) -> None:
    """Bring a fault about, and let it heal."""
    raise TypeError(f"no fault: {fault!r}")


@play.register
async def _(fault: Signal, world: World) -> None:
    program = _program(world, fault.name)
    process = program.process.process
    if process is None or process.returncode is not None or program.is_frozen:
        return
    if fault.number is not signal.SIGSTOP:
        program.is_ended_by_us = True
        process.send_signal(fault.number)
        return
    program.is_frozen = True
    process.send_signal(signal.SIGSTOP)
    begun_s = asyncio.get_running_loop().time()
    await asyncio.sleep(fault.for_s)
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)
    program.is_frozen = False
    ended_s = asyncio.get_running_loop().time()
    world.held_up.append((fault.name, begun_s, ended_s))
    world.disturbances.append((fault.name, begun_s, ended_s))


@play.register
async def _(fault: KillAll, world: World) -> None:
    for program in world.entries.values():
        process = program.process.process
        if process is not None and process.returncode is None:
            program.is_ended_by_us = True
            process.send_signal(signal.SIGKILL)


async def _bend(relay: Relay, mode: RelayMode, for_s: float) -> None:
    relay.set_mode(mode)
    await asyncio.sleep(for_s)
    relay.set_mode(RelayMode.OPEN)


@play.register
async def _(fault: StorePath, world: World) -> None:
    begun_s = asyncio.get_running_loop().time()
    await _bend(_program(world, fault.name).store, fault.mode, fault.for_s)
    ended_s = asyncio.get_running_loop().time()
    world.disturbances.append((fault.name, begun_s, ended_s))


@play.register
async def _(fault: InstancePath, world: World) -> None:
    instances = list(world.instance_relays)
    bent = instances[fault.number % len(instances)]
    begun_s = asyncio.get_running_loop().time()
    await _bend(world.instance_relays[bent], fault.mode, fault.for_s)
    world.held_up.append((bent, begun_s, asyncio.get_running_loop().time()))


@play.register
async def _(fault: StoreFault, world: World) -> None:
    begun_s = asyncio.get_running_loop().time()
    await _play_store_fault(fault, world)
    ended_s = asyncio.get_running_loop().time()
    world.disturbances.append((STORE, begun_s, ended_s))


async def _play_store_fault(fault: StoreFault, world: World) -> None:
    faults = world.store.standin.faults
    match fault.how:
        case "down":
            faults.down = True
            await asyncio.sleep(fault.for_s)
            faults.down = False
        case "silent":
            world.store.is_silent = True
            await asyncio.sleep(fault.for_s)
            world.store.is_silent = False
        case "lost":
            world.store.dropped_answers += 3
        case _:
            world.store.standin._forget_history()


@play.register
async def _(fault: Script, world: World) -> None:
    instances = world.fleet.instances
    chosen = instances[fault.number % len(instances)]
    setattr(chosen.faults, fault.how, fault.requests)


@play.register
async def _(fault: Replace, world: World) -> None:
    live = world.live(fault.upstream)
    if not live:
        return
    leaving = world.random.choice(live)
    port = world.instance_relays[leaving.id].port
    has_program = any(
        program.process.settings.read_text().endswith(f"app=127.0.0.1:{port}\n")
        for program in world.engines.values()
    )
    if has_program or len(world.live(fault.upstream)) > 4:
        return
    await world.add_instance(fault.upstream)
    leaving.is_leaving = True
    await world.list_instance(leaving)


@play.register
async def _(fault: Reload, world: World) -> None:
    program = _program(world, fault.name)
    process = program.process.process
    # Before a program's first line the signal still ends the process; that part of
    # the interpreter's start is nobody's to cover, and as long as the machine makes it.
    while process is not None and process.returncode is None:
        age_s = asyncio.get_running_loop().time() - program.begun_s
        if _covers_hangup(process.pid) or age_s > _INTERPRETER_S:
            process.send_signal(signal.SIGHUP)
            return
        await asyncio.sleep(_MASK_PAUSE_S)
