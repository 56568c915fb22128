"""The steps of the trainers whose lease this agent holds."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from functools import partial

from ..config import AgentSettings, Trainer, Weighing
from ..controllers import CONFIG, NEWEST, Node
from ..decisions import FinishedStep, VersionPace, step_hold_s, steps_to_evict
from ..errors import ErrorKind, Refusal, refuse
from ..messages import (
    FetchSamples,
    ModelVersion,
    OpenStep,
    OwnerIs,
    SampleBatch,
    StepOpened,
)
from ..telemetry import logger
from ._agent_loads import AgentLoads
from ._ledger import Ledger
from ._owner_lease import OwnerLease
from ._rollouts import RolloutRunner
from ._step_run import StepRun

_log = logger(__name__)

#: Maximum number of samples in a step; keeps the step's record below a megabyte.
MAX_STEP_SAMPLES = 16_384


class StepOwner:
    """Opens steps and delivers their samples, under one lease for each trainer."""

    def __init__(
        self, settings: AgentSettings, node: Node, rollouts: RolloutRunner
    ) -> None:
        self._settings = settings
        self._node = node
        self._rollouts = rollouts
        self._loads = AgentLoads()
        self.ledger = Ledger(node)
        self._leases: dict[str, OwnerLease] = {}
        self._runs: dict[str, dict[int, StepRun]] = {}
        # Numbers of each trainer's steps that were finished, recorded and forgotten
        # here under the current lease.
        self._forgotten: dict[str, set[int]] = {}
        self._paces: dict[str, VersionPace] = {}
        self._known_versions: dict[str, int] = {}
        node.board.follow(NEWEST, self._on_versions)

    def _on_versions(self, newest: Mapping[str, ModelVersion]) -> None:
        """Record the publication pace of each model."""
        now_s = time.monotonic()
        for model, published in newest.items():
            if published.version > self._known_versions.get(model, 0):
                self._known_versions[model] = published.version
                pace = self._paces.get(model, VersionPace())
                self._paces[model] = pace.after_publication(now_s)

    def _hold_s(self, trainer: str) -> float:
        """Return for how long a trainer's step waits for new weights."""
        config = self._node.board.read(CONFIG)
        declared = config.trainer(trainer) if config else None
        if config is None or declared is None:
            return 0.0
        policy = config.policy
        if policy.name != "fair" or policy.weighing is not Weighing.STALENESS:
            return 0.0
        pace = self._paces.get(declared.model, VersionPace())
        return step_hold_s(pace, time.monotonic())

    def owned_trainers(self) -> tuple[str, ...]:
        """Return the trainers whose lease this node holds."""
        return tuple(
            trainer for trainer, lease in self._leases.items() if lease.is_held
        )

    async def run(self) -> None:
        """Renew leases and write the ledger until cancelled."""
        await asyncio.gather(self._renewals(), self.ledger.run())

    async def _renewals(self) -> None:
        while True:
            await asyncio.sleep(self._settings.lease_s / 3)
            await asyncio.gather(*map(self._renew, tuple(self._leases)))

    async def _renew(self, trainer: str) -> None:
        lease = self._leases[trainer]
        was_held = lease.is_held
        await lease.renew()
        if was_held and not lease.is_held:
            self._close_steps(trainer)

    def _close_steps(self, trainer: str) -> None:
        for run in self._runs.pop(trainer, {}).values():
            run.close()
        # The next owner may receive receipts of other copies, so a record written here
        # may not be the final record.
        self._forgotten.pop(trainer, None)

    def _lease(self, trainer: str) -> OwnerLease:
        if trainer not in self._leases:
            seen = partial(self._rollouts.highest_fence, trainer)
            self._leases[trainer] = OwnerLease(
                self._node, trainer, self._settings.lease_s, seen
            )
        return self._leases[trainer]

    async def open(self, message: OpenStep) -> StepOpened | OwnerIs | Refusal:
        """Open a step here, or return the node that owns the trainer's steps."""
        problem = self._check(message)
        if problem is not None:
            return problem
        lease = self._lease(message.trainer)
        other_owner = await lease.acquire(message.unreachable_owner)
        if other_owner is not None:
            return other_owner
        runs = self._runs.setdefault(message.trainer, {})
        run = runs.get(message.step)
        if run is None:
            run = runs[message.step] = self._start(message, lease)
            self._forgotten.get(message.trainer, set()).discard(message.step)
            self._forget_finished(message.trainer, runs)
        else:
            run.adopt_receipts(message)
        return StepOpened(self._node.settings.node, lease.fence, run.plan.sample_count)

    def _check(self, message: OpenStep) -> Refusal | None:
        refusal = self._node.admission()
        if refusal is not None:
            return refusal
        if self._trainer(message.trainer) is None:
            reason = f"no trainer {message.trainer!r} is declared"
            return refuse(ErrorKind.NOT_FOUND, reason)
        count = sum(group.sample_count for group in message.groups)
        if not 1 <= count <= MAX_STEP_SAMPLES:
            reason = f"a step has 1 to {MAX_STEP_SAMPLES} samples, not {count}"
            return refuse(ErrorKind.BAD_REQUEST, reason)
        return None

    def _trainer(self, name: str) -> Trainer | None:
        config = self._node.board.read(CONFIG)
        return config.trainer(name) if config else None

    def _start(self, message: OpenStep, lease: OwnerLease) -> StepRun:
        _log.info("step.opened", trainer=message.trainer, step=message.step)
        return StepRun(
            self._node,
            message,
            lambda: lease.fence,
            self._loads,
            self.ledger,
            partial(self._may_start, message.trainer),
            self._hold_s(message.trainer),
        )

    def _may_start(self, trainer: str, step: int) -> bool:
        """Return whether earlier steps have no samples left to start."""
        runs = self._runs.get(trainer, {})
        return all(
            run.plan.pending_count == 0 for number, run in runs.items() if number < step
        )

    def _forget_finished(self, trainer: str, runs: dict[int, StepRun]) -> None:
        finished = (
            FinishedStep(step, self.ledger.is_recorded(trainer, step))
            for step, run in runs.items()
            if run.plan.is_complete
        )
        for step in steps_to_evict(finished):
            runs.pop(step).close()
            self._forgotten.setdefault(trainer, set()).add(step)
            _log.info("step.forgotten", trainer=trainer, step=step)

    async def fetch(self, message: FetchSamples) -> SampleBatch | OwnerIs | Refusal:
        """Return samples of a step that is open here."""
        run = self._runs.get(message.trainer, {}).get(message.step)
        if run is None and message.step in self._forgotten.get(message.trainer, ()):
            return SampleBatch(message.step, (), missing_count=0, is_recorded=True)
        if run is None:
            reason = f"step {message.step} is not open here; open it again"
            return refuse(ErrorKind.UNKNOWN_STEP, reason)
        return await run.fetch(message)

    async def hand_over(self) -> None:
        """Release every lease and write the pending records."""
        for trainer in tuple(self._runs):
            self._close_steps(trainer)
        await asyncio.gather(*(lease.release() for lease in self._leases.values()))
        await asyncio.sleep(0)
        await self.ledger.flush()
