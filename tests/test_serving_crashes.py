"""Quarantine of requests that crash the instances that run them."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path
from typing import Any

from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import FleetInstance
from soak._relay import Relay, RelayMode

from .crashing import CrashingUpstream, RepeatingCaller, now_s
from .serving import (
    JOBS,
    LOOKUP,
    REWARD,
    Fleet,
    instances_of,
    run_case,
    submission,
)

#: Time for entries to learn of crashes after a crash, restart or partition, in seconds.
_PROPAGATION_S = 3.0
#: Maximum number of client attempts that may reach instances after that time.
_MAX_RETRIES = 3
#: Time of an event or of a plain answer, so long that crashes hit running requests, in
#: seconds.
_SLOW_EVENT_S = 0.25


def _lost_tries(fleet: Fleet) -> list[dict[str, Any]]:
    tries = (line for entry in fleet.entries for line in entry.log_lines("call-tried"))
    return [line for line in tries if line["outcome"] == "connection-lost"]


async def _wait_for_third_crash(upstream: CrashingUpstream) -> float:
    while len(upstream.crashes_s) < 3:
        await asyncio.sleep(0.02)
    return upstream.crashes_s[2]


def test_lost_tries_of_one_request_have_one_digest(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        CrashingUpstream(fleet)
        caller = RepeatingCaller(fleet)
        lost: list[dict[str, Any]] = []
        while len({line["request"] for line in lost}) < 2:
            await caller.call_until(now_s())
            lost = _lost_tries(fleet)
        assert len({line["request_digest"] for line in lost}) == 1

    run_case(tmp_path, case, entries=2)


def test_a_request_that_crashes_instances_is_quarantined(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        for _ in range(4):
            await upstream.add()
        await RepeatingCaller(fleet).call_until(now_s() + 7.0)
        settled_s = await _wait_for_third_crash(upstream) + _PROPAGATION_S
        assert upstream.attempts_since(settled_s) <= _MAX_RETRIES
        assert len(upstream.crashes_s) < 3 + len(fleet.entries)

    run_case(tmp_path, case, entries=3)


def test_restarted_entries_know_of_crashes(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        await upstream.add()
        caller = RepeatingCaller(fleet)
        calling = asyncio.create_task(caller.call_until(float("inf")))
        await _wait_for_third_crash(upstream)
        await asyncio.sleep(0.3)
        calling.cancel()
        crashes = len(upstream.crashes_s)
        for entry in fleet.entries:
            entry.send_signal(signal.SIGKILL)
            await entry.wait_for_exit()
            await entry.start()
        for entry in fleet.entries:
            await entry.wait_until_ready()
        settled_s = now_s() + _PROPAGATION_S
        await caller.call_until(settled_s + 5.0)
        assert upstream.attempts_since(settled_s) <= _MAX_RETRIES
        assert len(upstream.crashes_s) == crashes

    run_case(tmp_path, case, entries=2)


def test_an_entry_that_was_cut_off_from_the_store_knows_of_crashes(
    tmp_path: Path,
) -> None:
    async def case(fleet: Fleet) -> None:
        relay = Relay(fleet.store.port)
        await fleet.add_entry("cut-off", await relay.start())
        upstream = CrashingUpstream(fleet)
        await upstream.add()
        relay.set_mode(RelayMode.SILENT)
        caller = RepeatingCaller(fleet)
        calling = asyncio.create_task(caller.call_until(float("inf")))
        await _wait_for_third_crash(upstream)
        await asyncio.sleep(1.0)
        relay.set_mode(RelayMode.OPEN)
        settled_s = now_s() + _PROPAGATION_S
        await asyncio.sleep(_PROPAGATION_S + 5.0)
        calling.cancel()
        relay.stop()
        assert upstream.attempts_since(settled_s) <= _MAX_RETRIES
        assert len(upstream.crashes_s) <= 3 + len(fleet.entries)

    run_case(tmp_path, case, entries=2)


def test_the_last_instance_is_spared_and_other_callers_are_served(
    tmp_path: Path,
) -> None:
    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet, replacement_delay_s=1.0)
        await upstream.add()
        calling = asyncio.create_task(RepeatingCaller(fleet).call_until(now_s() + 4.0))
        others = RepeatingCaller(fleet, f"{LOOKUP}other")
        while not calling.done():
            await others.call(fleet.entries[0])
        statuses = [answer.status for answer, _ in others.answers]
        assert len(upstream.crashes_s) <= 3
        assert set(statuses) == {200}

    run_case(tmp_path, case, entries=1)


def test_a_quarantined_request_is_refused_at_once_with_retry_after(
    tmp_path: Path,
) -> None:
    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        await upstream.add()
        caller = RepeatingCaller(fleet)
        while len(upstream.crashes_s) < 3:
            await caller.call_until(now_s())
        await asyncio.sleep(0.5)
        for entry in fleet.entries:
            answer = await caller.call(entry)
            assert answer.status == 503
            assert b"quarantined" in answer.body
            assert 0.0 < float(answer.field("Retry-After") or "0") <= 30.0
            assert caller.answers[-1][1] < 0.2
        assert len(upstream.crashes_s) == 3

    run_case(tmp_path, case, entries=2)


def test_crashes_are_known_to_all_entries_while_the_store_is_down(
    tmp_path: Path,
) -> None:
    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        for _ in range(6):
            await upstream.add()
        await asyncio.sleep(1.5)
        fleet.store.standin.faults.down = True
        await RepeatingCaller(fleet).call_until(now_s() + 4.0, pause_s=0.05)
        assert 3 <= len(upstream.crashes_s) <= 4
        fleet.store.standin.faults.down = False

    run_case(tmp_path, case, entries=3)


def test_a_reward_call_that_crashes_instances_is_quarantined(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet, path=f"{REWARD}score")
        await upstream.add()
        job = submission(1, 1)
        await fleet.call(fleet.entries[0], "POST", f"{JOBS}x", "job-1", job)
        await _wait_for_third_crash(upstream)
        await asyncio.sleep(4.0)
        assert len(upstream.crashes_s) == 3

    run_case(tmp_path, case, entries=2)


def test_a_sound_item_is_scored_after_a_burst_of_crashes(tmp_path: Path) -> None:
    """Guards against items whose reward call is refused for 30 s and more.

    The reward call was only in flight as three instances ended.
    """

    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet, path=f"{REWARD}score")
        await upstream.add()
        job = submission(1, 1)
        await fleet.call(fleet.entries[0], "POST", f"{JOBS}x", "job-1", job)
        await _wait_for_third_crash(upstream)
        upstream.stop_crashing()
        result = (await fleet.read_results(fleet.entries[0], "job-1", 1))[0]
        assert result["state"] == "completed"

    run_case(tmp_path, case, entries=2)


class _RandomCrashes:
    """Crashes a third of an upstream's instances again and again, and replaces them."""

    def __init__(self, fleet: Fleet, upstream: str, models: tuple[str, ...]) -> None:
        self._fleet = fleet
        self._upstream = upstream
        self._models = models
        self._random = random.Random(57)
        self._alive = list(instances_of(fleet, upstream))
        for instance in self._alive:
            instance.event_s = _SLOW_EVENT_S
        self._count = 0

    async def add(self) -> None:
        """Start and register an additional instance."""
        self._count += 1
        name = f"{self._upstream}-more-{self._count}"
        instance = FleetInstance(
            name, self._upstream, self._models, event_s=_SLOW_EVENT_S
        )
        self._alive.append(await self._fleet.add_instance(instance))

    async def crash_third(self) -> None:
        """Crash a third of the instances; start others in their place later."""
        client = self._fleet.store.client()
        struck = self._random.sample(self._alive, max(1, len(self._alive) // 3))
        for instance in struck:
            self._alive.remove(instance)
            instance.stop()
        await asyncio.sleep(0.4)
        for instance in struck:
            await client.delete(names.INSTANCE_KIND, instance.id)
            await self.add()


def test_all_items_are_completed_after_bursts_of_crashes(tmp_path: Path) -> None:
    """Guards against items that are owed and never placed again.

    Engines and plain instances crash in bursts; afterwards all is calm.
    """

    async def case(fleet: Fleet) -> None:
        crashes = _RandomCrashes(fleet, "lm", ("m",)), _RandomCrashes(fleet, "app", ())
        for upstream in crashes * 4:
            await upstream.add()
        job = submission(6, 4)
        await fleet.call(fleet.entries[0], "POST", f"{JOBS}x", "job-1", job)
        for _ in range(3):
            for _ in range(5):
                await asyncio.gather(*(upstream.crash_third() for upstream in crashes))
            await asyncio.sleep(0.5)
        results = await fleet.read_results(fleet.entries[1], "job-1", 24)
        assert {result["state"] for result in results} == {"completed"}

    run_case(tmp_path, case, entries=2)


def test_a_sample_that_crashes_engines_is_delayed(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        path = f"{JOBS}fatal"
        upstream = CrashingUpstream(fleet, "lm", path, models=("m",))
        for _ in range(2):
            await upstream.add()
        job = submission(2, 2).replace(f"{JOBS}run".encode(), path.encode(), 1)
        await fleet.call(fleet.entries[0], "POST", f"{JOBS}x", "job-1", job)
        third_s = await _wait_for_third_crash(upstream)
        await asyncio.sleep(third_s + 7.5 - now_s())
        assert len(upstream.crashes_s) <= 6
        await fleet.read_results(fleet.entries[0], "job-1", 3)

    run_case(tmp_path, case)
