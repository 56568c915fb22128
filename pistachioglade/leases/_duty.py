"""A duty towards the platform: calls that one entry at a time may make."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, Final, Protocol

from ..decisions import duty_order
from ..errors import ErrorKind, Refusal
from ..links import LinkPool
from ..logs import logger
from ..messages import AskDuty, DutyAnswer
from ._lease import HolderStatus, Lease

_LINK_TIMEOUT_S: Final = 0.5


class Entries(Protocol):
    """The list of entries, as far as duties need it."""

    # Node name of this entry.
    node: str

    @property
    def names(self) -> tuple[str, ...]:
        """The node names of all listed entries."""

    @property
    def domains(self) -> Mapping[str, str]:
        """The failure domain of each listed entry."""

    def address_of_node(self, node: str) -> str:
        """Return the address of an entry; empty if it isn't listed."""


class Duty:
    """One entry's part in a duty: whether its turn has come, and its lease."""

    def __init__(
        self, name: str, entries: Entries, links: LinkPool, lease: Lease
    ) -> None:
        # Name of the duty.
        self.name = name
        self._entries = entries
        self._links = links
        self._lease = lease
        lease.ask_holder = self.ask_holder
        self._log = logger(__name__)
        # Entry that performed the duty last; empty if unknown.
        self.last_holder = ""
        # Whether this entry has the lease, or may still have it after a lost answer.
        self.is_holder = False
        # Monotonic time until which this entry leaves the duty to others, in seconds.
        self._resting_until_s = float("-inf")
        # Monotonic time of the last call to the platform, or of the start, in seconds.
        self._last_call_s = self._now_s()

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def payload(self) -> Any:
        """Data that the holders keep with the lease."""
        return self._lease.payload

    @payload.setter
    def payload(self, value: Any) -> None:
        self._lease.payload = value

    @property
    def is_resting(self) -> bool:
        """Whether this entry leaves the duty to others."""
        return self._now_s() < self._resting_until_s

    @property
    def order(self) -> Sequence[str]:
        """The entries that may perform the duty, in the order of their turns."""
        resting = {self._entries.node} if self.is_resting else ()
        return duty_order(self.name, self._entries.names, self.last_holder, resting)

    @property
    def rank(self) -> int | None:
        """Turn of this entry; None if the duty is left to others.

        The holder of the lease is first, since the others wait for it.
        """
        if self.is_holder:
            return 0
        order = self.order
        return order.index(self._entries.node) if self._entries.node in order else None

    async def is_turn(self) -> bool:
        """Whether all entries before this one are lost or leave the duty to others."""
        rank = self.rank
        if not rank:
            return rank == 0
        statuses = [await self._ask(name) for name in self.order[:rank]]
        return all(item is None or item.idle_s is not None for item in statuses)

    async def acquire(self) -> Refusal | None:
        """Acquire the lease; return why it can't be acquired, else None."""
        refusal = await self._lease.acquire()
        if refusal is None:
            self.is_holder = True
        elif refusal.kind is ErrorKind.CONFLICT:
            self.is_holder = False
        return refusal

    async def obtain_token(self, rest_s: float) -> int | Refusal:
        """Return the fencing token for a call, which must be made at once.

        The payload is written with the lease. An entry whose lease was taken rests.
        """
        token = await self._lease.confirm()
        if not isinstance(token, Refusal):
            self._last_call_s = self._now_s()
        elif token.kind is ErrorKind.CONFLICT:
            self.rest(rest_s)
        return token

    def mark_lost(self, rest_s: float) -> None:
        """Record that the platform has seen a higher fencing token."""
        self._lease.mark_lost()
        self.rest(rest_s)

    def rest(self, duration_s: float) -> None:
        """Leave the duty to others for a while.

        An entry that has just lost the lease may be cut off from the new holder, and
        would take the lease back while the new holder waits for its first call.
        """
        self._resting_until_s = self._now_s() + duration_s
        self.is_holder = False

    async def leave(self, duration_s: float) -> None:
        """Release the lease and leave the duty to others for a while."""
        self.rest(duration_s)
        await self._lease.release()

    def answer(self) -> DutyAnswer:
        """Answer an entry that would take the duty over."""
        idle_s = self._now_s() - self._last_call_s if self.is_resting else None
        return DutyAnswer(self.is_holder and not self.is_resting, idle_s)

    async def ask_holder(self, node: str) -> HolderStatus:
        """Ask another entry whether it performs the duty."""
        answer = await self._ask(node)
        if answer is None:
            return HolderStatus(is_active=False)
        return HolderStatus(answer.is_active, answer.idle_s)

    async def _ask(self, node: str) -> DutyAnswer | None:
        """Return an entry's answer; None if it can't be reached."""
        address = self._entries.address_of_node(node)
        if not address:
            return None
        answer = await self._links.call(address, AskDuty(self.name), _LINK_TIMEOUT_S)
        return answer if isinstance(answer, DutyAnswer) else None
