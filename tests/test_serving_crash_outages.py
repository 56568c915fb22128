"""Crash records that reach other entries late or never while the store is down."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from pistachioglade.http1 import Response

from .crashing import CrashingUpstream, RepeatingCaller, now_s
from .serving import (
    JOBS,
    REWARD,
    Case,
    Fleet,
    ServingProcess,
    configuration,
    small_fleet,
    submission,
)

#: Maximum number of crashes of one request with three entries: an entry can have one
#: try in progress when the third crash becomes known.
_MAX_CRASHES = 4
#: Pause before the first trial run of a quarantined request, in seconds.
_TRIAL_PAUSE_S = 30.0
#: Time limit of a case that waits for a trial run, in seconds.
_LONG_CASE_S = 90.0
_STREAM = "/stream/"
_RESUMABLE = "/resumable/"


def _run_long_case(folder: Path, case: Case, entries: int) -> None:
    """Run a case that may take longer than the usual time limit."""

    async def work() -> None:
        async with (
            asyncio.timeout(_LONG_CASE_S),
            small_fleet(folder, entries) as fleet,
        ):
            await case(fleet)

    asyncio.run(work())


def _with_streams(version: int) -> dict[str, Any]:
    value = configuration(version)
    common = value["routes"][0] | {"type": "streaming", "service": "lm"}
    value["routes"] += [
        common | {"path-prefix": _STREAM, "name": "stream"},
        common | {"path-prefix": _RESUMABLE, "name": "resumable", "resumable": True},
    ]
    return value


async def _wait_for_version(entry: ServingProcess, version: int) -> None:
    while not any(
        line["version"] == version for line in entry.log_lines("configuration-in-force")
    ):
        await asyncio.sleep(0.02)


def _relative(times_s: list[float], start_s: float) -> list[float]:
    return [round(at_s - start_s, 3) for at_s in times_s]


async def _crash_three(caller: RepeatingCaller, fleet: Fleet, number: int) -> None:
    """Send the fatal request to one entry until that entry quarantines it."""
    while not _is_quarantined(await caller.call(fleet.entries[number])):
        await asyncio.sleep(0.05)


def _is_quarantined(answer: Response) -> bool:
    return answer.status == 503 and b"3 instances ended" in answer.body


def _summary(answers: list[Response]) -> list[tuple[int, str | None, bytes]]:
    """Return status, Retry-After and reason of answers, without repetitions."""
    seen = ((item.status, item.field("Retry-After"), item.body) for item in answers)
    return list(dict.fromkeys(seen))


@pytest.mark.parametrize("prefix", [_STREAM, _RESUMABLE])
def test_crashes_of_streams_are_known_to_all_entries_while_the_store_is_down(
    tmp_path: Path, prefix: str
) -> None:
    """Guards against entries that each lose engines to one stream."""

    async def case(fleet: Fleet) -> None:
        await fleet.configure(_with_streams(2))
        for entry in fleet.entries:
            await _wait_for_version(entry, 2)
        path = f"{prefix}fatal"
        upstream = CrashingUpstream(fleet, "lm", path, models=("m",))
        for _ in range(6):
            await upstream.add()
        await asyncio.sleep(1.5)
        fleet.store.standin.faults.down = True
        start_s = now_s()
        callers = [RepeatingCaller(fleet, path) for _ in range(3)]
        await asyncio.gather(
            *(caller.call_until(now_s() + 4.0, pause_s=0.05) for caller in callers)
        )
        fleet.store.standin.faults.down = False
        times_s = _relative(upstream.crashes_s, start_s)
        assert 3 <= len(times_s) <= _MAX_CRASHES, times_s

    _run_long_case(tmp_path, case, entries=3)


def test_concurrent_lookups_are_quarantined_at_all_entries_while_the_store_is_down(
    tmp_path: Path,
) -> None:
    """Guards against crashes that are known late under concurrent callers."""

    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        for _ in range(6):
            await upstream.add()
        await asyncio.sleep(1.5)
        fleet.store.standin.faults.down = True
        start_s = now_s()
        callers = [RepeatingCaller(fleet) for _ in range(3)]
        await asyncio.gather(
            *(caller.call_until(now_s() + 4.0, pause_s=0.05) for caller in callers)
        )
        fleet.store.standin.faults.down = False
        times_s = _relative(upstream.crashes_s, start_s)
        settled = [at_s for at_s in times_s if at_s > times_s[2] + 0.5]
        assert not settled, times_s

    _run_long_case(tmp_path, case, entries=3)


def test_a_trial_run_is_due_while_the_store_is_down(tmp_path: Path) -> None:
    """Guards against refusals without an end or without Retry-After.

    A request that was only unlucky was refused at every entry for as long as the store
    was down, and the refusals didn't say when to return.
    """

    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        for _ in range(3):
            await upstream.add()
        caller = RepeatingCaller(fleet)
        await _crash_three(caller, fleet, 0)
        third_s = now_s()
        await asyncio.sleep(2.0)
        for instance in fleet.instances:
            instance.crash_paths = set()
        fleet.store.standin.faults.down = True
        await asyncio.sleep(third_s + _TRIAL_PAUSE_S + 1.0 - now_s())
        answers = []
        while now_s() < third_s + _TRIAL_PAUSE_S + 8.0:
            for entry in fleet.entries:
                answers.append(await caller.call(entry))
                await asyncio.sleep(0.2)
        fleet.store.standin.faults.down = False
        assert len(upstream.crashes_s) == 3
        seen = _summary(answers)
        assert 200 in {item.status for item in answers}, seen

    _run_long_case(tmp_path, case, entries=2)


def test_crashes_known_only_by_messages_are_tried_again_after_an_outage(
    tmp_path: Path,
) -> None:
    """Guards against a quarantine that nothing ends.

    The entry that saw the crashes was killed before it could write them. The others
    refused the request without an end, since they claimed trial runs only of stored
    records.
    """

    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        for _ in range(4):
            await upstream.add()
        await asyncio.sleep(1.5)
        fleet.store.standin.faults.down = True
        caller = RepeatingCaller(fleet)
        await _crash_three(caller, fleet, 0)
        third_s = now_s()
        await asyncio.sleep(1.0)
        first, *others = fleet.entries
        first.send_signal(signal.SIGKILL)
        await first.wait_for_exit()
        fleet.store.standin.faults.down = False
        for instance in fleet.instances:
            instance.crash_paths = set()
        for entry in others:
            assert _is_quarantined(await caller.call(entry))
        await asyncio.sleep(third_s + _TRIAL_PAUSE_S + 1.0 - now_s())
        answers = []
        while now_s() < third_s + _TRIAL_PAUSE_S + 10.0:
            for entry in others:
                answers.append(await caller.call(entry))
                await asyncio.sleep(0.2)
        seen = _summary(answers)
        assert 200 in {item.status for item in answers}, seen

    _run_long_case(tmp_path, case, entries=3)


def test_an_entry_that_is_listed_late_learns_of_crashes(tmp_path: Path) -> None:
    """Guards against an entry that is ready before the others list it."""

    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        for _ in range(8):
            await upstream.add()
        await asyncio.sleep(1.5)
        await fleet.add_entry("late")
        fleet.store.standin.faults.down = True
        start_s = now_s()
        caller = RepeatingCaller(fleet)
        await _crash_three(caller, fleet, 0)
        known_s = now_s()
        while now_s() < known_s + 4.0:
            await caller.call(fleet.entries[-1])
            await asyncio.sleep(0.1)
        fleet.store.standin.faults.down = False
        times_s = _relative(upstream.crashes_s, start_s)
        listed = [line["entry"] for line in fleet.entries[0].log_lines("entry-listed")]
        assert len(times_s) <= _MAX_CRASHES, (times_s, listed)

    _run_long_case(tmp_path, case, entries=2)


def test_an_entry_that_was_removed_from_the_list_learns_of_crashes(
    tmp_path: Path,
) -> None:
    """Guards against broadcasts only to the entries that are listed at that moment.

    An entry that had stood still was removed from the list, the store went down, and
    the entry got requests again without being listed.
    """

    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        for _ in range(8):
            await upstream.add()
        await asyncio.sleep(1.5)
        last = fleet.entries[-1]
        last.send_signal(signal.SIGSTOP)
        await asyncio.sleep(7.0)
        fleet.store.standin.faults.down = True
        last.send_signal(signal.SIGCONT)
        start_s = now_s()
        caller = RepeatingCaller(fleet)
        await _crash_three(caller, fleet, 0)
        known_s = now_s()
        while now_s() < known_s + 4.0:
            await caller.call(last)
            await asyncio.sleep(0.1)
        fleet.store.standin.faults.down = False
        times_s = _relative(upstream.crashes_s, start_s)
        gone = [line["entry"] for line in fleet.entries[0].log_lines("entry-gone")]
        assert len(times_s) <= _MAX_CRASHES, (times_s, gone)

    _run_long_case(tmp_path, case, entries=3)


def test_crashes_of_reward_calls_are_known_to_the_next_owner(tmp_path: Path) -> None:
    """Guards against a new owner that loses instances to a quarantined reward call.

    The owner was killed while the store was down, so that it wrote no record.
    """

    async def case(fleet: Fleet) -> None:
        path = f"{REWARD}score"
        upstream = CrashingUpstream(fleet, path=path)
        for _ in range(6):
            await upstream.add()
        job = submission(1, 1)
        await asyncio.sleep(1.5)
        await fleet.call(fleet.entries[0], "POST", f"{JOBS}x", "job-1", job)
        while not any(entry.log_lines("job-run-begun") for entry in fleet.entries):
            await asyncio.sleep(0.005)
        fleet.store.standin.faults.down = True
        start_s = now_s()
        owner = next(item for item in fleet.entries if item.log_lines("job-run-begun"))
        while len(upstream.crashes_s) < 3:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        owner.send_signal(signal.SIGKILL)
        await owner.wait_for_exit()
        crashes = len(upstream.crashes_s)
        fleet.store.standin.faults.down = False
        others = [item for item in fleet.entries if item is not owner]
        while not any(entry.log_lines("job-run-begun") for entry in others):
            await asyncio.sleep(0.02)
        taken_over_s = now_s() - start_s
        await asyncio.sleep(4.0)
        times_s = _relative(upstream.crashes_s, start_s)
        assert len(times_s) <= _MAX_CRASHES, (crashes, times_s, taken_over_s)
        # The item has to be scored once instances no longer crash on its call.
        upstream.stop_crashing()
        result = (await fleet.read_results(others[0], "job-1", 1))[0]
        ended_s = now_s() - start_s
        assert result["state"] == "completed", (result, ended_s, times_s)

    _run_long_case(tmp_path, case, entries=3)


@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL])
def test_a_new_owner_knows_of_a_samples_crashes(
    tmp_path: Path, end: signal.Signals
) -> None:
    """Guards against a new owner that starts a fatal sample without any pause.

    The count of a sample's crashes was kept at the job's owner only.
    """

    async def case(fleet: Fleet) -> None:
        path = f"{JOBS}fatal"
        upstream = CrashingUpstream(fleet, "lm", path, models=("m",))
        for _ in range(6):
            await upstream.add()
        job = submission(1, 1).replace(f"{JOBS}run".encode(), path.encode(), 1)
        await fleet.call(fleet.entries[0], "POST", f"{JOBS}x", "job-1", job)
        while len(upstream.crashes_s) < 4:
            await asyncio.sleep(0.02)
        owner = next(item for item in fleet.entries if item.log_lines("job-run-begun"))
        others = [item for item in fleet.entries if item is not owner]
        end_s = now_s()
        owner.send_signal(end)
        while not any(entry.log_lines("job-run-begun") for entry in others):
            await asyncio.sleep(0.02)
        taken_over_s = now_s() - end_s
        await asyncio.sleep(3.0)
        times_s = _relative(upstream.crashes_s, end_s)
        # The pauses after four and five crashes take two and four seconds.
        further = [at_s for at_s in times_s if at_s > 0.0]
        assert len(further) <= 2, (times_s, taken_over_s)

    _run_long_case(tmp_path, case, entries=2)


def test_an_entry_that_restarted_in_an_outage_learns_of_crashes(tmp_path: Path) -> None:
    """Guards against a restarted entry that is ready before it knows of crashes."""

    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        for _ in range(8):
            await upstream.add()
        await asyncio.sleep(1.5)
        fleet.store.standin.faults.down = True
        start_s = now_s()
        caller = RepeatingCaller(fleet)
        await _crash_three(caller, fleet, 0)
        last = fleet.entries[-1]
        last.send_signal(signal.SIGKILL)
        await last.wait_for_exit()
        await last.start()
        await asyncio.sleep(5.0)
        assert not await last.is_ready()
        fleet.store.standin.faults.down = False
        back_s = now_s() - start_s
        await last.wait_until_ready()
        ready_s = now_s() - start_s
        while now_s() < start_s + ready_s + 4.0:
            await caller.call(last)
            await asyncio.sleep(0.05)
        times_s = _relative(upstream.crashes_s, start_s)
        assert len(times_s) <= _MAX_CRASHES, (times_s, back_s, ready_s)

    _run_long_case(tmp_path, case, entries=2)
