"""Messages for calls: lookups and other requests with a single answer."""

from __future__ import annotations

import attrs


@attrs.frozen
class Ticket:
    """A range of idempotency keys that only one incarnation of an agent may execute."""

    # Node id of the agent to which the keys are bound.
    agent: str
    # Boot nonce of that agent.
    incarnation: int
    # Serial number of the ticket within the incarnation.
    number: int
    # Number of keys; their indices count from 0.
    count: int


@attrs.frozen
class OpenTicket:
    """Ask an agent for a :class:`Ticket`."""

    # Name of the caller, as the configuration declares it.
    caller: str
    # Name of the upstream for whose requests the keys are.
    upstream: str
    # Number of requested keys.
    count: int


@attrs.frozen
class RunCall:
    """Run one request at an upstream and return the complete answer."""

    # Unique id of the request at the entry.
    request_id: str
    # Name of the caller, as the configuration declares it.
    caller: str
    # Name of the upstream that runs the request.
    upstream: str
    # Operation of the upstream; "completion" for model engines.
    operation: str
    # JSON body, passed on without being parsed.
    payload: bytes
    # Whether the operation is idempotent.
    idempotent: bool
    # Time until the caller's deadline when the frame was sent, in seconds.
    budget_s: float
    # Ticket that contains the request's key; None for a request without a key.
    ticket: Ticket | None = None
    # Index of the request's key within the ticket.
    key_index: int = 0
    # W3C trace context.
    traceparent: str = ""


@attrs.frozen
class CallAnswer:
    """The complete answer of an upstream to one :class:`RunCall`."""

    # Id of the answered request.
    request_id: str
    # HTTP status code that the upstream gave.
    status: int
    # Complete JSON body.
    body: bytes
    # Node id of the agent that ran the request.
    agent: str
    # Time in the agent's queue before the first byte was sent, in seconds.
    queued_s: float
    # Time that the upstream took, in seconds.
    upstream_s: float
    # Whether this is the stored answer to an earlier attempt with the same key.
    replayed: bool = False
