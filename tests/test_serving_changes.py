"""Serving programs while routes, clocks and settings change during jobs."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time
from datetime import datetime
from pathlib import Path
from typing import Any

import pytest

from pistachioglade.http1 import HttpServer, Reply, Request, ServerLimits
from pistachioglade.jobs import JOB_KIND, Submission, encode_submission
from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import FleetInstance, sample_text

from .serving import (
    JOBS,
    LOOKUP,
    Fleet,
    ServingProcess,
    configuration,
    instances_of,
    run_case,
    submission,
)

#: Rounding error of a logged end time minus a logged duration, in seconds.
_ROUNDING_S = 0.002


def _logged_s(line: dict[str, Any]) -> float:
    """Return when a line was logged, in Unix seconds."""
    return datetime.fromisoformat(line["timestamp"]).timestamp()


async def _wait_for_configuration(fleet: Fleet, version: int) -> None:
    for entry in fleet.entries:
        while not any(
            line["version"] == version
            for line in entry.log_lines("configuration-in-force")
        ):
            await asyncio.sleep(0.05)


def test_waiting_samples_follow_their_route_to_another_upstream(tmp_path: Path) -> None:
    """A job must not keep the route that was configured when the job began.

    Moving samples off slow instances is disabled: under load one stand-in may look
    slower than the other, and its sample may then continue at the new upstream. Under
    heavier load this process and its stand-ins pause: tries fail, are repeated and
    reach a stand-in late. The test therefore uses the time at which the entry began
    each try, from the entry's log, and not the time at which a stand-in received it.
    """

    async def case(fleet: Fleet) -> None:
        fleet.variables["PISTACHIOGLADE_WITHOUT"] = "moving"
        entry = await fleet.add_entry("entry-0")
        engines = instances_of(fleet, "lm")
        for engine in engines:
            engine.events, engine.event_s = 30, 0.03
            engine.slots = 1
            await fleet.register_instance(engine)
        other = FleetInstance("other-0", "lm2", ("m",), events=30, event_s=0.03)
        await fleet.add_instance(other)
        await asyncio.sleep(1.5)
        await fleet.call(entry, "POST", f"{JOBS}x", "job-1", submission(2, 4))
        while sum(engine.running for engine in engines) < 2:
            await asyncio.sleep(0.02)
        moved = configuration(2)
        for route in moved["routes"]:
            if route["name"] == "jobs":
                route["service"] = "lm2"
        await fleet.configure(moved)
        await _wait_for_configuration(fleet, 2)
        before_move = len({item for engine in engines for item in engine.runs})
        results = await fleet.read_results(entry, "job-1", 8)
        assert {result["state"] for result in results} == {"completed"}
        in_force_s = _logged_s(entry.log_lines("configuration-in-force")[-1])
        tries = entry.log_lines("item-tried")
        begun_later = [
            line
            for line in tries
            if _logged_s(line) - line["took_s"] > in_force_s + _ROUNDING_S
        ]
        assert {line["instance"] for line in begun_later} <= {other.id}
        ended_at = {
            line["item"]: line["instance"]
            for line in tries
            if line["outcome"] == "complete"
        }
        assert len(ended_at) == 8
        begun_before = {
            line["item"]
            for line in tries
            if line["instance"] != other.id and line not in begun_later
        }
        waiting = ended_at.keys() - begun_before
        assert waiting
        assert {ended_at[item] for item in waiting} == {other.id}
        # Two samples ran when the route changed; all waiting ones use the new upstream.
        assert sum(name == other.id for name in ended_at.values()) >= 8 - before_move

    run_case(tmp_path, case, entries=0)


def test_waiting_samples_terminate_when_their_route_is_removed(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        for engine in instances_of(fleet, "lm"):
            engine.events, engine.event_s, engine.slots = 60, 0.03, 1
            await fleet.register_instance(engine)
        await asyncio.sleep(1.5)
        entry = fleet.entries[0]
        await fleet.call(entry, "POST", f"{JOBS}x", "job-1", submission(1, 4))
        while sum(engine.running for engine in instances_of(fleet, "lm")) < 2:
            await asyncio.sleep(0.02)
        without = configuration(2)
        without["routes"] = [
            route for route in without["routes"] if route["name"] != "jobs"
        ]
        await fleet.configure(without)
        results = await fleet.read_results(entry, "job-1", 4)
        states = sorted(result["state"] for result in results)
        assert states == ["completed"] * 2 + ["terminated"] * 2

    run_case(tmp_path, case)


def test_a_clock_step_terminates_no_sample(tmp_path: Path) -> None:
    """The age of a job must not be computed from the wall clocks of two machines."""

    async def case(fleet: Fleet) -> None:
        entry = fleet.entries[0]
        port = entry.settings.read_text().partition("internal-port-range=")[2]
        owner = f"{entry.name}@127.0.0.1:{port.partition(',')[0]}"
        fields = json.loads(submission(1, 2))
        accepted_s = time.time() - 1000.0
        stored = Submission(
            owner, "boot", "case.example", f"{JOBS}x", accepted_s, fields
        )
        for engine in instances_of(fleet, "lm"):
            engine.faults.refused = 4
        client = fleet.store.client()
        await client.create(JOB_KIND, "job-1", encode_submission(stored), 5.0)
        results = await fleet.read_results(entry, "job-1", 2)
        assert [result["state"] for result in results] == ["completed"] * 2

    run_case(tmp_path, case)


def test_a_sample_waits_for_the_route_of_its_reward_call(tmp_path: Path) -> None:
    """A reward call without a route must not terminate its sample."""

    async def case(fleet: Fleet) -> None:
        entry = fleet.entries[0]
        without = configuration(2)
        without["routes"] = [
            route for route in without["routes"] if route["name"] != "reward"
        ]
        await fleet.configure(without)
        await _wait_for_configuration(fleet, 2)
        await fleet.call(entry, "POST", f"{JOBS}x", "job-1", submission(1, 2))
        while not entry.log_lines("item-tried"):
            await asyncio.sleep(0.05)
        await fleet.configure(configuration(3))
        results = await fleet.read_results(entry, "job-1", 2)
        assert {result["state"] for result in results} == {"completed"}
        assert results[0]["output-text"] == sample_text(results[0]["id"], 6)

    run_case(tmp_path, case)


def _rewrite(path: Path, old: str, new: str) -> None:
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))


async def _wait_for_line(entry: ServingProcess, event: str) -> dict[str, Any]:
    while not (lines := entry.log_lines(event)):
        await asyncio.sleep(0.05)
    return lines[-1]


@pytest.mark.parametrize("with_signal", [True, False])
def test_changed_settings_apply_with_and_without_a_signal(
    with_signal: bool, tmp_path: Path
) -> None:
    async def case(fleet: Fleet) -> None:
        entry = fleet.entries[0]
        _rewrite(entry.settings, "grace-period-s=8", "grace-period-s=5")
        _rewrite(entry.settings, "zone=zone-a", "zone=zone-b")
        if with_signal:
            entry.send_signal(signal.SIGHUP)
        line = await _wait_for_line(entry, "settings-changed")
        assert line["in_force"] == ["grace_s"]
        assert line["after_restart"] == ["domain"]
        assert bool(entry.log_lines("reload")) is with_signal
        assert (await fleet.call(entry, "GET", f"{LOOKUP}x")).status == 200

    run_case(tmp_path, case)


def test_invalid_settings_change_nothing(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        entry = fleet.entries[0]
        _rewrite(entry.settings, "grace-period-s=8", "grace-period-s=soon")
        entry.send_signal(signal.SIGHUP)
        line = await _wait_for_line(entry, "settings-refused")
        assert str(entry.settings) in line["reason"]
        assert "grace-period-s" in line["reason"]
        assert (await fleet.call(entry, "GET", f"{LOOKUP}x")).status == 200

    run_case(tmp_path, case)


def test_a_changed_store_address_is_followed(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        entry = fleet.entries[0]
        requested_paths: list[str] = []

        async def handle(request: Request, reply: Reply) -> None:
            requested_paths.append(request.path)
            await fleet.store.handle(request, reply)

        server = HttpServer(handle, ServerLimits())
        await server.start("127.0.0.1", 0)
        old = f"platform.address=127.0.0.1:{fleet.store.port}"
        new = f"platform.address=127.0.0.1:{server.port}"
        _rewrite(entry.settings, old, new)
        entry.send_signal(signal.SIGHUP)
        await _wait_for_line(entry, "store-moved")
        fleet.store.port = server.port
        await fleet.configure(configuration(9))
        await _wait_for_configuration(fleet, 9)
        watched = {names.CONFIGURATION_KIND, names.INSTANCE_KIND, JOB_KIND}
        assert watched <= {path.rpartition("/")[2] for path in requested_paths}
        server.stop_listening()

    run_case(tmp_path, case)


def test_a_job_whose_first_owner_is_frozen_runs_elsewhere_at_once(
    tmp_path: Path,
) -> None:
    """A job must not wait 3 s for the list of entries to show a lost owner."""

    async def case(fleet: Fleet) -> None:
        for entry in fleet.entries:
            while len({line["entry"] for line in entry.log_lines("entry-listed")}) < 2:
                await asyncio.sleep(0.05)
        await fleet.call(
            fleet.entries[0], "POST", f"{JOBS}x", "job-0", submission(1, 1)
        )
        while not any(entry.log_lines("job-run-begun") for entry in fleet.entries):
            await asyncio.sleep(0.05)
        owner, other = sorted(
            fleet.entries, key=lambda entry: not entry.log_lines("job-run-begun")
        )
        owner.send_signal(signal.SIGSTOP)
        await fleet.call(other, "POST", f"{JOBS}x", "job-1", submission(2, 2))
        results = await fleet.read_results(other, "job-1", 4)
        assert {result["state"] for result in results} == {"completed"}
        lost = await _wait_for_line(other, "entry-lost")
        begun = next(
            line for line in other.log_lines("job-run-begun") if line["job"] == "job-1"
        )
        assert begun["timestamp"] < lost["timestamp"]
        owner.send_signal(signal.SIGCONT)

    run_case(tmp_path, case, entries=2)


def test_a_new_owner_receives_the_job_over_a_link(tmp_path: Path) -> None:
    """A new owner must not wait a second for its watch to deliver the job."""

    async def case(fleet: Fleet) -> None:
        for entry in fleet.entries:
            while len({line["entry"] for line in entry.log_lines("entry-listed")}) < 3:
                await asyncio.sleep(0.05)
        await fleet.call(
            fleet.entries[0], "POST", f"{JOBS}x", "job-0", submission(1, 1)
        )
        while not any(entry.log_lines("job-run-begun") for entry in fleet.entries):
            await asyncio.sleep(0.05)
        owner, *others = sorted(
            fleet.entries, key=lambda entry: not entry.log_lines("job-run-begun")
        )
        owner.send_signal(signal.SIGKILL)
        # From here on watches deliver nothing: entries learn of jobs over links only.
        fleet.store.are_watches_silent = True
        # Watches that are already waiting still deliver the first job.
        for number, entry in enumerate(others * 2):
            job = f"job-{number + 1}"
            await fleet.call(entry, "POST", f"{JOBS}x", job, submission(1, 2))
            results = await fleet.read_results(entry, job, 2)
            assert {result["state"] for result in results} == {"completed"}

    run_case(tmp_path, case, entries=3)


_START = """
import signal, sys, types
from pistachioglade.serving import __main__ as program
assert "asyncio" not in sys.modules, "imported before the signal is ignored"
stub = types.ModuleType("pistachioglade.serving._start")
stub.main = lambda _: signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN
sys.modules[stub.__name__] = stub
sys.exit(int(program._run()))
"""


def test_a_hangup_during_the_start_ends_no_process() -> None:
    """SIGHUP before the handler is installed must not end the process."""
    done = subprocess.run([sys.executable, "-c", _START], capture_output=True)
    assert done.returncode == 0, done.stderr


def test_a_failing_reward_call_is_tried_max_attempts_times(tmp_path: Path) -> None:
    """Retries within a call must not multiply with retries of the call.

    With both, a failing reward call takes 1.2 s instead of 0.3 s.
    """

    async def case(fleet: Fleet) -> None:
        services = instances_of(fleet, "app")
        for service in services:
            service.faults.failed = 100
        entry = fleet.entries[0]
        await fleet.call(entry, "POST", f"{JOBS}x", "job-1", submission(1, 1))
        results = await fleet.read_results(entry, "job-1", 1)
        assert results[0]["state"] == "terminated"
        assert sum(service.runs["reward-0-0"] for service in services) == 3

    run_case(tmp_path, case)
