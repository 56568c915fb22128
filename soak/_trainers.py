"""Trainers of a soak: submit, read and end jobs, name versions, check results."""

from __future__ import annotations

import asyncio
import json
from itertools import count
from typing import Any, Final

import attrs

from pistachioglade.http1 import Pool, Response
from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import sample_text
from tests.serving import HOST, JOBS, submission

from ._world import ACCOUNT, EVENTS, KEYS, MODEL, Program, World

_GROUPS: Final = 2
_SIZE: Final = 3
_ITEMS: Final = _GROUPS * _SIZE
#: Maximum number of times that a trainer sends a submission.
_MAX_SUBMISSIONS: Final = 12
#: Time after which a trainer ends an incomplete job, in seconds.
_STEP_TIMEOUT_S: Final = 12.0
#: Failures after which an item or its reward call may be terminated (max-attempts).
_MAX_ATTEMPTS: Final = 3
#: Time within which the end of a job takes effect, in seconds.
_END_DELAY_S: Final = 3.0
#: Maximum number of page requests to read a step from its start.
_MAX_READS: Final = 30
#: Timeout of one call, in seconds.
_CALL_TIMEOUT_S: Final = 3.0


@attrs.define
class Step:
    """One job and its state as its trainer knows it."""

    # Id of the job.
    id: str
    # Oldest weight version that the job accepts.
    min_version: int
    # Whether the submission was answered with 202.
    is_accepted: bool = False
    # Number of times that the submission was sent.
    sent: int = 0
    # Number of answers that guarantee that the job doesn't run.
    refusals: int = 0
    # Monotonic time at which the end was acknowledged, in seconds; None before.
    ended_s: float | None = None
    # Results by position, as first read.
    results: list[dict[str, Any]] = attrs.field(factory=list)

    @property
    def is_refused(self) -> bool:
        """Whether every submission attempt got an answer that rules out a run.

        A submission whose trainer was stopped before the answer was not refused.
        """
        return 0 < self.sent == self.refusals


class Trainer:
    """Runs one step after the other and checks the results."""

    def __init__(self, world: World, name: str, account: str = ACCOUNT) -> None:
        self._world = world
        self._name = name
        self._account = account
        world.accounts[name] = account
        self._numbers = count(1)
        # All steps that this trainer has submitted.
        self.steps: list[Step] = []

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            await self.step()

    async def call(
        self, program: Program, method: str, target: str, job_id: str, body: bytes = b""
    ) -> Response | None:
        """Send one request over a new connection; return None if no answer came."""
        pool = Pool("127.0.0.1", program.process.port)
        sent = (
            ("Host", HOST),
            (names.ATTEMPT_ID, job_id),
            (names.KEY, KEYS[self._account]),
            (names.WAIT_MS, "400"),
        )
        try:
            answer = await pool.request(method, target, sent, body, _CALL_TIMEOUT_S)
        except TimeoutError:
            return None
        finally:
            pool.close()
        return answer if isinstance(answer, Response) else None

    async def step(self) -> Step:
        """Submit one job, read its results until complete or late, and end the job."""
        world = self._world
        step = Step(f"{self._name}-{next(self._numbers)}", world.named_version)
        self.steps.append(step)
        await self._submit(step)
        if not step.is_accepted:
            return step
        begun_s = asyncio.get_running_loop().time()
        while len(step.results) < _ITEMS:
            if asyncio.get_running_loop().time() - begun_s > _STEP_TIMEOUT_S:
                world.counts["late step"] += 1
                break
            await self.read(step, world.choose_entry())
            await asyncio.sleep(0.1)
        world.counts["step"] += 1
        await self._end(step)
        if world.random.random() < 0.5:
            await self._name_version()
        return step

    async def _submit(self, step: Step) -> None:
        world = self._world
        body = submission(_GROUPS, _SIZE, step.min_version, f"{step.id}-")
        for _ in range(_MAX_SUBMISSIONS):
            program = world.choose_entry()
            step.sent += 1
            answer = await self.call(program, "POST", f"{JOBS}x", step.id, body)
            status = answer.status if answer is not None else None
            world.counts[f"submit {status}"] += 1
            if status == 202:
                step.is_accepted = True
                return
            step.refusals += status in (429, 503)
            if status is not None and status < 500 and status != 429:
                world.record_violation(f"{step.id}: submission answered {status}")
            await asyncio.sleep(0.3)

    async def read(self, step: Step, program: Program) -> bool:
        """Read the next page or an earlier one; return whether a page came."""
        world = self._world
        known = len(step.results)
        after = world.random.randint(0, known) if world.random.random() < 0.3 else known
        target = f"{names.JOB_PATH}{step.id}?after={after}"
        answer = await self.call(program, "GET", target, step.id)
        if answer is None or answer.status >= 500:
            return False
        if answer.status != 200:
            world.record_violation(f"{step.id}: reading answered {answer.status}")
            return False
        page = json.loads(answer.body)
        for position, result in enumerate(page["results"], after):
            self._record_result(step, position, result)
        return True

    def _record_result(self, step: Step, position: int, result: dict[str, Any]) -> None:
        world = self._world
        if position < len(step.results):
            if step.results[position] != result:
                world.record_violation(f"{step.id}: position {position} has changed")
            return
        if any(known["id"] == result["id"] for known in step.results):
            world.record_violation(f"{step.id}: {result['id']} stands twice")
        step.results.append(result)
        self._check_result(step, result)

    def _check_result(self, step: Step, result: dict[str, Any]) -> None:
        world = self._world
        item = str(result["id"])
        reward = item.replace("item", "reward")
        what = f"{step.id}: {item}"
        if result["state"] != "completed":
            failures = max(world.count_failures(item), world.count_failures(reward))
            if failures < _MAX_ATTEMPTS:
                world.record_violation(f"{what} was given up after {failures} failures")
            world.counts["given up"] += 1
            return
        world.counts["sample"] += 1
        if result["output-text"] != sample_text(item, EVENTS):
            world.record_violation(f"{what} has not its whole text")
        if result["score"] != f"sig-{reward}":
            world.record_violation(f"{what} has another's score")
        versions = result["weight-versions"]
        if not versions or min(versions) < step.min_version - 1:
            world.record_violation(
                f"{what} comes from {versions}, {step.min_version} asked"
            )
        # The bound is the newest version sent, not acknowledged: the store may hold a
        # version whose answer was lost, and of two trainers that name versions at the
        # same time the slower one ends last.
        if max(versions, default=0) > world.sent_version:
            world.record_violation(f"{what} comes from a version that nobody named")

    async def _end(self, step: Step) -> None:
        while step.ended_s is None:
            target = f"{names.JOB_PATH}{step.id}"
            program = self._world.choose_entry()
            answer = await self.call(program, "DELETE", target, step.id)
            if answer is not None and answer.status == 200:
                step.ended_s = asyncio.get_running_loop().time()
            elif answer is not None and answer.status < 500:
                self._world.record_violation(f"{step.id}: end answered {answer.status}")
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

    # Checks after all faults have ended.

    async def check_all(self) -> None:
        """Check that every entry returns each step without lost or changed results."""
        world = self._world
        for step in self.steps:
            if not step.is_accepted:
                self._check_refused(step)
                continue
            for program in world.entries.values():
                if not await self._can_read(step, program):
                    name = program.process.name
                    world.record_violation(f"{step.id}: can't be read at {name}")
            self._check_ended(step)

    async def _can_read(self, step: Step, program: Program) -> bool:
        """Read a step by pages; return whether all results known before are there."""
        found = 0
        for _ in range(_MAX_READS):
            target = f"{names.JOB_PATH}{step.id}?after={found}"
            answer = await self.call(program, "GET", target, step.id)
            if answer is not None and answer.status == 200:
                page = json.loads(answer.body)["results"]
                for position, result in enumerate(page, found):
                    self._record_result(step, position, result)
                found += len(page)
            if found >= len(step.results):
                return True
            await asyncio.sleep(0.1)
        return False

    def _check_refused(self, step: Step) -> None:
        runs = sum(
            self._world.count_runs(f"{step.id}-item-{group}-{number}")
            for group in range(_GROUPS)
            for number in range(_SIZE)
        )
        if step.is_refused and runs:
            self._world.record_violation(f"{step.id}: refused at every try, and ran")

    def _check_ended(self, step: Step) -> None:
        """Check that no item of an ended step begins after the end has taken effect.

        Processes that were frozen or cut off at the end may learn of the end later, so
        the check covers only the time after all faults have ended.
        """
        if step.ended_s is None:
            return
        bound_s = max(step.ended_s, self._world.healed_s) + _END_DELAY_S
        for instance in self._world.fleet.instances:
            for request_id, begun_s in instance.begun_s.items():
                if request_id.startswith(f"{step.id}-item") and begun_s > bound_s:
                    self._world.record_violation(
                        f"{request_id}: began after its job's end"
                    )
