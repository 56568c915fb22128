"""At most once, without a store: keys are bound to one agent incarnation.

A caller opens a ticket, a numbered run of keys. Only the incarnation that gave
the ticket can run its keys, so a key needs no lease and no agreement: when that
process is gone, so is every right to run the key. A key that was refused is
spent: a late copy of the request can't run after its caller was told that it
did not.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..messages import CallAnswer, Ticket

#: Most keys in one ticket.
MAX_TICKET_KEYS: Final = 4096
#: Most tickets that are remembered; the oldest are dropped, never reused.
MAX_TICKETS: Final = 20_000
#: Most answers that are kept for a repeated request.
MAX_KEPT_ANSWERS: Final = 5_000


@attrs.frozen
class Run:
    """The key is fresh; the caller of the gate has to run the request now."""


@attrs.frozen
class Attach:
    """The key is running; wait for the answer of the first try."""


@attrs.frozen
class Replay:
    """The key has run; this is its answer."""

    # The answer that was kept.
    answer: CallAnswer


@attrs.define
class _TicketState:
    # Who opened the ticket.
    caller: str
    # Upstream that the keys are for.
    upstream: str
    # How many keys it has.
    count: int
    # Keys that are running.
    running: set[int] = attrs.field(factory=set)
    # Keys that ran, whether or not their answers are still kept.
    ran: set[int] = attrs.field(factory=set)
    # Keys that were refused or lost, with what the caller was told.
    closed: dict[int, Refusal] = attrs.field(factory=dict)


class KeyGate:
    """The keys of one agent incarnation."""

    def __init__(self, agent: str, incarnation: int) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._next_number = 0
        self._tickets: OrderedDict[int, _TicketState] = OrderedDict()
        self._answers: OrderedDict[tuple[int, int], CallAnswer] = OrderedDict()

    def open_ticket(self, caller: str, upstream: str, count: int) -> Ticket | Refusal:
        """Bind a new run of keys to this incarnation."""
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
        """Decide what becomes of a request that carries ``key``."""
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
        """Record the outcome of a key that was admitted with :class:`Run`."""
        state = self._tickets[number]
        state.running.discard(key)
        if isinstance(result, Refusal):
            state.closed[key] = _closing(result)
            return
        state.ran.add(key)
        self._answers[number, key] = result
        if len(self._answers) > MAX_KEPT_ANSWERS:
            self._answers.popitem(last=False)


def _closing(refusal: Refusal) -> Refusal:
    """Return what a repeated request with a closed key is told."""
    if not refusal.did_not_run:
        return refusal
    reason = f"this key was refused before: {refusal.reason}; take the next key"
    return refuse(ErrorKind.KEY_SPENT, reason)
