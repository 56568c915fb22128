"""Makes samples: one at a time for each index, with the versions that made it."""

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

#: Time without a token after which a completion counts as lost.
_TOKEN_TIMEOUT_S: Final = 15.0
#: Finished samples that are kept for owners that come back.
_MAX_KEPT: Final = 4096

_Key = tuple[str, int, int]


@attrs.define(eq=False)
class _Making:
    """A sample that is waiting or being made."""

    # What was asked.
    message: Generate
    # Resolved with the sample or a refusal.
    result: asyncio.Future[Sample | Refusal]
    # Set when nobody wants the sample any more.
    stop: threading.Event = attrs.field(factory=threading.Event)
    # Why it was stopped.
    stop_reason: Refusal | None = None
    # Place in the queue, while it waits.
    waiting: WaitingRollout | None = None
    # Oldest version so far; None before the first token.
    oldest_version: int | None = None
    # Tokens so far.
    tokens: int = 0
    # Tokens of the first event, which a prompt's reading comes before.
    first_tokens: int = 0
    # When the first event came.
    first_s: float = 0.0
    # Whether it holds a slot.
    is_running: bool = False
    # Whether it was stopped to make room for a call.
    is_preempted: bool = False
    # Tokens that were made and lost by that.
    preempted_tokens: int = 0

    def speed(self, end_s: float) -> float:
        """Return the tokens a second after the first event."""
        spent_s = end_s - self.first_s
        return (self.tokens - self.first_tokens) / spent_s if spent_s > 0 else 0.0

    def begin_again(self) -> None:
        """Forget a run that was stopped to make room for a call."""
        self.preempted_tokens += self.tokens
        self.tokens = 0
        self.oldest_version = None
        self.is_preempted = False
        self.stop = threading.Event()


class RolloutRunner:
    """The samples that this agent makes and has made."""

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
        self._making: dict[_Key, _Making] = {}
        self._kept: OrderedDict[_Key, tuple[float, Sample]] = OrderedDict()
        self._fences: dict[str, int] = defaultdict(int)
        self._paces: dict[str, VersionPace] = defaultdict(VersionPace)
        self._known: dict[str, int] = {}
        self._duration_s: dict[str, float] = {}
        self.preempted_tokens = 0
        scheduler.on_starved_call(self.preempt_youngest)
        node.board.follow(NEWEST, lambda _value: self._on_versions())

    def take_preempted_tokens(self) -> int:
        """Return the tokens lost to calls that nobody was told of yet."""
        lost, self.preempted_tokens = self.preempted_tokens, 0
        return lost

    def load(self) -> AgentLoad:
        """Return the load that goes back with every answer."""
        _calls, running = self._slots.running()
        _queued_calls, queued = self._scheduler.queued()
        return AgentLoad(self._slots.rollout_slots(), running, queued)

    @property
    def running(self) -> int:
        """How many samples wait or are being made."""
        return len(self._making)

    def highest_fence(self, trainer: str) -> int:
        """Return the highest fencing number seen for a trainer."""
        return self._fences[trainer]

    async def generate(self, message: Generate) -> Sample | Refusal:
        """Make a sample, or join its making, or return the one that was made."""
        if message.fence < self._fences[message.trainer]:
            reason = f"fence {message.fence} is below {self._fences[message.trainer]}"
            return refuse(ErrorKind.FENCED, reason)
        self._fences[message.trainer] = message.fence
        key = (message.trainer, message.step, message.index)
        kept = self._kept_sample(key, message.min_version)
        if kept is not None:
            return kept
        making = self._making.get(key)
        if making is not None and making.stop_reason is None:
            return await asyncio.shield(making.result)
        refusal = self._node.admission()
        if refusal is not None:
            return refusal
        return await asyncio.shield(self._begin(key, message))

    def _kept_sample(self, key: _Key, min_version: int) -> Sample | None:
        self._forget_old()
        found = self._kept.get(key)
        if found is None:
            return None
        if found[1].oldest_version >= min_version:
            return found[1]
        del self._kept[key]
        return None

    def _forget_old(self) -> None:
        limit_s = time.monotonic() - self._settings.keep_samples_s
        while self._kept:
            made_s, _sample = next(iter(self._kept.values()))
            if made_s >= limit_s and len(self._kept) <= _MAX_KEPT:
                return
            self._kept.popitem(last=False)

    def _begin(self, key: _Key, message: Generate) -> asyncio.Future[Sample | Refusal]:
        loop = asyncio.get_running_loop()
        making = _Making(message, loop.create_future())
        self._making[key] = making
        self._node.spawn(self._make(key, making))
        return making.result

    async def _make(self, key: _Key, making: _Making) -> None:
        result: Sample | Refusal = refuse(ErrorKind.INTERNAL, "the rollout failed")
        try:
            result = await self._queue_and_run(making)
            while making.is_preempted and making.stop_reason is None:
                making.begin_again()
                result = await self._queue_and_run(making, is_again=True)
        finally:
            if self._making.get(key) is making:
                del self._making[key]
            if isinstance(result, Sample):
                self._kept[key] = (time.monotonic(), result)
                self.preempted_tokens += making.preempted_tokens
            making.result.set_result(result)

    async def _queue_and_run(
        self, making: _Making, is_again: bool = False
    ) -> Sample | Refusal:
        message = making.message
        waiting = WaitingRollout(
            message.trainer,
            message.model,
            partial(self._min_version, message),
            asyncio.get_running_loop().create_future(),
        )
        making.waiting = waiting
        refusal = None
        if is_again:
            self._scheduler.add_again(waiting)
        else:
            refusal = self._scheduler.add_rollout(waiting)
        if refusal is not None:
            return refusal
        slot = await waiting.slot
        making.waiting = None
        if isinstance(slot, Refusal):
            return slot
        making.is_running = True
        try:
            return await self._run(making, slot)
        finally:
            making.is_running = False
            self._scheduler.release_rollout(slot, message.trainer, making.tokens)

    def _min_version(self, message: Generate) -> int:
        """Return the oldest version that a sample may start with now.

        Admission asks whether the sample would still be fresh when done.
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

    async def _run(self, making: _Making, instance: str) -> Sample | Refusal:
        message = making.message
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
            progress = partial(self._progress, making)
            work = partial(client.complete, request, _TOKEN_TIMEOUT_S, progress)
            loop = asyncio.get_running_loop()
            result = await loop.run_in_executor(self._executor, work)
        if isinstance(result, Refusal):
            return await self._stopped(making, client, request_id, result)
        speed = making.speed(time.monotonic())
        self._note_duration(message.trainer, time.monotonic() - started_s)
        sample = await self._sample_of(message, instance, result)
        return attrs.evolve(sample, tokens_per_s=speed)

    @staticmethod
    def _progress(making: _Making, version: int, tokens: int) -> bool:
        """Count tokens; runs in the thread that reads the stream."""
        known = making.oldest_version
        making.oldest_version = version if known is None else min(known, version)
        if making.tokens == 0:
            making.first_tokens = tokens
            making.first_s = time.monotonic()
        making.tokens += tokens
        return not making.stop.is_set()

    async def _stopped(
        self, making: _Making, client: InstanceClient, request_id: str, cause: Refusal
    ) -> Refusal:
        await asyncio.to_thread(client.cancel, request_id)
        self._node.metrics.count("rollout.wasted_tokens", making.tokens)
        return making.stop_reason or cause

    def _note_duration(self, trainer: str, duration_s: float) -> None:
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
        """Note the pace of versions and stop what can no longer be fresh."""
        now_s = time.monotonic()
        for model, newest in self._node.board.read(NEWEST).items():
            if newest.version > self._known.get(model, 0):
                self._known[model] = newest.version
                self._paces[model] = self._paces[model].published(now_s)
        if self._scheduler.is_fair:
            for making in tuple(self._making.values()):
                self._stop_if_stale(making)

    def _stop_if_stale(self, making: _Making) -> None:
        trainer = self._scheduler.config.trainer(making.message.trainer)
        oldest = making.oldest_version
        if trainer is None or oldest is None:
            return
        newest = self._newest(making.message.model)
        if not is_fresh(oldest, newest, trainer.staleness_bound_versions):
            reason = f"version {oldest} is too old beside {newest}"
            self._stop(making, refuse(ErrorKind.TOO_STALE, reason))

    def _stop(self, making: _Making, refusal: Refusal) -> None:
        making.stop_reason = attrs.evolve(
            refusal, execution=refuse(ErrorKind.CANCELLED, "").execution
        )
        making.stop.set()
        if making.waiting is not None:
            self._scheduler.withdraw(making.waiting, refusal)

    def cancel(self, message: CancelGenerate) -> Refusal | None:
        """Stop one sample of a step, or all of them."""
        if message.fence < self._fences[message.trainer]:
            return refuse(ErrorKind.FENCED, "a later owner has taken over")
        refusal = refuse(ErrorKind.CANCELLED, "nobody waits for this sample")
        for key, making in tuple(self._making.items()):
            if _is_meant(message, key):
                self._stop(making, refusal)
        return None

    def preempt_youngest(self) -> None:
        """Free the slot of the rollout that loses the fewest tokens.

        A call must not wait for a rollout's end; the rollout starts again first.
        """
        running = [
            making
            for making in self._making.values()
            if making.is_running and not making.stop.is_set()
        ]
        if running:
            youngest = min(running, key=lambda making: making.tokens)
            youngest.is_preempted = True
            youngest.stop.set()

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse what has not started, since the agent leaves."""
        self._scheduler.refuse_waiting(refusal)


def _is_meant(message: CancelGenerate, key: _Key) -> bool:
    trainer, step, index = key
    same_step = (trainer, step) == (message.trainer, message.step)
    return same_step and message.index in (-1, index)
