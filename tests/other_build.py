"""Plays this build and another one together: stored data, links and handed-over jobs.

Run by hand: ``python -m tests.other_build CHECKOUT``, where the checkout holds another
version of this repository. Each play runs in both directions: what one build wrote, the
other one reads; what one build owned, the other one continues. Exit code 1 means that a
play failed or that a process logged a frame, record or object that it couldn't read.
"""

from __future__ import annotations

import asyncio
import re
import shutil
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any, Final

import attrs
import click

from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import FleetInstance, whole_text
from pistachioglade.store.tests.served import served_store
from soak._relay import Relay, RelayMode

from .crashing import CrashingUpstream, RepeatingCaller, now_s
from .serving import (
    JOBS,
    LOOKUP,
    EntryProcess,
    Fleet,
    configuration,
    instances_of,
    submission,
)

#: Checkout of the build that runs this script.
_THIS: Final = Path(__file__).parents[1]
#: Time allowed for one play, in seconds.
_PLAY_S: Final = 90.0
#: Time allowed for entries to learn of crashes, in seconds.
_PROPAGATION_S: Final = 3.0
#: Groups of each job, samples of each group, and items of each job.
_GROUPS, _SAMPLES, _ITEMS = 2, 4, 8
#: Entries with which some follow the others' copies of the store's changes.
_MANY: Final = 8
#: Plays in which each build has to own a job once.
_MOST_HANDOVERS: Final = 12
#: Events that say that a process refused what another process or the store gave it.
_UNREADABLE: Final = re.compile(
    r"unreadable|nameless|misplaced|record-unknown|bad_frame|not-taken"
    r"|(link|configuration|entry|instance|version|crash-record)[.-]refused"
    r"|(task|work|handler)[-_]?failed|task\.failed"
)


@attrs.frozen
class Builds:
    """Two checkouts: the first one writes, owns or asks; the second one continues."""

    first: Path
    second: Path

    def label(self) -> str:
        """Return which build is the first one."""
        return f"{'this' if self.first == _THIS else 'other'} build first"


class PlayError(Exception):
    """An expectation of a play that did not hold."""


def _expect(holds: bool, what: str) -> None:
    if not holds:
        raise PlayError(what)


@asynccontextmanager
async def _fleet(folder: Path) -> Any:
    async with served_store() as store:
        fleet = Fleet(store, folder)
        try:
            for number in range(2):
                await fleet.add_instance(FleetInstance(f"app-{number}", "app"))
                await fleet.add_instance(FleetInstance(f"lm-{number}", "lm", ("m",)))
            await fleet.configure(configuration(1))
            yield fleet
        finally:
            await fleet.stop()


def _check_logs(fleet: Fleet) -> None:
    """Fail if a process could not read a frame, a record or an object."""
    for log in sorted(fleet.folder.glob("*.log")):
        text = log.read_text()
        _expect("Traceback" not in text, f"{log.name}: {text[-2000:]}")
        for event in sorted(set(re.findall(r'"event": ?"([^"]+)"', text))):
            line = next(line for line in text.splitlines() if f'"{event}"' in line)
            _expect(not _UNREADABLE.search(event), f"{log.name}: {line}")


def _slow_engines(fleet: Fleet, events: int, event_s: float) -> None:
    for engine in instances_of(fleet, "lm"):
        engine.events, engine.event_s = events, event_s


async def _submit(fleet: Fleet, entry: EntryProcess, job_id: str) -> None:
    body = submission(_GROUPS, _SAMPLES, prefix=f"{job_id}-")
    answer = await fleet.call(entry, "POST", f"{JOBS}x", job_id, body)
    _expect(answer.status == 202, f"{job_id} at {entry.name}: {answer}")


async def _read(
    fleet: Fleet, entry: EntryProcess, job_id: str, events: int
) -> list[dict[str, Any]]:
    """Read a whole job and check each of its texts."""
    results = await fleet.results(entry, job_id, _ITEMS)
    ids = {str(result["id"]) for result in results}
    _expect(len(ids) == _ITEMS, f"{job_id} at {entry.name}: items {sorted(ids)}")
    for result in results:
        item = str(result["id"])
        _expect(result["state"] == "completed", f"{job_id}: {result}")
        _expect(result["output-text"] == whole_text(item, events), f"{item}: text")
        score = f"sig-{item.replace('item', 'reward')}"
        _expect(result["score"] == score, f"{item}: score {result['score']}")
    return results


async def _end(fleet: Fleet, entry: EntryProcess, job_id: str) -> None:
    answer = await fleet.call(entry, "DELETE", f"{names.JOB_PATH}{job_id}")
    _expect(answer.status == 200, f"end of {job_id} at {entry.name}: {answer}")


async def _until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.02)


async def _owner(fleet: Fleet, job_id: str) -> EntryProcess:
    """Return the entry that runs a job."""
    while True:
        for entry in fleet.entries:
            if any(line["job"] == job_id for line in entry.lines("job-run-begun")):
                return entry
        await asyncio.sleep(0.02)


async def _lookups(fleet: Fleet, entries: Sequence[EntryProcess], phase: str) -> None:
    for entry in entries:
        request_id = f"lookup-{phase}-{entry.name}"
        answer = await fleet.call(entry, "GET", f"{LOOKUP}x", request_id)
        _expect(answer.status == 200, f"lookup at {entry.name}: {answer}")


async def _name_version(fleet: Fleet, version: int) -> None:
    client = fleet.store.client()
    value = {"model": "m", "version": version}
    await client.create(names.VERSION_KIND, "m", value, 5.0)
    await client.replace(names.VERSION_KIND, "m", value, None)
    held = [engine.versions for engine in instances_of(fleet, "lm")]
    await _until(lambda: max(item["m"] for item in held) >= version)
    await _until(lambda: min(item["m"] for item in held) >= version - 1)


async def _configure(
    fleet: Fleet, version: int, entries: Sequence[EntryProcess]
) -> None:
    """Write a configuration and wait until it is in force at all entries."""
    await fleet.configure(configuration(version))
    event = "configuration-in-force"
    for entry in entries:
        while all(line["version"] != version for line in entry.lines(event)):
            await asyncio.sleep(0.02)


async def stored_data(builds: Builds, fleet: Fleet) -> None:
    """Kill all processes of one build; start the other build on what they wrote.

    They wrote an accepted configuration, a complete job, an ended one, an open one
    with saved texts, leases on engines, named versions and a crash record.
    """
    for number in range(2):
        await fleet.add_entry(f"entry-{number}", build=builds.first)
    engine = instances_of(fleet, "lm")[0]
    beside = await fleet.add_engine_program(
        "beside-lm-0", engine.port, fleet.store.port, builds.first
    )
    fleet.entries.append(beside)
    first, second = fleet.entries[:2]
    await _name_version(fleet, 2)
    await _submit(fleet, first, "complete")
    complete = await _read(fleet, second, "complete", 6)
    await _submit(fleet, second, "ended")
    ended = await _read(fleet, first, "ended", 6)
    await _end(fleet, second, "ended")
    upstream = CrashingUpstream(fleet)
    await upstream.add()
    entries = fleet.entries[:2]
    caller = RepeatingCaller(fleet)
    while len(upstream.crashes_s) < 3:
        for entry in entries:
            await caller.call(entry)
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    crashes = len(upstream.crashes_s)
    _slow_engines(fleet, 80, 0.05)
    await _submit(fleet, first, "open")
    await _until(lambda: any(entry.lines("texts-saved") for entry in entries))
    for entry in fleet.entries:
        entry.signal(signal.SIGKILL)
        await entry.ended()
    for entry in fleet.entries:
        entry.build = builds.second
        entry.log = entry.log.with_suffix(".second.log")
        await entry.start()
    for entry in entries:
        await entry.ready()
    _expect(await _read(fleet, first, "complete", 6) == complete, "complete: differs")
    _expect(await _read(fleet, second, "ended", 6) == ended, "ended: differs")
    target = f"{names.ITEM_PATH}complete?id=complete-item-0-0"
    item = await fleet.call(second, "GET", target)
    _expect(item.body == b"prompt", f"stored item: {item}")
    await _read(fleet, second, "open", 80)
    resumed = {
        run
        for engine in instances_of(fleet, "lm")
        for run in engine.resumed
        if run.startswith("open-")
    }
    _expect(bool(resumed), "no sample of the open job went on from its saved text")
    await _end(fleet, first, "open")
    await _name_version(fleet, 3)
    settled_s = now_s()
    for entry in entries:
        await caller.call(entry)
    _expect(upstream.attempts_since(settled_s) <= 1, "the crash record was not heeded")
    _expect(len(upstream.crashes_s) <= crashes + 1, "an instance crashed again")
    await _configure(fleet, 2, entries)
    await asyncio.sleep(1.0)
    await _lookups(fleet, entries, "second")


async def side_by_side(builds: Builds, fleet: Fleet) -> None:
    """Submit a job to an entry of each build and read it through the other one.

    A request that crashes instances is reported by one build and refused by the other;
    an engine of each build's program hears the versions that the other one announces.
    """
    first = await fleet.add_entry("entry-0", build=builds.first)
    second = await fleet.add_entry("entry-1", build=builds.second)
    engine = instances_of(fleet, "lm")[0]
    beside = await fleet.add_engine_program(
        "beside-lm-0", engine.port, fleet.store.port, builds.second
    )
    fleet.entries.append(beside)
    await asyncio.sleep(2.5)
    await _lookups(fleet, (first, second), "beside")
    for number, (asked, reader) in enumerate(((first, second), (second, first))):
        await _submit(fleet, asked, f"job-{number}")
        results = await _read(fleet, reader, f"job-{number}", 6)
        again = await _read(fleet, asked, f"job-{number}", 6)
        _expect(again == results, f"job-{number}: its readers differ")
        await _end(fleet, reader, f"job-{number}")
    for version in (2, 3, 4):
        await _name_version(fleet, version)
    upstream = CrashingUpstream(fleet)
    await upstream.add()
    caller = RepeatingCaller(fleet)
    while len(upstream.crashes_s) < 3:
        await caller.call(first)
        await asyncio.sleep(0.1)
    await asyncio.sleep(_PROPAGATION_S)
    settled_s = now_s()
    await caller.call(second)
    _expect(upstream.attempts_since(settled_s) <= 1, "a reported crash was not heeded")


async def without_store(builds: Builds, fleet: Fleet) -> None:
    """Cut an entry off the store; an entry of the second build relays its calls."""
    relay = Relay(fleet.store.port)
    far = await fleet.add_entry("entry-0", build=builds.second)
    near = await fleet.add_entry("cut-off", await relay.start(), builds.first)
    await asyncio.sleep(2.5)
    relay.set_mode(RelayMode.RESET)
    await asyncio.sleep(1.0)
    for job_id, asked, reader in (("job-0", near, far), ("job-1", far, near)):
        await _submit(fleet, asked, job_id)
        await _read(fleet, reader, job_id, 6)
        await _end(fleet, asked, job_id)
    relay.set_mode(RelayMode.OPEN)
    relay.stop()


async def many_entries(builds: Builds, fleet: Fleet) -> None:
    """Let entries of both builds follow each other's copies of the store's changes."""
    for number in range(_MANY):
        build = builds.first if number % 2 == 0 else builds.second
        await fleet.add_entry(f"entry-{number}", build=build)
    await asyncio.sleep(4.0)
    for number, version in enumerate((2, 3)):
        await _submit(fleet, fleet.entries[number], f"job-{number}")
        for entry in fleet.entries:
            await _read(fleet, entry, f"job-{number}", 6)
        await _configure(fleet, version, fleet.entries)
    await _lookups(fleet, fleet.entries, "many")


async def handover(builds: Builds, fleet: Fleet, number: signal.Signals) -> Path:
    """End the entry that owns a job; return the build that owned it.

    The entry of the other build goes on with the samples and answers their reader.
    """
    for position, build in enumerate((builds.first, builds.second)):
        await fleet.add_entry(f"entry-{position}", build=build)
    await asyncio.sleep(2.5)
    _slow_engines(fleet, 80, 0.05)
    await _submit(fleet, fleet.entries[0], "job")
    owner = await _owner(fleet, "job")
    other = next(entry for entry in fleet.entries if entry is not owner)
    await _until(lambda: bool(owner.lines("texts-saved")))
    owner.signal(number)
    results = await _read(fleet, other, "job", 80)
    _expect(bool(other.lines("job-run-begun")), f"{other.name} did not go on")
    await owner.ended()
    _expect(await _read(fleet, other, "job", 80) == results, "results changed")
    await _end(fleet, other, "job")
    assert owner.build is not None
    return owner.build


Play = Callable[[Builds, Fleet], Awaitable[Any]]
_PLAYS: Final[tuple[Play, ...]] = stored_data, side_by_side, without_store, many_entries


def _run_play(label: str, builds: Builds, play: Play) -> tuple[bool, Any]:
    """Run one play in a folder of its own, which is kept if the play fails."""

    async def work(folder: Path) -> Any:
        async with asyncio.timeout(_PLAY_S), _fleet(folder) as fleet:
            result = await play(builds, fleet)
            _check_logs(fleet)
            return result

    folder = Path(tempfile.mkdtemp(prefix="other-build-"))
    try:
        result = asyncio.run(work(folder))
    except (PlayError, AssertionError, TimeoutError) as error:
        click.echo(f"FAILED  {label}, {builds.label()}: {error!r:.600}; logs: {folder}")
        return False, None
    shutil.rmtree(folder)
    click.echo(f"passed  {label}, {builds.label()}")
    return True, result


def _run_handovers(other: Path, number: signal.Signals) -> bool:
    """Play handovers until each build has owned a job that the other one finished."""
    owners: set[Path] = set()
    for attempt in count():
        if len(owners) == 2:
            return True
        if attempt == _MOST_HANDOVERS:
            break
        builds = Builds(_THIS, other) if attempt % 2 else Builds(other, _THIS)
        play = partial(handover, number=number)
        passed, owner = _run_play(f"handover after {number.name}", builds, play)
        if not passed:
            return False
        click.echo(
            f"        owner was {'this' if owner == _THIS else 'the other'} build"
        )
        owners.add(owner)
    click.echo(f"FAILED  handover after {number.name}: one build owned no job")
    return False


@click.command(help=__doc__)
@click.argument("checkout", type=click.Path(exists=True, file_okay=False))
def main(checkout: str) -> None:
    """Run every play in both directions."""
    other = Path(checkout).resolve()
    passed = [
        _run_play(play.__name__, builds, play)[0]
        for play in _PLAYS
        for builds in (Builds(other, _THIS), Builds(_THIS, other))
    ]
    signals = (signal.SIGKILL, signal.SIGTERM)
    passed += [_run_handovers(other, number) for number in signals]
    click.echo(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
