"""Routes trainers' requests to the owners of their steps."""

from __future__ import annotations

import asyncio
import time
from typing import Final

import attrs

from ..config import Trainer
from ..controllers import MEMBERS, Node, usable_agents
from ..decisions import rendezvous_order
from ..errors import ErrorKind, Refusal, refuse
from ..messages import FetchSamples, OpenStep, OwnerIs, SampleBatch, StepOpened

_RETRY_PAUSE_S: Final = 0.15
_OPEN_TIMEOUT_S: Final = 8.0
_ANSWER_MARGIN_S: Final = 5.0

StepMessage = OpenStep | FetchSamples

#: Refusals after which another node may be the owner.
_TRY_ANOTHER_NODE: Final = frozenset(
    {
        ErrorKind.LINK_LOST,
        ErrorKind.LINK_NOT_OPEN,
        ErrorKind.LINK_REFUSED,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.LEAVING,
        ErrorKind.NO_CONFIG,
    }
)


class StepRouter:
    """Finds the owner of each trainer's steps; each entry can serve all trainers."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._owners: dict[str, str] = {}
        self._unreachable: dict[str, str] = {}

    async def send(
        self, trainer: Trainer, message: StepMessage, budget_s: float
    ) -> StepOpened | SampleBatch | Refusal:
        """Send a message to the owner, with retries; both kinds are idempotent."""
        deadline_s = time.monotonic() + budget_s
        tried: set[str] = set()
        last = refuse(ErrorKind.NO_UPSTREAM, "no agent of the trainer is known")
        while time.monotonic() < deadline_s:
            owner = self._owners.get(trainer.name) or self._choose_candidate(
                trainer, tried
            )
            if owner is None:
                if not tried:
                    return last
                tried.clear()
                await asyncio.sleep(_RETRY_PAUSE_S)
                continue
            answer = await self._ask(
                owner, self._add_unreachable_owner(trainer, message)
            )
            if isinstance(answer, StepOpened | SampleBatch):
                self._owners[trainer.name] = owner
                self._unreachable.pop(trainer.name, None)
                return answer
            last = await self._record_owner(trainer, owner, answer, tried)
            if (
                last.kind not in _TRY_ANOTHER_NODE
                and last.kind is not ErrorKind.NOT_OWNER
            ):
                return last
        return last

    def _add_unreachable_owner(
        self, trainer: Trainer, message: StepMessage
    ) -> StepMessage:
        """Add the owner that can't be reached, so that another node may take over."""
        unreachable = self._unreachable.get(trainer.name)
        if unreachable is None or isinstance(message, FetchSamples):
            return message
        return attrs.evolve(message, unreachable_owner=unreachable)

    def _choose_candidate(self, trainer: Trainer, tried: set[str]) -> str | None:
        agents = {
            record.node
            for upstream in trainer.upstreams
            for record in usable_agents(self._node.board, upstream)
        }
        return next(iter(rendezvous_order(trainer.name, agents - tried)), None)

    async def _ask(
        self, owner: str, message: StepMessage
    ) -> StepOpened | SampleBatch | OwnerIs | Refusal:
        record = self._node.board.read(MEMBERS).get(owner)
        if record is None:
            return refuse(ErrorKind.LINK_NOT_OPEN, f"{owner} is not known")
        timeout_s = _OPEN_TIMEOUT_S
        if isinstance(message, FetchSamples):
            timeout_s = message.wait_s + _ANSWER_MARGIN_S
        answer = await self._node.pool.call(record.address, message, timeout_s)
        if isinstance(answer, StepOpened | SampleBatch | OwnerIs | Refusal):
            return answer
        return refuse(ErrorKind.INTERNAL, f"unexpected {type(answer).__name__}")

    async def _record_owner(
        self,
        trainer: Trainer,
        owner: str,
        answer: OwnerIs | Refusal,
        tried: set[str],
    ) -> Refusal:
        """Record the owner that an answer names or rules out; return a refusal."""
        if isinstance(answer, OwnerIs):
            self._owners[trainer.name] = answer.owner
            reason = f"{answer.owner} has the lease on the steps of {trainer.name}"
            if answer.owner in tried:
                self._unreachable[trainer.name] = answer.owner
                self._owners.pop(trainer.name, None)
                await asyncio.sleep(_RETRY_PAUSE_S)
            return refuse(ErrorKind.NOT_OWNER, reason)
        if answer.kind in _TRY_ANOTHER_NODE:
            self._unreachable[trainer.name] = owner
            self._owners.pop(trainer.name, None)
            tried.add(owner)
        return answer
