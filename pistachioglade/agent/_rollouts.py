"""Generates samples: one at a time for each index, with their weight versions."""

from __future__ import annotations

import asyncio
import threading
import time
from collections import OrderedDict, defaultdict
from collections.abc import Mapping
from concurrent.futures import Executor
from functools import partial
from itertools import count
from typing import Final

import attrs

from ..backing import HttpSession
from ..config import AgentSettings
from ..controllers import NEWEST, Node
from ..decisions import VersionPace, is_fresh, will_be_fresh
from ..errors import ErrorKind, Refusal, refuse
from ..messages import (
    FIRST_VERSION,
    AgentLoad,
    CancelGenerate,
    Generate,
    Sample,
)
from ..telemetry import logger
from ._scheduler import Scheduler, WaitingRollout
from ._slots import SlotTable
from ._upstream import (
    ROLLOUT_PRIORITY,
    Completion,
    CompletionRequest,
    InstanceClient,
)

_log = logger(__name__)

#: Time without a token after which a completion counts as lost, in seconds.
_TOKEN_TIMEOUT_S: Final = 15.0
#: Maximum number of finished samples kept for owners that ask again.
_MAX_KEPT_SAMPLES: Final = 4096

_Key = tuple[str, int, int]


@attrs.define(eq=False)
class _SampleRun:
    """A sample that waits for a slot or is being generated."""

    # Request for the sample.
    message: Generate
    # Resolved with the sample or a refusal.
    result: asyncio.Future[Sample | Refusal]
    # Set to stop the completion.
    stop: threading.Event = attrs.field(factory=threading.Event)
    # Why the sample was cancelled; None while the sample is wanted.
    stop_reason: Refusal | None = None
    # Entry in the queue while the sample waits for a slot.
    waiting: WaitingRollout | None = None
    # Oldest weight version so far; None before the first token.
    oldest_version: int | None = None
    # Number of tokens so far.
    tokens: int = 0
    # Tokens of the first event, left out of the speed since that event follows the
    # processing of the prompt.
    first_tokens: int = 0
    # Monotonic time of the first event, in seconds.
    first_s: float = 0.0
    # Whether the sample occupies a slot.
    is_running: bool = False
    # Whether the completion was stopped to free the slot for a call.
    is_preempted: bool = False
    # Tokens that were lost by preemption.
    preempted_tokens: int = 0

    def speed(self, end_s: float) -> float:
        """Return the tokens per second after the first event."""
        spent_s = end_s - self.first_s
        return (self.tokens - self.first_tokens) / spent_s if spent_s > 0 else 0.0

    def reset(self) -> None:
        """Reset the state of a preempted completion before the next start."""
        self.preempted_tokens += self.tokens
        self.tokens = 0
        self.oldest_version = None
        self.is_preempted = False
        self.stop = threading.Event()


class RolloutRunner:
    """The samples that this agent generates or has finished."""

    def __init__(
        self,
        settings: AgentSettings,
        node: Node,
        scheduler: Scheduler,
        slots: SlotTable,
        clients: Mapping[str, InstanceClient],
        executor: Executor,
    ) -> None:
        self._settings = settings
        self._node = node
        self._scheduler = scheduler
        self._slots = slots
        self._clients = clients
        self._executor = executor
        self._scorer = HttpSession(settings.scorer_url) if settings.scorer_url else None
        self._serial = count(1)
        self._runs: dict[_Key, _SampleRun] = {}
        self._kept: OrderedDict[_Key, tuple[float, Sample]] = OrderedDict()
        self._fences: dict[str, int] = defaultdict(int)
        self._paces: dict[str, VersionPace] = defaultdict(VersionPace)
        self._known_versions: dict[str, int] = {}
        self._duration_s: dict[str, float] = {}
        self.preempted_tokens = 0
        scheduler.set_preemption(self.preempt_youngest)
        node.board.follow(NEWEST, lambda _value: self._on_versions())

    def take_preempted_tokens(self) -> int:
        """Return and reset the tokens lost by preemption since the last report."""
        lost, self.preempted_tokens = self.preempted_tokens, 0
        return lost

    def load(self) -> AgentLoad:
        """Return the load that is reported with every answer."""
        _calls, running = self._slots.running()
        _queued_calls, queued = self._scheduler.queued()
        return AgentLoad(self._slots.rollout_slots(), running, queued)

    @property
    def running(self) -> int:
        """The number of samples that wait or are being generated."""
        return len(self._runs)

    def highest_fence(self, trainer: str) -> int:
        """Return the highest fencing token seen for a trainer."""
        return self._fences[trainer]

    async def generate(self, message: Generate) -> Sample | Refusal:
        """Generate a sample, join the run in progress, or return the kept sample."""
        if message.fence < self._fences[message.trainer]:
            reason = f"fence {message.fence} is below {self._fences[message.trainer]}"
            return refuse(ErrorKind.FENCED, reason)
        self._fences[message.trainer] = message.fence
        key = (message.trainer, message.step, message.index)
        kept = self._kept_sample(key, message.min_version)
        if kept is not None:
            return kept
        run = self._runs.get(key)
        if run is not None and run.stop_reason is None:
            return await asyncio.shield(run.result)
        refusal = self._node.admission()
        if refusal is not None:
            return refusal
        return await asyncio.shield(self._start(key, message))

    def _kept_sample(self, key: _Key, min_version: int) -> Sample | None:
        self._drop_expired()
        found = self._kept.get(key)
        if found is None:
            return None
        if found[1].oldest_version >= min_version:
            return found[1]
        del self._kept[key]
        return None

    def _drop_expired(self) -> None:
        limit_s = time.monotonic() - self._settings.keep_samples_s
        while self._kept:
            finished_s, _sample = next(iter(self._kept.values()))
            if finished_s >= limit_s and len(self._kept) <= _MAX_KEPT_SAMPLES:
                return
            self._kept.popitem(last=False)

    def _start(self, key: _Key, message: Generate) -> asyncio.Future[Sample | Refusal]:
        loop = asyncio.get_running_loop()
        run = _SampleRun(message, loop.create_future())
        self._runs[key] = run
        self._node.spawn(self._run_until_done(key, run))
        return run.result

    async def _run_until_done(self, key: _Key, run: _SampleRun) -> None:
        result: Sample | Refusal = refuse(ErrorKind.INTERNAL, "the rollout failed")
        try:
            result = await self._queue_and_run(run)
            while run.is_preempted and run.stop_reason is None:
                run.reset()
                result = await self._queue_and_run(run, is_again=True)
        finally:
            if self._runs.get(key) is run:
                del self._runs[key]
            if isinstance(result, Sample):
                self._kept[key] = (time.monotonic(), result)
                self.preempted_tokens += run.preempted_tokens
            run.result.set_result(result)

    async def _queue_and_run(
        self, run: _SampleRun, is_again: bool = False
    ) -> Sample | Refusal:
        message = run.message
        waiting = WaitingRollout(
            message.trainer,
            message.model,
            partial(self._min_version, message),
            asyncio.get_running_loop().create_future(),
        )
        run.waiting = waiting
        refusal = None
        if is_again:
            self._scheduler.requeue_rollout(waiting)
        else:
            refusal = self._scheduler.add_rollout(waiting)
        if refusal is not None:
            return refusal
        slot = await waiting.slot
        run.waiting = None
        if isinstance(slot, Refusal):
            return slot
        run.is_running = True
        try:
            return await self._run_on_instance(run, slot)
        finally:
            run.is_running = False
            self._scheduler.release_rollout(slot, message.trainer, run.tokens)

    def _min_version(self, message: Generate) -> int:
        """Return the oldest version that a sample may start with now.

        Admission checks whether the sample would still be fresh when finished.
        """
        trainer = self._scheduler.config.trainer(message.trainer)
        if trainer is None:
            return message.min_version
        newest = self._newest(message.model)
        now_s = time.monotonic()
        expected = self._paces[message.model].expected_versions(
            now_s, self._duration_s.get(message.trainer, 0.0)
        )
        bound = trainer.staleness_bound_versions
        candidates = range(max(FIRST_VERSION, newest - bound), newest + 1)
        fresh = (
            version
            for version in candidates
            if will_be_fresh(version, newest, bound, expected)
        )
        return max(message.min_version, next(fresh, newest))

    def _newest(self, model: str) -> int:
        found = self._node.board.read(NEWEST).get(model)
        return found.version if found else 0

    async def _run_on_instance(
        self, run: _SampleRun, instance: str
    ) -> Sample | Refusal:
        message = run.message
        started_s = time.monotonic()
        request_id = (
            f"{message.trainer}/{message.step}/{message.index}/{next(self._serial)}"
        )
        with self._node.tracing.span(
            "agent.rollout", message.traceparent, instance=instance
        ) as traceparent:
            request = CompletionRequest(
                request_id,
                message.model,
                message.prompt,
                message.max_tokens,
                message.seed,
                ROLLOUT_PRIORITY,
                traceparent,
            )
            client = self._clients[instance]
            progress = partial(self._progress, run)
            work = partial(client.complete, request, _TOKEN_TIMEOUT_S, progress)
            loop = asyncio.get_running_loop()
            result = await loop.run_in_executor(self._executor, work)
        if isinstance(result, Refusal):
            return await self._cancel_on_instance(run, client, request_id, result)
        speed = run.speed(time.monotonic())
        self._record_duration(message.trainer, time.monotonic() - started_s)
        sample = await self._sample_of(message, instance, result)
        return attrs.evolve(sample, tokens_per_s=speed)

    @staticmethod
    def _progress(run: _SampleRun, version: int, tokens: int) -> bool:
        """Count the tokens of an event; runs in the thread that reads the stream."""
        known = run.oldest_version
        run.oldest_version = version if known is None else min(known, version)
        if run.tokens == 0:
            run.first_tokens = tokens
            run.first_s = time.monotonic()
        run.tokens += tokens
        return not run.stop.is_set()

    async def _cancel_on_instance(
        self, run: _SampleRun, client: InstanceClient, request_id: str, cause: Refusal
    ) -> Refusal:
        await asyncio.to_thread(client.cancel, request_id)
        self._node.metrics.count("rollout.wasted_tokens", run.tokens)
        return run.stop_reason or cause

    def _record_duration(self, trainer: str, duration_s: float) -> None:
        known_s = self._duration_s.get(trainer, duration_s)
        self._duration_s[trainer] = known_s + 0.2 * (duration_s - known_s)

    async def _sample_of(
        self, message: Generate, instance: str, completion: Completion
    ) -> Sample:
        agent = self._node.settings.node
        copy_id = f"{agent}.{self._node.incarnation:x}.{next(self._serial)}"
        score = await asyncio.to_thread(self._score, completion.text)
        return Sample(
            index=message.index,
            copy_id=copy_id,
            text=completion.text,
            spans=completion.spans,
            agent=agent,
            engine=instance,
            score=score,
        )

    def _score(self, text: str) -> float | None:
        if self._scorer is None:
            return None
        reply = self._scorer.request("POST", "/score", 2.0, text.encode())
        if isinstance(reply, Refusal) or reply.status != 200:
            return None
        return float(reply.json()["score"])

    def _on_versions(self) -> None:
        """Record the pace of versions and stop the samples that became too stale."""
        now_s = time.monotonic()
        for model, newest in self._node.board.read(NEWEST).items():
            if newest.version > self._known_versions.get(model, 0):
                self._known_versions[model] = newest.version
                self._paces[model] = self._paces[model].after_publication(now_s)
        if self._scheduler.is_fair:
            for run in tuple(self._runs.values()):
                self._stop_if_stale(run)

    def _stop_if_stale(self, run: _SampleRun) -> None:
        trainer = self._scheduler.config.trainer(run.message.trainer)
        oldest = run.oldest_version
        if trainer is None or oldest is None:
            return
        newest = self._newest(run.message.model)
        if not is_fresh(oldest, newest, trainer.staleness_bound_versions):
            reason = f"version {oldest} is too old beside {newest}"
            self._stop(run, refuse(ErrorKind.TOO_STALE, reason))

    def _stop(self, run: _SampleRun, refusal: Refusal) -> None:
        run.stop_reason = attrs.evolve(
            refusal, execution=refuse(ErrorKind.CANCELLED, "").execution
        )
        run.stop.set()
        if run.waiting is not None:
            self._scheduler.withdraw(run.waiting, refusal)

    def cancel(self, message: CancelGenerate) -> Refusal | None:
        """Stop one sample of a step, or all of them."""
        if message.fence < self._fences[message.trainer]:
            return refuse(ErrorKind.FENCED, "a later owner has taken over")
        refusal = refuse(ErrorKind.CANCELLED, "nobody waits for this sample")
        for key, run in tuple(self._runs.items()):
            if _matches(message, key):
                self._stop(run, refusal)
        return None

    def preempt_youngest(self) -> None:
        """Free the slot of the rollout that loses the fewest tokens.

        A call must not wait for a rollout's end. The rollout is queued again ahead of
        the others.
        """
        running = [
            run
            for run in self._runs.values()
            if run.is_running and not run.stop.is_set()
        ]
        if running:
            youngest = min(running, key=lambda run: run.tokens)
            youngest.is_preempted = True
            youngest.stop.set()

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse the samples that have not started, since the agent is leaving."""
        self._scheduler.refuse_waiting(refusal)


def _matches(message: CancelGenerate, key: _Key) -> bool:
    trainer, step, index = key
    same_step = (trainer, step) == (message.trainer, message.step)
    return same_step and message.index in (-1, index)
