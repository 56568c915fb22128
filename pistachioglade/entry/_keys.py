"""The text form of a ticket's idempotency keys, as sent to callers."""

from __future__ import annotations

from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..messages import Ticket

_SEPARATOR: Final = "~"


@attrs.frozen
class BoundKey:
    """An idempotency key that is bound to one agent incarnation by its ticket."""

    # Ticket to which the key belongs.
    ticket: Ticket
    # Index of the key within the ticket.
    index: int


def format_key(ticket: Ticket, index: int) -> str:
    """Return the text of a key for the header Idempotency-Key."""
    fields = (
        ticket.agent,
        f"{ticket.incarnation:x}",
        str(ticket.number),
        str(ticket.count),
        str(index),
    )
    return _SEPARATOR.join(fields)


def parse_key(text: str) -> BoundKey | Refusal:
    """Return the key whose text form is ``text``."""
    fields = text.split(_SEPARATOR)
    try:
        agent, incarnation, number, count, index = fields
        ticket = Ticket(agent, int(incarnation, 16), int(number), int(count))
        return BoundKey(ticket, int(index))
    except ValueError:
        reason = "Idempotency-Key is not a key of a ticket; open one at /v1/tickets"
        return refuse(ErrorKind.BAD_REQUEST, reason)
