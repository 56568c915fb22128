"""Trainers of a soak: submit, read, end, name versions, and judge every result."""

from __future__ import annotations

import asyncio
import json
from itertools import count
from typing import Any, Final

import attrs

from pistachioglade.http1 import Pool, Response
from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import whole_text
from tests.serving import HOST, JOBS, submission

from ._world import EVENTS, MODEL, Program, World

_GROUPS: Final = 2
_SIZE: Final = 3
_ITEMS: Final = _GROUPS * _SIZE
#: Times that a submission is sent before its trainer gives it up.
_SUBMISSIONS: Final = 12
#: Time after which a trainer ends its job.
_STEP_S: Final = 12.0
#: Failures after which an item or its reward call may be given up (max-attempts).
_MOST_FAILURES: Final = 3
#: Time within which an end takes effect.
_END_S: Final = 3.0
#: Pages that are asked for at most when a step is read from its start.
_READS: Final = 30
#: Time for one call.
_CALL_S: Final = 3.0


@attrs.define
class Step:
    """One job and what is known of it."""

    # Id of the job.
    id: str
    # Oldest version that may make its tokens.
    min_version: int
    # Whether a 202 has come.
    is_accepted: bool = False
    # How often it was sent.
    sent: int = 0
    # How many answers have promised that it doesn't run.
    refusals: int = 0
    # When its end was acknowledged; None before.
    ended_s: float | None = None
    # Results by position, as first read.
    results: list[dict[str, Any]] = attrs.field(factory=list)

    @property
    def is_refused(self) -> bool:
        """Whether each time that it was sent, the answer promised that it doesn't run.

        A submission that its trainer left before the answer was not refused.
        """
        return 0 < self.sent == self.refusals


class Trainer:
    """Runs step after step."""

    def __init__(self, world: World, name: str) -> None:
        self._world = world
        self._name = name
        self._numbers = count(1)
        # All steps that were ever submitted.
        self.steps: list[Step] = []

    async def run(self) -> None:
        """Train until the world ends."""
        while True:
            await self.step()

    async def call(
        self, program: Program, method: str, target: str, job_id: str, body: bytes = b""
    ) -> Response | None:
        """Make one call on a connection of its own; None if no answer came."""
        pool = Pool("127.0.0.1", program.process.port)
        sent = (
            ("Host", HOST),
            (names.ATTEMPT_ID, job_id),
            (names.WAIT_MS, "400"),
        )
        try:
            answer = await pool.request(method, target, sent, body, _CALL_S)
        except TimeoutError:
            return None
        finally:
            pool.close()
        return answer if isinstance(answer, Response) else None

    async def step(self) -> Step:
        """Submit one job, read it until it is done or late, and end it."""
        world = self._world
        step = Step(f"{self._name}-{next(self._numbers)}", world.named_version)
        self.steps.append(step)
        await self._submit(step)
        if not step.is_accepted:
            return step
        begun_s = asyncio.get_running_loop().time()
        while len(step.results) < _ITEMS:
            if asyncio.get_running_loop().time() - begun_s > _STEP_S:
                world.counts["late step"] += 1
                break
            await self.read(step, world.any_entry())
            await asyncio.sleep(0.1)
        world.counts["step"] += 1
        await self._end(step)
        if world.random.random() < 0.5:
            await self._name_version()
        return step

    async def _submit(self, step: Step) -> None:
        world = self._world
        body = submission(_GROUPS, _SIZE, step.min_version, f"{step.id}-")
        for _ in range(_SUBMISSIONS):
            program = world.any_entry()
            step.sent += 1
            answer = await self.call(program, "POST", f"{JOBS}x", step.id, body)
            status = answer.status if answer is not None else None
            world.counts[f"submit {status}"] += 1
            if status == 202:
                step.is_accepted = True
                return
            step.refusals += status in (429, 503)
            if status is not None and status < 500 and status != 429:
                world.violated(f"{step.id}: submission answered {status}")
            await asyncio.sleep(0.3)

    async def read(self, step: Step, program: Program) -> bool:
        """Read on, sometimes from an earlier position; return whether it went."""
        world = self._world
        known = len(step.results)
        after = world.random.randint(0, known) if world.random.random() < 0.3 else known
        target = f"{names.JOB_PATH}{step.id}?after={after}"
        answer = await self.call(program, "GET", target, step.id)
        if answer is None or answer.status >= 500:
            return False
        if answer.status != 200:
            world.violated(f"{step.id}: reading answered {answer.status}")
            return False
        page = json.loads(answer.body)
        for place, result in enumerate(page["results"], after):
            self._take(step, place, result)
        return True

    def _take(self, step: Step, place: int, result: dict[str, Any]) -> None:
        world = self._world
        if place < len(step.results):
            if step.results[place] != result:
                world.violated(f"{step.id}: position {place} has changed")
            return
        if any(known["id"] == result["id"] for known in step.results):
            world.violated(f"{step.id}: {result['id']} stands twice")
        step.results.append(result)
        self._judge(step, result)

    def _judge(self, step: Step, result: dict[str, Any]) -> None:
        world = self._world
        item = str(result["id"])
        reward = item.replace("item", "reward")
        what = f"{step.id}: {item}"
        if result["state"] != "completed":
            failures = max(world.failures(item), world.failures(reward))
            if failures < _MOST_FAILURES:
                world.violated(f"{what} was given up after {failures} failures")
            world.counts["given up"] += 1
            return
        world.counts["sample"] += 1
        if result["output-text"] != whole_text(item, EVENTS):
            world.violated(f"{what} has not its whole text")
        if result["score"] != f"sig-{reward}":
            world.violated(f"{what} has another's score")
        versions = result["weight-versions"]
        if not versions or min(versions) < step.min_version - 1:
            world.violated(f"{what} comes from {versions}, {step.min_version} asked")
        # Sent, not acknowledged: the store may have a version whose answer it lost, and
        # of two trainers that name versions at once the slower one ends last.
        if max(versions, default=0) > world.sent_version:
            world.violated(f"{what} comes from a version that nobody named")

    async def _end(self, step: Step) -> None:
        while step.ended_s is None:
            target = f"{names.JOB_PATH}{step.id}"
            program = self._world.any_entry()
            answer = await self.call(program, "DELETE", target, step.id)
            if answer is not None and answer.status == 200:
                step.ended_s = asyncio.get_running_loop().time()
            elif answer is not None and answer.status < 500:
                self._world.violated(f"{step.id}: end answered {answer.status}")
                return
            else:
                await asyncio.sleep(0.2)

    async def _name_version(self) -> None:
        world = self._world
        version = world.named_version + 1
        world.sent_version = max(world.sent_version, version)
        value = {"model": MODEL, "version": version}
        client = world.store.client()
        made = await client.create(names.VERSION_KIND, MODEL, value, 10.0)
        if getattr(made, "value", None) != value:
            await client.replace(names.VERSION_KIND, MODEL, value, None)
        world.named_version = max(world.named_version, version)

    # Once all faults have healed.

    async def check_all(self) -> None:
        """Read every step at every entry: nothing is lost, nothing has changed."""
        world = self._world
        for step in self.steps:
            if not step.is_accepted:
                self._check_refused(step)
                continue
            for program in world.entries.values():
                if not await self._reads(step, program):
                    name = program.process.name
                    world.violated(f"{step.id}: can't be read at {name}")
            self._check_ended(step)

    async def _reads(self, step: Step, program: Program) -> bool:
        """Read a step page by page; return whether all that was ever read is there."""
        found = 0
        for _ in range(_READS):
            target = f"{names.JOB_PATH}{step.id}?after={found}"
            answer = await self.call(program, "GET", target, step.id)
            if answer is not None and answer.status == 200:
                page = json.loads(answer.body)["results"]
                for place, result in enumerate(page, found):
                    self._take(step, place, result)
                found += len(page)
            if found >= len(step.results):
                return True
            await asyncio.sleep(0.1)
        return False

    def _check_refused(self, step: Step) -> None:
        runs = sum(
            self._world.runs(f"{step.id}-item-{group}-{number}")
            for group in range(_GROUPS)
            for number in range(_SIZE)
        )
        if step.is_refused and runs:
            self._world.violated(f"{step.id}: refused at every try, and ran")

    def _check_ended(self, step: Step) -> None:
        """Check that an ended step's items don't begin any more.

        Processes that were frozen or cut off at its end may hear of it later, so that
        only the quiet time behind all faults is judged.
        """
        if step.ended_s is None:
            return
        bound_s = max(step.ended_s, self._world.healed_s) + _END_S
        for instance in self._world.fleet.instances:
            for request_id, begun_s in instance.begun_s.items():
                if request_id.startswith(f"{step.id}-item") and begun_s > bound_s:
                    self._world.violated(f"{request_id}: began after its job's end")
