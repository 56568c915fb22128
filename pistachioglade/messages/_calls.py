"""Messages of calls: lookups and other requests with one answer."""

from __future__ import annotations

import attrs


@attrs.frozen
class Ticket:
    """A numbered run of keys that one agent incarnation alone may execute."""

    # Node id of the agent that is bound to the keys.
    agent: str
    # Boot nonce of that agent.
    incarnation: int
    # Number of the ticket within the incarnation.
    number: int
    # How many keys the ticket has, counted from 0.
    count: int


@attrs.frozen
class OpenTicket:
    """Ask an agent for a :class:`Ticket`."""

    # Name of the caller, as the configuration declares it.
    caller: str
    # Upstream that the keys are for.
    upstream: str
    # How many keys are asked for.
    count: int


@attrs.frozen
class RunCall:
    """Run one request at an upstream and return the whole answer."""

    # Unique id of the request at the entry.
    request_id: str
    # Name of the caller, as the configuration declares it.
    caller: str
    # Upstream to run it at.
    upstream: str
    # Operation of the upstream; "completion" for model engines.
    operation: str
    # JSON body, unread.
    payload: bytes
    # Whether running it twice is harmless.
    idempotent: bool
    # Time left until the caller gives up, when the frame was sent.
    budget_s: float
    # Ticket that binds the request; None for a request without a key.
    ticket: Ticket | None = None
    # Place of the request's key within the ticket.
    key_index: int = 0
    # W3C trace context.
    traceparent: str = ""


@attrs.frozen
class CallAnswer:
    """The whole answer of an upstream to one :class:`RunCall`."""

    # Id of the request that this answers.
    request_id: str
    # HTTP status code that the upstream gave.
    status: int
    # JSON body, whole.
    body: bytes
    # Node id of the agent that ran it.
    agent: str
    # Time that the request waited at the agent before its first byte went out.
    queued_s: float
    # Time that the upstream took.
    upstream_s: float
    # Whether the answer was kept from an earlier try of the same key.
    replayed: bool = False
