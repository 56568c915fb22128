"""A killed entry has acknowledged the end of a job that its owner goes on running."""

from __future__ import annotations

import asyncio
import base64
import json
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    ATTEMPT,
    HOST,
    Instance,
    Platform,
    Program,
    Record,
    call,
    has_trouble,
    platform,
    play,
)

#: The bound `cancel-timeout-ms` of the settings, in seconds.
CANCEL_S = 3.0
#: How old what the store returns with `allow-stale` is: the pages say "seconds old".
STALE_S = 4.0
JOB = "7c41e0"
#: Time after the end for which arrivals at engines are recorded, in seconds.
OBSERVED_S = 7.0
#: Time after which nothing counts as disturbed any more, in seconds.
SETTLED_S = 9.0


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route like those of the sites."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "type": kind,
        "service": service,
        "timeout-ms": 1500,
        "target-latency-ms": 400,
        "max-attempts": 4,
        "priority": 1,
        **more,
    }


def submission(prefix: str, groups: int, size: int) -> bytes:
    """Return a job; its items have reward calls."""
    body = base64.b64encode(b"prompt").decode()
    items = [
        {
            "id": f"{prefix}-{group}-{number}",
            "path": "/jobs/run",
            "headers": {
                "Pistachioglade-Model": "m",
                "Pistachioglade-Token-Usage": "1016,1200",
                "Pistachioglade-Prompt-Prefix": f"aa:1000,{group}{number}:16",
            },
            "body": body,
            "token-count": 2216,
            "group-id": f"g{group}",
            "scoring-endpoint": {
                "id": f"reward-{prefix}-{group}-{number}",
                "host": HOST,
                "path": "/reward/score",
                "body": body,
            },
        }
        for group in range(groups)
        for number in range(size)
    ]
    job = {"step": 0, "model": "m", "min-version": 1, "target-group-count": groups}
    return json.dumps(job | {"items": items}).encode()


async def submit(found: Platform, entry: Program, job: str, groups: int) -> str:
    """Submit a job as a trainer does; return the node that owns it."""
    fields = {ATTEMPT: job, "Content-Type": "application/json"}
    body = submission(job, groups, 4)
    answer = await call(entry.address, "POST", f"/jobs/{job}", fields, body)
    if answer.status != 202:
        raise RuntimeError(f"{job}: answered {answer.status}")
    owner: str = found.store.find("pistachioglade-jobs", job)["owner"]
    return owner.partition("@")[0]


async def next_owner(found: Platform, job: str) -> str:
    """Wait until a job has passed to another node, and return that node."""
    while (change := found.store.find("pistachioglade-jobs", f"{job}.owner")) is None:
        await asyncio.sleep(0.02)
    owner: str = change["owner"]
    return owner.partition("@")[0]


async def look_around(entry: Program) -> None:
    """Ask an entry for a job that doesn't exist, again and again.

    An entry without store calls for 1.2 s counts as cut off from the store and loses
    its jobs, which happens now and then in a deployment as quiet as this one.
    """
    while True:
        await call(entry.address, "GET", "/v1/lots/none")
        await asyncio.sleep(0.25)


async def case(record: Record) -> int:
    """Return 1 if items reach engines after the job's end has been in force."""
    async with platform(record, STALE_S) as found:
        for number in range(2):
            app = Instance(record, f"i-app-{number}", "app", work_s=0.03)
            await found.add_instance(app)
            engine = Instance(
                record, f"i-lm-{number}", "lm", model="m", work_s=0.04, events=30
            )
            await found.add_instance(engine)
        models = {"slots": 8, "stride": 57, "models": [{"name": "m"}]}
        service = {"health-path": "/health", "max-connections": 130}
        more = {"run-aim-ms": 7500, "retention-s": 40, "timeout-ms": 10000}
        found.configure(
            1,
            [
                route("jobs", "rollout", "lm", **more),
                route("reward", "idempotent", "app"),
            ],
            [
                {"name": "app", **service},
                {"name": "lm", "engine-id": models, **service},
            ],
        )
        for name in ("frontend-a", "frontend-b", "frontend-c", "frontend-d"):
            await found.add_entry(name)
        entries = {program.name: program for program in found.programs}
        for program in found.programs:
            await program.wait_until_ready()
        looking = [asyncio.create_task(look_around(item)) for item in found.programs]
        await asyncio.sleep(SETTLED_S)

        # A rehearsal shows which entry owns the jobs, and which takes them over.
        owner = entries[await submit(found, entries["frontend-a"], "first", 30)]
        await asyncio.sleep(1.0)
        owner.signal(signal.SIGKILL)
        heir = entries[await next_owner(found, "first")]
        await call(heir.address, "DELETE", "/v1/lots/first")
        await owner.end()
        await owner.start()
        await owner.wait_until_ready()
        await asyncio.sleep(SETTLED_S)

        # The entry that takes the end neither owns the job nor probes its owner.
        names = sorted(entries)
        prober = names[(names.index(owner.name) + 1) % len(names)]
        taker = next(
            program
            for name, program in entries.items()
            if name not in (owner.name, heir.name, prober)
        )
        named = await submit(found, taker, JOB, 60)
        record.add("accepted", job=JOB, by=taker.name, owner=named, heir=heir.name)
        if named != owner.name:
            return 2
        await asyncio.sleep(2.0)
        if has_trouble():
            record.add("SIGKILL", to=owner.name)
            owner.signal(signal.SIGKILL)
        await asyncio.sleep(0.2)
        record.add("end-sent", job=JOB, to=taker.name)
        ended = await call(taker.address, "DELETE", f"/v1/lots/{JOB}")
        acked_s = record.add("end-answered", status=ended.status)
        if ended.status != 200:
            return 2
        await asyncio.sleep(OBSERVED_S)
        for task in looking:
            task.cancel()
        late = sorted(
            (at_s, request_id)
            for instance in found.instances
            for at_s, request_id, _ in instance.runs
            if at_s > acked_s + CANCEL_S and JOB in request_id
        )
        for at_s, request_id in late:
            after_s = round(at_s - acked_s, 3)
            record.add("ran-after-the-end", id=request_id, after_s=after_s)
        last = found.store.find("pistachioglade-jobs", f"{JOB}.owner") or {}
        record.add("judged", late_runs=len(late), job_taken_over_by=last.get("owner"))
        return 1 if late else 0


if __name__ == "__main__":
    sys.exit(play(str(Path(__file__).parent), case))
