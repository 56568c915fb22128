"""Reports of crashes between entries while the store is down."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from pistachioglade.serving._members import ENTRY_KIND

from .crashing import CrashingUpstream, RepeatingCaller
from .serving import Fleet, ServingProcess, run_case


def _has_unlisted(entry: ServingProcess, name: str) -> bool:
    return name in {line["entry"] for line in entry.log_lines("entry-gone")}


async def _remove_listing(fleet: Fleet, stopped: ServingProcess) -> None:
    """Remove a stopped entry from the list that the other entries know."""
    await fleet.store.client().delete(ENTRY_KIND, stopped.name)
    others = [entry for entry in fleet.entries if entry is not stopped]
    while not all(_has_unlisted(entry, stopped.name) for entry in others):
        await asyncio.sleep(0.02)


def test_an_entry_without_a_listing_knows_of_crashes_while_the_store_is_down(
    tmp_path: Path,
) -> None:
    """An entry that was unlisted right before an outage ended three more instances."""

    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        for _ in range(6):
            await upstream.add()
        await asyncio.sleep(1.5)
        first, unlisted, third = fleet.entries
        unlisted.send_signal(signal.SIGSTOP)
        await _remove_listing(fleet, unlisted)
        fleet.store.standin.faults.down = True
        unlisted.send_signal(signal.SIGCONT)
        caller = RepeatingCaller(fleet)
        answers = [
            await caller.call(entry)
            for entry in (first, unlisted, third, unlisted, unlisted)
        ]
        fleet.store.standin.faults.down = False
        assert [answer.status for answer in answers] == [502, 503, 503, 503, 503]
        assert len(upstream.crashes_s) == 3

    run_case(tmp_path, case, entries=3)


def test_an_entry_that_restarts_in_an_outage_knows_of_crashes(tmp_path: Path) -> None:
    """An entry that was replaced after it had acknowledged crashes ended three more.

    It read the store before another entry could write the crashes.
    """

    async def case(fleet: Fleet) -> None:
        upstream = CrashingUpstream(fleet)
        for _ in range(6):
            await upstream.add()
        await asyncio.sleep(1.5)
        first, _, restarted = fleet.entries
        faults = fleet.store.standin.faults
        faults.down = True
        caller = RepeatingCaller(fleet)
        while len(upstream.crashes_s) < 3:
            await caller.call(first)
        await asyncio.sleep(0.5)
        restarted.send_signal(signal.SIGKILL)
        await restarted.wait_for_exit()
        await restarted.start()
        await asyncio.sleep(2.0)
        # The store answers reads before it accepts all writes.
        faults.writes_per_s = 0.2
        faults.down = False
        await restarted.wait_until_ready()
        answers = [await caller.call(restarted) for _ in range(3)]
        assert [answer.status for answer in answers] == [503, 503, 503]
        assert len(upstream.crashes_s) == 3

    run_case(tmp_path, case, entries=3)
