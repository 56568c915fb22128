"""Checks that this build and another one work together: stored data, links, handovers.

Run by hand: ``python -m tests.other_build CHECKOUT``, where the checkout holds another
version of this repository. Each case runs in both directions: one build reads what the
other build wrote and continues the jobs that the other build owned. Exit code 1 means
that a case failed or that a process logged an unreadable frame, record or object.
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
from pistachioglade.standins._fleet_instance import FleetInstance, sample_text
from pistachioglade.store.tests.served import served_store
from soak._relay import Relay, RelayMode

from .crashing import CrashingUpstream, RepeatingCaller, now_s
from .serving import (
    JOBS,
    LOOKUP,
    Fleet,
    ServingProcess,
    configuration,
    instances_of,
    submission,
)

#: Checkout of the build that runs this script.
_THIS: Final = Path(__file__).parents[1]
#: Time limit of one case, in seconds.
_CASE_TIMEOUT_S: Final = 90.0
#: Time for entries to learn of crashes, in seconds.
_PROPAGATION_S: Final = 3.0
#: Groups of each job, samples of each group, and items of each job.
_GROUPS, _SAMPLES, _ITEMS = 2, 4, 8
#: Number of entries at which some watch the store through other entries' relays.
_MANY_ENTRIES: Final = 8
#: Maximum number of handovers until each build has owned a job once.
_MAX_HANDOVERS: Final = 12
#: Log events of a process that refused data from another process or the store.
#: `fallback-entry-refused` is not among them: an entry did not accept an engine.
_UNREADABLE: Final = re.compile(
    r"unreadable|nameless|misplaced|record-unknown|bad_frame|not-taken"
    r"|(link|configuration|(?<!fallback-)entry|instance|version|crash-record)"
    r"[.-]refused|(task|work|handler)[-_]?failed|task\.failed"
)


@attrs.frozen
class Builds:
    """Two checkouts: the first writes, owns or sends; the second reads or continues."""

    first: Path
    second: Path

    def label(self) -> str:
        """Return a label that says which build is the first one."""
        return f"{'this' if self.first == _THIS else 'other'} build first"


class CaseError(Exception):
    """An expectation of a case did not hold."""


def _expect(holds: bool, what: str) -> None:
    if not holds:
        raise CaseError(what)


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
    """Fail if a process logged an unreadable frame, record or object."""
    for log in sorted(fleet.folder.glob("*.log")):
        text = log.read_text()
        _expect("Traceback" not in text, f"{log.name}: {text[-2000:]}")
        for event in sorted(set(re.findall(r'"event": ?"([^"]+)"', text))):
            line = next(line for line in text.splitlines() if f'"{event}"' in line)
            _expect(not _UNREADABLE.search(event), f"{log.name}: {line}")


def _slow_engines(fleet: Fleet, events: int, event_s: float) -> None:
    for engine in instances_of(fleet, "lm"):
        engine.events, engine.event_s = events, event_s


async def _submit_job(fleet: Fleet, entry: ServingProcess, job_id: str) -> None:
    body = submission(_GROUPS, _SAMPLES, prefix=f"{job_id}-")
    answer = await fleet.call(entry, "POST", f"{JOBS}x", job_id, body)
    _expect(answer.status == 202, f"{job_id} at {entry.name}: {answer}")


async def _read(
    fleet: Fleet, entry: ServingProcess, job_id: str, events: int
) -> list[dict[str, Any]]:
    """Read all results of a job and check each state, text and score."""
    results = await fleet.read_results(entry, job_id, _ITEMS)
    ids = {str(result["id"]) for result in results}
    _expect(len(ids) == _ITEMS, f"{job_id} at {entry.name}: items {sorted(ids)}")
    for result in results:
        item = str(result["id"])
        _expect(result["state"] == "completed", f"{job_id}: {result}")
        _expect(result["output-text"] == sample_text(item, events), f"{item}: text")
        score = f"sig-{item.replace('item', 'reward')}"
        _expect(result["score"] == score, f"{item}: score {result['score']}")
    return results


async def _end_job(fleet: Fleet, entry: ServingProcess, job_id: str) -> None:
    answer = await fleet.call(entry, "DELETE", f"{names.JOB_PATH}{job_id}")
    _expect(answer.status == 200, f"end of {job_id} at {entry.name}: {answer}")


async def _wait_until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0.02)


async def _wait_for_owner(fleet: Fleet, job_id: str) -> ServingProcess:
    """Wait until an entry runs a job and return the entry."""
    while True:
        for entry in fleet.entries:
            if any(line["job"] == job_id for line in entry.log_lines("job-run-begun")):
                return entry
        await asyncio.sleep(0.02)


async def _lookups(fleet: Fleet, entries: Sequence[ServingProcess], phase: str) -> None:
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
    await _wait_until(lambda: max(item["m"] for item in held) >= version)
    await _wait_until(lambda: min(item["m"] for item in held) >= version - 1)


async def _configure(
    fleet: Fleet, version: int, entries: Sequence[ServingProcess]
) -> None:
    """Write a configuration and wait until it is in force at all entries."""
    await fleet.configure(configuration(version))
    event = "configuration-in-force"
    for entry in entries:
        while all(line["version"] != version for line in entry.log_lines(event)):
            await asyncio.sleep(0.02)


async def stored_data(builds: Builds, fleet: Fleet) -> None:
    """Kill all processes of one build; start the other build on the stored data.

    The stored data are an accepted configuration, a complete job, an ended job, an open
    job with saved texts, engine leases, named versions and a crash record.
    """
    for number in range(2):
        await fleet.add_entry(f"entry-{number}", build=builds.first)
    engine = instances_of(fleet, "lm")[0]
    engine_program = await fleet.add_engine_program(
        "beside-lm-0", engine.port, fleet.store.port, builds.first
    )
    fleet.entries.append(engine_program)
    first, second = fleet.entries[:2]
    await _name_version(fleet, 2)
    await _submit_job(fleet, first, "complete")
    complete = await _read(fleet, second, "complete", 6)
    await _submit_job(fleet, second, "ended")
    ended = await _read(fleet, first, "ended", 6)
    await _end_job(fleet, second, "ended")
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
    await _submit_job(fleet, first, "open")
    await _wait_until(lambda: any(entry.log_lines("texts-saved") for entry in entries))
    for entry in fleet.entries:
        entry.send_signal(signal.SIGKILL)
        await entry.wait_for_exit()
    for entry in fleet.entries:
        entry.build = builds.second
        entry.log = entry.log.with_suffix(".second.log")
        await entry.start()
    for entry in entries:
        await entry.wait_until_ready()
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
    await _end_job(fleet, first, "open")
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
    """Submit a job to an entry of each build and read it through the other build.

    One build reports a request that crashes instances and the other build refuses it;
    the engine program of one build receives the versions that the other one announces.
    """
    first = await fleet.add_entry("entry-0", build=builds.first)
    second = await fleet.add_entry("entry-1", build=builds.second)
    engine = instances_of(fleet, "lm")[0]
    engine_program = await fleet.add_engine_program(
        "beside-lm-0", engine.port, fleet.store.port, builds.second
    )
    fleet.entries.append(engine_program)
    await asyncio.sleep(2.5)
    await _lookups(fleet, (first, second), "beside")
    for number, (asked, reader) in enumerate(((first, second), (second, first))):
        await _submit_job(fleet, asked, f"job-{number}")
        results = await _read(fleet, reader, f"job-{number}", 6)
        again = await _read(fleet, asked, f"job-{number}", 6)
        _expect(again == results, f"job-{number}: its readers differ")
        await _end_job(fleet, reader, f"job-{number}")
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
    """Cut an entry off from the store; the other build's entry relays its calls."""
    relay = Relay(fleet.store.port)
    far = await fleet.add_entry("entry-0", build=builds.second)
    near = await fleet.add_entry("cut-off", await relay.start(), builds.first)
    await asyncio.sleep(2.5)
    relay.set_mode(RelayMode.RESET)
    await asyncio.sleep(1.0)
    for job_id, asked, reader in (("job-0", near, far), ("job-1", far, near)):
        await _submit_job(fleet, asked, job_id)
        await _read(fleet, reader, job_id, 6)
        await _end_job(fleet, asked, job_id)
    relay.set_mode(RelayMode.OPEN)
    relay.stop()


async def many_entries(builds: Builds, fleet: Fleet) -> None:
    """Let entries of both builds relay the store's changes to each other."""
    for number in range(_MANY_ENTRIES):
        build = builds.first if number % 2 == 0 else builds.second
        await fleet.add_entry(f"entry-{number}", build=build)
    await asyncio.sleep(4.0)
    for number, version in enumerate((2, 3)):
        await _submit_job(fleet, fleet.entries[number], f"job-{number}")
        for entry in fleet.entries:
            await _read(fleet, entry, f"job-{number}", 6)
        await _configure(fleet, version, fleet.entries)
    await _lookups(fleet, fleet.entries, "many")


async def handover(builds: Builds, fleet: Fleet, number: signal.Signals) -> Path:
    """End the entry that owns a job; return the build of that entry.

    The entry of the other build resumes the samples and serves the results.
    """
    for position, build in enumerate((builds.first, builds.second)):
        await fleet.add_entry(f"entry-{position}", build=build)
    await asyncio.sleep(2.5)
    _slow_engines(fleet, 80, 0.05)
    await _submit_job(fleet, fleet.entries[0], "job")
    owner = await _wait_for_owner(fleet, "job")
    other = next(entry for entry in fleet.entries if entry is not owner)
    await _wait_until(lambda: bool(owner.log_lines("texts-saved")))
    owner.send_signal(number)
    results = await _read(fleet, other, "job", 80)
    _expect(bool(other.log_lines("job-run-begun")), f"{other.name} did not go on")
    await owner.wait_for_exit()
    _expect(await _read(fleet, other, "job", 80) == results, "results changed")
    await _end_job(fleet, other, "job")
    assert owner.build is not None
    return owner.build


Case = Callable[[Builds, Fleet], Awaitable[Any]]
_CASES: Final[tuple[Case, ...]] = stored_data, side_by_side, without_store, many_entries


def _run_case(label: str, builds: Builds, case: Case) -> tuple[bool, Any]:
    """Run one case in a new folder, which is kept if the case fails."""

    async def work(folder: Path) -> Any:
        async with asyncio.timeout(_CASE_TIMEOUT_S), _fleet(folder) as fleet:
            result = await case(builds, fleet)
            _check_logs(fleet)
            return result

    folder = Path(tempfile.mkdtemp(prefix="other-build-"))
    try:
        result = asyncio.run(work(folder))
    except (CaseError, AssertionError, TimeoutError) as error:
        click.echo(f"FAILED  {label}, {builds.label()}: {error!r:.600}; logs: {folder}")
        return False, None
    shutil.rmtree(folder)
    click.echo(f"passed  {label}, {builds.label()}")
    return True, result


def _run_handovers(other: Path, number: signal.Signals) -> bool:
    """Run handovers until each build has owned a job that the other one finished."""
    owners: set[Path] = set()
    for attempt in count():
        if len(owners) == 2:
            return True
        if attempt == _MAX_HANDOVERS:
            break
        builds = Builds(_THIS, other) if attempt % 2 else Builds(other, _THIS)
        case = partial(handover, number=number)
        passed, owner = _run_case(f"handover after {number.name}", builds, case)
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
    """Run every case in both directions."""
    other = Path(checkout).resolve()
    passed = [
        _run_case(case.__name__, builds, case)[0]
        for case in _CASES
        for builds in (Builds(other, _THIS), Builds(_THIS, other))
    ]
    signals = (signal.SIGKILL, signal.SIGTERM)
    passed += [_run_handovers(other, number) for number in signals]
    click.echo(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
