"""Reading and ending jobs during a store outage."""

from __future__ import annotations

import asyncio
from pathlib import Path

from pistachioglade.platform import names

from .serving import JOBS, Fleet, ServingProcess, instances_of, run_case, submission


async def _wait_for_owner(fleet: Fleet) -> tuple[ServingProcess, ServingProcess]:
    """Wait until an entry runs the job; return this entry and the other one."""
    while True:
        for entry in fleet.entries:
            if entry.log_lines("job-run-begun"):
                others = [item for item in fleet.entries if item is not entry]
                return entry, others[0]
        await asyncio.sleep(0.02)


async def _submit_long_job(fleet: Fleet) -> tuple[ServingProcess, ServingProcess]:
    """Submit a job of 25 s; return the entry that runs it, and the other entry."""
    for engine in instances_of(fleet, "lm"):
        engine.events, engine.event_s = 500, 0.05
    job = submission(2, 3)
    await fleet.call(fleet.entries[0], "POST", f"{JOBS}x", "job-1", job)
    return await _wait_for_owner(fleet)


def test_a_complete_job_can_end_in_a_store_outage(tmp_path: Path) -> None:
    """A refusal would keep the trainer from training until the store is back."""

    async def case(fleet: Fleet) -> None:
        await fleet.call(
            fleet.entries[0], "POST", f"{JOBS}x", "job-1", submission(2, 3)
        )
        owner, other = await _wait_for_owner(fleet)
        before = await fleet.read_results(other, "job-1", 6)
        fleet.store.standin.faults.down = True
        for entry in (other, owner, other):
            target = f"{names.JOB_PATH}job-1"
            end = await fleet.call(entry, "DELETE", target)
            assert end.status == 200, end
        assert await fleet.read_results(owner, "job-1", 6) == before
        fleet.store.standin.faults.down = False
        assert await fleet.read_results(other, "job-1", 6) == before

    run_case(tmp_path, case, entries=2)


def test_the_end_of_a_running_job_is_refused_in_a_store_outage(tmp_path: Path) -> None:
    """An unstored end can be lost with its entries; the samples would then continue."""

    async def case(fleet: Fleet) -> None:
        owner, other = await _submit_long_job(fleet)
        fleet.store.standin.faults.down = True
        for entry in (other, owner):
            end = await fleet.call(entry, "DELETE", f"{names.JOB_PATH}job-1")
            assert end.status == 503, end
        fleet.store.standin.faults.down = False
        end = await fleet.call(other, "DELETE", f"{names.JOB_PATH}job-1")
        assert end.status == 200
        while any(engine.running for engine in instances_of(fleet, "lm")):
            await asyncio.sleep(0.05)

    run_case(tmp_path, case, entries=2)


def test_item_bodies_are_fetched_from_the_owner(tmp_path: Path) -> None:
    """Only the owner of a job holds its item bodies; other entries fetch them."""

    async def case(fleet: Fleet) -> None:
        _owner, other = await _submit_long_job(fleet)
        # The other entry's watch delivers the job without its item bodies.
        job = f"{names.JOB_PATH}job-1"
        while (await fleet.call(other, "GET", job)).status != 200:
            await asyncio.sleep(0.05)
        fleet.store.standin.faults.down = True
        for entry in fleet.entries:
            target = f"{names.ITEM_PATH}job-1?id=item-1-2"
            item = await fleet.call(entry, "GET", target)
            assert (item.status, item.body) == (200, b"prompt"), item

    run_case(tmp_path, case, entries=2)
