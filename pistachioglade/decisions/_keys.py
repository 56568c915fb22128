"""At-most-once execution without a store: keys are bound to one agent incarnation.

A caller opens a ticket, a numbered range of keys. Only the incarnation that issued the
ticket can run its keys, so a key needs no lease and no consensus: after that process
has ended, no process may run the key. A refused key is spent: a delayed copy of the
request can't run after its caller has received the answer that the request did not run.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..messages import CallAnswer, Ticket

#: Maximum number of keys in one ticket.
MAX_TICKET_KEYS: Final = 4096
#: Maximum number of tickets that are kept. The oldest idle tickets are dropped; their
#: numbers are never reused.
MAX_TICKETS: Final = 20_000
#: Maximum number of answers that are kept for repeated requests.
MAX_KEPT_ANSWERS: Final = 5_000


@attrs.frozen
class Run:
    """The key is unused: the caller of the gate has to run the request now."""


@attrs.frozen
class Attach:
    """The key's request is running: wait for the answer of the first attempt."""


@attrs.frozen
class Replay:
    """The key's request has run: return its kept answer."""

    # Kept answer, marked as replayed.
    answer: CallAnswer


@attrs.define
class _TicketState:
    # Caller that opened the ticket.
    caller: str
    # Upstream that the keys are for.
    upstream: str
    # Number of keys in the ticket.
    count: int
    # Keys whose requests are running.
    running: set[int] = attrs.field(factory=set)
    # Keys whose requests ran, also those whose answers have been dropped.
    ran: set[int] = attrs.field(factory=set)
    # Refusals of the keys whose requests were refused or have an unknown outcome.
    closed: dict[int, Refusal] = attrs.field(factory=dict)


class KeyGate:
    """Admits each key of one agent incarnation at most once."""

    def __init__(self, agent: str, incarnation: int) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._next_number = 0
        self._tickets: OrderedDict[int, _TicketState] = OrderedDict()
        self._answers: OrderedDict[tuple[int, int], CallAnswer] = OrderedDict()

    def open_ticket(self, caller: str, upstream: str, count: int) -> Ticket | Refusal:
        """Bind a new range of keys to this incarnation."""
        if not 1 <= count <= MAX_TICKET_KEYS:
            reason = f"a ticket has 1 to {MAX_TICKET_KEYS} keys"
            return refuse(ErrorKind.BAD_REQUEST, reason)
        number = self._next_number
        self._next_number += 1
        self._tickets[number] = _TicketState(caller, upstream, count)
        if len(self._tickets) > MAX_TICKETS:
            self._drop_oldest_idle()
        return Ticket(self._agent, self._incarnation, number, count)

    def _drop_oldest_idle(self) -> None:
        oldest = next(
            number for number, state in self._tickets.items() if not state.running
        )
        del self._tickets[oldest]

    def admit(
        self, ticket: Ticket, key: int, caller: str, upstream: str
    ) -> Run | Attach | Replay | Refusal:
        """Return what to do with a request that carries ``key``."""
        if (ticket.agent, ticket.incarnation) != (self._agent, self._incarnation):
            reason = "the process that was bound to this key is gone"
            return refuse(ErrorKind.KEY_HOLDER_GONE, reason)
        state = self._tickets.get(ticket.number)
        if state is None:
            return refuse(ErrorKind.KEY_HOLDER_GONE, "the ticket is no longer kept")
        if state.caller != caller:
            return refuse(ErrorKind.FORBIDDEN, "the ticket belongs to another caller")
        if state.upstream != upstream:
            reason = f"the ticket is for upstream {state.upstream!r}"
            return refuse(ErrorKind.BAD_REQUEST, reason)
        if not 0 <= key < state.count:
            return refuse(ErrorKind.BAD_REQUEST, f"the ticket has no key {key}")
        return self._admit_key(state, ticket.number, key)

    def _admit_key(
        self, state: _TicketState, number: int, key: int
    ) -> Run | Attach | Replay | Refusal:
        if key in state.running:
            return Attach()
        if key in state.closed:
            return state.closed[key]
        if key not in state.ran:
            state.running.add(key)
            return Run()
        answer = self._answers.get((number, key))
        if answer is None:
            reason = "the request ran; its answer is no longer kept"
            return refuse(ErrorKind.ANSWER_DROPPED, reason)
        return Replay(attrs.evolve(answer, replayed=True))

    def finish(self, number: int, key: int, result: CallAnswer | Refusal) -> None:
        """Record the outcome of a key that was admitted as :class:`Run`."""
        state = self._tickets[number]
        state.running.discard(key)
        if isinstance(result, Refusal):
            state.closed[key] = _repeat_refusal(result)
            return
        state.ran.add(key)
        self._answers[number, key] = result
        if len(self._answers) > MAX_KEPT_ANSWERS:
            self._answers.popitem(last=False)


def _repeat_refusal(refusal: Refusal) -> Refusal:
    """Return the refusal for a repeated request with a closed key."""
    if not refusal.did_not_run:
        return refusal
    reason = f"this key was refused before: {refusal.reason}; take the next key"
    return refuse(ErrorKind.KEY_SPENT, reason)
