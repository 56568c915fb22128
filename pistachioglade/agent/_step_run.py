"""One open step at its owner: starts and delivers samples, updates the record."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from ..config import Policy, Trainer, Weighing
from ..controllers import CONFIG, MEMBERS, NEWEST, Node, usable_agents
from ..decisions import (
    Dispatch,
    PlacementPolicy,
    StepPlan,
    StepPolicy,
    should_give_up_sample,
    stable_hash,
)
from ..errors import ErrorKind, Refusal, refuse
from ..messages import (
    FIRST_VERSION,
    CancelGenerate,
    FetchSamples,
    Generate,
    Generated,
    MemberState,
    OpenStep,
    Receipt,
    Sample,
    SampleBatch,
)
from ..report import StepRecord
from ..telemetry import logger
from ._agent_loads import AgentLoads
from ._ledger import Ledger

_log = logger(__name__)

_TICK_S: Final = 0.25
_GENERATE_TIMEOUT_S: Final = 1700.0
_CANCEL_TIMEOUT_S: Final = 2.0
#: Cooldown of an agent that refused without a retry time, in seconds.
_DEFAULT_COOLDOWN_S: Final = 0.5


def step_policy(policy: Policy, share_percent: int) -> StepPolicy:
    """Return the step policy of a trainer under a declared policy."""
    if policy.name != "fair":
        placement = PlacementPolicy(group_affinity=False, backlog_factor=1.5)
        return StepPolicy(placement, longest_first=False, hedge_fraction=0.0)
    hedge_fraction = policy.hedge_percent / 100.0
    if policy.weighing is Weighing.STALENESS:
        hedge_fraction /= 2
    placement = PlacementPolicy(share_fraction=share_percent / 100.0)
    return StepPolicy(placement, hedge_fraction=hedge_fraction)


class StepRun:
    """The state of one open step at its owner."""

    def __init__(
        self,
        node: Node,
        message: OpenStep,
        fence: Callable[[], int],
        loads: AgentLoads,
        ledger: Ledger,
        may_start: Callable[[int], bool],
        hold_s: float,
    ) -> None:
        self._node = node
        self._message = message
        self._client_id = message.client_id
        self._fence = fence
        self._loads = loads
        self._ledger = ledger
        self._may_start = may_start
        self._hold_until_s = time.monotonic() + hold_s
        self._hold_version = message.newest_version
        config = node.board.read(CONFIG)
        trainer = self._trainer()
        policy = step_policy(
            config.policy if config else Policy(),
            trainer.share_percent if trainer else 100,
        )
        sizes = [group.sample_count for group in message.groups]
        key = f"{message.trainer}/{message.step}"
        self.plan = StepPlan(key, sizes, policy)
        self.plan.record_receipts(message.receipts)
        self._newest_version = message.newest_version
        self._opened_unix_s = time.time() - message.age_s
        self._wake = node.board.signal(MEMBERS, NEWEST)
        self._changed = asyncio.Event()
        self._closed = False
        # The counts of a step that was open here before are continued, since the new
        # record replaces the earlier record.
        counts = ledger.counts(message.trainer, message.step)
        self._refusals: Counter[str] = Counter(counts.refusals)
        # Number of internal errors of each sample, by index.
        self._internal_errors: Counter[int] = Counter()
        # Why the step can't be completed; None while the step may be completed.
        self._final_refusal: Refusal | None = None
        self._wasted_tokens: Counter[str] = Counter(counts.wasted_tokens)
        self._update_record()
        self._task = node.spawn(self._run())

    @property
    def step(self) -> int:
        """The number of the step."""
        return self._message.step

    def adopt_receipts(self, message: OpenStep) -> None:
        """Replace the receipts when a trainer opens the step again."""
        self._client_id = message.client_id
        self._newest_version = max(self._newest_version, message.newest_version)
        for index in self.plan.restore_receipts(message.receipts):
            self._cancel_everywhere(index)
        self._update_record()
        self._signal_change()

    def close(self) -> None:
        """Start no more samples and wake the waiting requests."""
        self._closed = True
        self._signal_change()

    def _signal_change(self) -> None:
        self._wake.set()
        self._changed.set()
        self._changed = asyncio.Event()

    def _trainer(self) -> Trainer | None:
        config = self._node.board.read(CONFIG)
        return config.trainer(self._message.trainer) if config else None

    async def _run(self) -> None:
        while not self._closed:
            self._wake.clear()
            self._release_dead_agents()
            self._drop_stale()
            self._start_samples()
            try:
                async with asyncio.timeout(_TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _release_dead_agents(self) -> None:
        """Release the samples of suspected or dead agents, to start them elsewhere."""
        members = self._node.board.read(MEMBERS)
        for agent in self.plan.running_by_agent():
            member = members.get(agent)
            if member is None or member.state in (
                MemberState.SUSPECT,
                MemberState.DEAD,
            ):
                for index in self.plan.samples_running_at(agent):
                    self.plan.record_failure(agent, index)

    def _update_newest_version(self, trainer: Trainer) -> int:
        published = self._node.board.read(NEWEST).get(trainer.model)
        known = published.version if published else 0
        self._newest_version = max(self._newest_version, known)
        return self._newest_version

    def _drop_stale(self) -> None:
        trainer = self._trainer()
        if trainer is None:
            return
        bound = trainer.staleness_bound_versions
        self._count_waste(
            self.plan.discard_stale(self._update_newest_version(trainer), bound)
        )

    def _count_waste(self, samples: tuple[Sample, ...]) -> None:
        for sample in samples:
            self._wasted_tokens[ErrorKind.TOO_STALE.value] += sample.token_count

    def _is_held(self, trainer: Trainer) -> bool:
        """Return whether the step still waits for weights that are expected soon."""
        is_early = time.monotonic() < self._hold_until_s
        return is_early and self._update_newest_version(trainer) <= self._hold_version

    def _start_samples(self) -> None:
        trainer = self._trainer()
        if trainer is None or not self._may_start(self.step):
            return
        if self._final_refusal is not None:
            return
        if self._is_held(trainer):
            return
        agents = {
            record.node: record
            for upstream in trainer.upstreams
            for record in usable_agents(self._node.board, upstream)
        }
        now_s = time.monotonic()
        while True:
            views = self._loads.views(agents, now_s)
            dispatch = self.plan.next_dispatch(views, now_s)
            if dispatch is None:
                return
            self._loads.record_sent(dispatch.agent)
            address = agents[dispatch.agent].address
            self._node.spawn(self._generate(dispatch, address, trainer))

    def _request(self, dispatch: Dispatch, trainer: Trainer) -> Generate:
        message = self._message
        oldest = self._update_newest_version(trainer) - trainer.staleness_bound_versions
        seed = stable_hash(trainer.name, str(self.step), str(dispatch.index)) >> 33
        return Generate(
            trainer=trainer.name,
            model=trainer.model,
            step=self.step,
            index=dispatch.index,
            prompt=message.groups[dispatch.group].prompt,
            max_tokens=message.max_tokens,
            seed=seed,
            fence=self._fence(),
            min_version=max(FIRST_VERSION, oldest),
            traceparent=message.traceparent,
        )

    async def _generate(
        self, dispatch: Dispatch, address: str, trainer: Trainer
    ) -> None:
        agent = dispatch.agent
        with self._node.tracing.span(
            "owner.sample", self._message.traceparent, index=dispatch.index, agent=agent
        ) as traceparent:
            request = attrs.evolve(
                self._request(dispatch, trainer), traceparent=traceparent
            )
            answer = await self._node.pool.call(address, request, _GENERATE_TIMEOUT_S)
        self._loads.record_returned(agent)
        if isinstance(answer, Generated) and answer.sample is not None:
            self._loads.record_report(agent, answer.load)
            if answer.preempted_tokens:
                self._wasted_tokens["preempted"] += answer.preempted_tokens
            self._finish(agent, answer.sample)
        else:
            refusal = answer if isinstance(answer, Refusal) else _no_sample()
            self._fail(agent, dispatch.index, refusal)
        self._signal_change()

    def _finish(self, agent: str, sample: Sample) -> None:
        if self.plan.has_copy(sample.index):
            self._wasted_tokens["hedged"] += sample.token_count
        for loser in self.plan.record_finished(agent, sample, time.monotonic()):
            self._cancel(loser, sample.index)
        self._drop_stale()

    def _fail(self, agent: str, index: int, refusal: Refusal) -> None:
        self.plan.record_failure(agent, index)
        if refusal.kind is ErrorKind.CANCELLED:
            return
        self._refusals[refusal.kind.value] += 1
        _log.info("sample.failed", index=index, agent=agent, reason=refusal.reason)
        if refusal.kind is ErrorKind.INTERNAL:
            self._count_internal_error(index, refusal)
        if refusal.kind is not ErrorKind.TOO_STALE:
            cooldown_s = refusal.retry_after_s or _DEFAULT_COOLDOWN_S
            self._loads.start_cooldown(agent, time.monotonic() + cooldown_s)

    def _count_internal_error(self, index: int, refusal: Refusal) -> None:
        self._internal_errors[index] += 1
        if self._final_refusal is None and should_give_up_sample(
            self._internal_errors[index]
        ):
            reason = f"sample {index} can't be made: {refusal.reason}"
            _log.error("step.failed", step=self.step, index=index, reason=reason)
            self._final_refusal = refuse(ErrorKind.INTERNAL, reason)

    def _cancel(self, agent: str, index: int) -> None:
        member = self._node.board.read(MEMBERS).get(agent)
        if member is None:
            return
        message = CancelGenerate(self._message.trainer, self.step, index, self._fence())
        call = self._node.pool.call(member.address, message, _CANCEL_TIMEOUT_S)
        self._node.spawn(call)

    def _cancel_everywhere(self, index: int) -> None:
        for agent in tuple(self.plan.running_by_agent()):
            if index in self.plan.samples_running_at(agent):
                self._cancel(agent, index)

    def _receive(self, receipts: tuple[Receipt, ...]) -> None:
        for index in self.plan.record_receipts(receipts):
            self._cancel_everywhere(index)
        if receipts:
            self._update_record()
            self._signal_change()

    def _update_record(self) -> None:
        self._ledger.put_record(
            StepRecord(
                trainer=self._message.trainer,
                step=self.step,
                owner=self._node.settings.node,
                opened_unix_s=self._opened_unix_s,
                sample_count=self.plan.sample_count,
                receipts=self.plan.receipts,
                refusals=dict(self._refusals),
                wasted_tokens=dict(self._wasted_tokens),
            )
        )

    async def fetch(self, message: FetchSamples) -> SampleBatch | Refusal:
        """Return samples that the trainer lacks; wait until the first is ready.

        Receipts count only from the client that opened the step last. A killed client
        may have taken samples that are missing from its successor's checkpoint; with
        its late receipts, the successor would never get those samples.
        """
        if message.client_id != self._client_id:
            reason = f"step {self.step} was opened by another client; open it again"
            _log.info("step.other_client", trainer=message.trainer, step=self.step)
            return refuse(ErrorKind.UNKNOWN_STEP, reason)
        self._newest_version = max(self._newest_version, message.newest_version)
        self._receive(message.receipts)
        self._count_waste(self.plan.discard_rejected(message.rejected))
        if message.rejected:
            self._signal_change()
        deadline_s = time.monotonic() + message.wait_s
        while True:
            self._drop_stale()
            samples = self.plan.ready_samples(message.max_samples)
            is_over = self._closed or time.monotonic() >= deadline_s
            if samples or self.plan.is_complete:
                return self._batch(samples)
            if self._final_refusal is not None and not self.plan.has_running_copies:
                return self._final_refusal
            if is_over:
                return self._batch(samples)
            await self._next_change(deadline_s)

    def _batch(self, samples: tuple[Sample, ...]) -> SampleBatch:
        is_recorded = self._ledger.is_recorded(self._message.trainer, self.step)
        return SampleBatch(self.step, samples, self.plan.missing_count, is_recorded)

    async def _next_change(self, deadline_s: float) -> None:
        wait_s = max(0.0, deadline_s - time.monotonic())
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return


def _no_sample() -> Refusal:
    return refuse(ErrorKind.UPSTREAM_LOST, "the agent's answer holds no sample")
