"""Jobs whose submission or results exceed the object size limit of the store."""

from __future__ import annotations

import base64
import json
import signal
from pathlib import Path
from typing import Any

from pistachioglade.jobs import JOB_KIND, RESULT_KIND
from pistachioglade.platform import names

from .serving import JOBS, Fleet, run_case, submission

#: Body of each of the eight items; the store accepts objects of up to a megabyte.
_BODY = b'"quoted\\text" ' * 25_000


def _large() -> bytes:
    job: dict[str, Any] = json.loads(submission(2, 4))
    for item in job["items"]:
        item["body"] = base64.b64encode(_BODY).decode()
    return json.dumps(job).encode()


def test_a_large_job_is_accepted_once_run_and_read_everywhere(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        first, second = fleet.entries
        body = _large()
        assert len(body) > 3_000_000
        for entry in (first, second):
            answer = await fleet.call(entry, "POST", f"{JOBS}x", "job-1", body)
            assert answer.status == 202, answer
        before = await fleet.read_results(second, "job-1", 8)
        assert {result["state"] for result in before} == {"completed"}
        for entry in fleet.entries:
            entry.send_signal(signal.SIGKILL)
            await entry.wait_for_exit()
            await entry.start()
            await entry.wait_until_ready()
        for entry in fleet.entries:
            target = f"{names.ITEM_PATH}job-1?id=item-1-2"
            item = await fleet.call(entry, "GET", target)
            assert item.status == 200
            assert item.body == _BODY
            assert await fleet.read_results(entry, "job-1", 8) == before

    run_case(tmp_path, case, entries=2)


def test_a_large_job_that_cannot_be_stored_does_not_run(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        fleet.store.standin.faults.down = True
        entry = fleet.entries[0]
        answer = await fleet.call(entry, "POST", f"{JOBS}x", "job-1", _large())
        assert answer.status == 503
        fleet.store.standin.faults.down = False
        kinds = {kind for kind, _name in fleet.store.standin._objects}
        assert JOB_KIND not in kinds
        answer = await fleet.call(entry, "GET", f"{names.JOB_PATH}job-1")
        assert answer.status == 404

    run_case(tmp_path, case, entries=1)


def test_a_large_batch_of_results_is_split_into_objects_that_fit(
    tmp_path: Path,
) -> None:
    """A result batch above a megabyte must not be refused and rewritten endlessly."""

    async def case(fleet: Fleet) -> None:
        for engine in fleet.instances:
            # At 40 bytes per event a text has 240 kB, and four have about a megabyte.
            if engine.versions:
                engine.events, engine.event_s = 6000, 0.0
        entry = fleet.entries[0]
        await fleet.call(entry, "POST", f"{JOBS}x", "job-1", submission(2, 4))
        results = await fleet.read_results(entry, "job-1", 8)
        assert {result["state"] for result in results} == {"completed"}
        assert sum(len(result["output-text"]) for result in results) > 1_900_000
        batches = [
            name
            for kind, name in fleet.store.standin._objects
            if kind == RESULT_KIND and ".r" in name
        ]
        assert len(batches) > 2

    run_case(tmp_path, case, entries=1)
