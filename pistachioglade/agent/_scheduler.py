"""Assigns the agent's slots: calls first, then rollouts by trainer shares."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Mapping

import attrs

from ..blackboard import Blackboard
from ..config import ServiceConfig, Upstream
from ..controllers import CONFIG, NEWEST
from ..decisions import FairQueue
from ..errors import ErrorKind, Refusal, refuse
from ._facts import INSTANCES
from ._slots import SlotTable


@attrs.frozen(eq=False)
class WaitingCall:
    """A call that waits for a slot."""

    # Monotonic time at which the caller stops waiting, in seconds.
    deadline_s: float
    # Resolved with the instance's name or a refusal.
    slot: asyncio.Future[str | Refusal]


@attrs.frozen(eq=False)
class WaitingRollout:
    """A rollout that waits for a slot."""

    # Trainer that requested the rollout.
    trainer: str
    # Model that generates the rollout.
    model: str
    # Returns the oldest weight version that the rollout may start with now.
    min_version: Callable[[], int]
    # Resolved with the instance's name or a refusal.
    slot: asyncio.Future[str | Refusal]


class Scheduler:
    """The queues of calls and rollouts that wait for slots."""

    def __init__(self, upstream: str, board: Blackboard, slots: SlotTable) -> None:
        self._upstream = upstream
        self._board = board
        self._slots = slots
        self._calls: deque[WaitingCall] = deque()
        self.rollouts: FairQueue[WaitingRollout] = FairQueue({})
        self._fifo_rollouts: deque[WaitingRollout] = deque()
        self._preempt: Callable[[], None] = lambda: None
        board.follow(INSTANCES, lambda _value: self.assign_slots())
        board.follow(CONFIG, lambda _value: self.assign_slots())
        board.follow(NEWEST, lambda _value: self.assign_slots())

    def set_preemption(self, preempt: Callable[[], None]) -> None:
        """Set the function that frees a slot for a call that finds none."""
        self._preempt = preempt

    @property
    def config(self) -> ServiceConfig:
        """The configuration in force."""
        return self._board.read(CONFIG) or ServiceConfig()

    @property
    def limits(self) -> Upstream | None:
        """The declaration of this agent's upstream."""
        return self.config.upstream(self._upstream)

    @property
    def is_fair(self) -> bool:
        """Whether the fair policy is in force instead of the baseline policy."""
        return self.config.policy.name == "fair"

    def queued(self) -> tuple[int, int]:
        """Return how many calls and rollouts wait."""
        return len(self._calls), len(self.rollouts) + len(self._fifo_rollouts)

    def _usable(self) -> list[str]:
        return [
            view.name
            for view in self._board.read(INSTANCES).values()
            if view.healthy and not view.leaving
        ]

    async def wait_for_call_slot(self, budget_s: float) -> str | Refusal:
        """Wait for a call's slot; a refusal means that the call did not run."""
        limits = self.limits
        if limits is None:
            return refuse(ErrorKind.NO_UPSTREAM, "the upstream is not declared")
        if not self._usable():
            return _no_instance()
        if len(self._calls) >= limits.max_queued_calls:
            return refuse(ErrorKind.OVERLOADED, "the agent's queue of calls is full")
        waiting = WaitingCall(time.monotonic() + budget_s, _future())
        self._calls.append(waiting)
        self.assign_slots()
        if self.is_fair and not waiting.slot.done():
            self._preempt()
        try:
            async with asyncio.timeout(budget_s):
                return await asyncio.shield(waiting.slot)
        except TimeoutError:
            return self._end_wait(waiting)

    def _end_wait(self, waiting: WaitingCall) -> str | Refusal:
        if waiting.slot.done():
            return waiting.slot.result()
        self._calls.remove(waiting)
        reason = "no slot came free before the deadline"
        return refuse(ErrorKind.DEADLINE_UNREACHABLE, reason)

    def release_call(self, instance: str) -> None:
        """Free a call's slot."""
        self._slots.release_call(instance)
        self.assign_slots()

    def requeue_rollout(self, waiting: WaitingRollout) -> None:
        """Queue a rollout that a call preempted at the front of the queue."""
        self.rollouts.push_front(waiting.trainer, waiting)
        self.assign_slots()

    def add_rollout(self, waiting: WaitingRollout) -> Refusal | None:
        """Queue a rollout; return a refusal if it can't be queued."""
        limits = self.limits
        if limits is None:
            return refuse(ErrorKind.NO_UPSTREAM, "the upstream is not declared")
        if not self._usable():
            return _no_instance()
        if self.queued()[1] >= limits.max_queued_rollouts:
            return refuse(ErrorKind.OVERLOADED, "the agent's queue of rollouts is full")
        if self.is_fair:
            self.rollouts.push(waiting.trainer, waiting)
        else:
            self._fifo_rollouts.append(waiting)
        self.assign_slots()
        return None

    def release_rollout(self, instance: str, trainer: str, tokens: int) -> None:
        """Free a rollout's slot and charge its tokens to the trainer."""
        self._slots.release_rollout(instance)
        self.rollouts.record_finished(trainer, tokens)
        self.assign_slots()

    def withdraw(self, waiting: WaitingRollout, refusal: Refusal) -> None:
        """Remove a rollout from the queue and refuse it, if it still waits."""
        self.rollouts.remove_if(lambda item: item is waiting)
        if waiting in self._fifo_rollouts:
            self._fifo_rollouts.remove(waiting)
        if not waiting.slot.done():
            waiting.slot.set_result(refusal)

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse every rollout that still waits."""
        waiting = (*self.rollouts.remove_if(lambda _item: True), *self._fifo_rollouts)
        self._fifo_rollouts.clear()
        for item in waiting:
            item.slot.set_result(refusal)

    def _refuse_all(self, refusal: Refusal) -> None:
        """Refuse all waiting requests: no instance here can run them, others may."""
        while self._calls:
            self._calls.popleft().slot.set_result(refusal)
        self.refuse_waiting(refusal)

    def assign_slots(self) -> None:
        """Assign free slots to waiting calls and rollouts."""
        limits = self.limits
        if limits is not None:
            self._slots.reserved = limits.reserved_slots if self.is_fair else 0
        self.rollouts.set_shares(_shares(self.config, self._upstream))
        if not self._usable():
            self._refuse_all(_no_instance())
            return
        self._assign_calls()
        if self.is_fair:
            self._assign_fair()
        else:
            self._assign_fifo()

    def _assign_calls(self) -> None:
        now_s = time.monotonic()
        while self._calls:
            if self._calls[0].deadline_s <= now_s:
                late = self._calls.popleft()
                late.slot.set_result(
                    refuse(ErrorKind.DEADLINE_UNREACHABLE, "its deadline has passed")
                )
                continue
            name = self._slots.occupy_call_slot(self._usable())
            if name is None:
                return
            self._calls.popleft().slot.set_result(name)

    def _assign_fair(self) -> None:
        while self._start_fair():
            pass

    def _start_fair(self) -> bool:
        """Start one rollout; skip trainers for which no instance is fresh enough."""
        for trainer in self.rollouts.backlogged():
            waiting = self.rollouts.peek(trainer)
            name = self._slots.occupy_rollout_slot(self._fresh_instances(waiting))
            if name is not None:
                self.rollouts.pop(trainer).slot.set_result(name)
                return True
        return False

    def _assign_fifo(self) -> None:
        while self._fifo_rollouts:
            name = self._slots.occupy_rollout_slot(self._usable())
            if name is None:
                return
            waiting = self._fifo_rollouts.popleft()
            self.rollouts.record_started(waiting.trainer)
            waiting.slot.set_result(name)

    def _fresh_instances(self, waiting: WaitingRollout) -> list[str]:
        views = self._board.read(INSTANCES)
        oldest = waiting.min_version()
        return [
            name
            for name in self._usable()
            if views[name].versions.get(waiting.model, 0) >= oldest
        ]


def _no_instance() -> Refusal:
    return refuse(ErrorKind.NO_UPSTREAM, "no instance of this agent takes work")


def _future() -> asyncio.Future[str | Refusal]:
    return asyncio.get_running_loop().create_future()


def _shares(config: ServiceConfig, upstream: str) -> Mapping[str, int]:
    return {
        trainer.name: trainer.share_percent
        for trainer in config.trainers
        if upstream in trainer.upstreams
    }
