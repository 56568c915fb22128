"""A caller's request on its way to an instance."""

from __future__ import annotations

import attrs

from ..decisions import usable_priority
from ..fleet import Route
from ..http1 import Request


@attrs.frozen
class ForwardedCall:
    """A request to an upstream, with its route and deadline."""

    # The caller's request.
    request: Request
    # Attempt id that the caller has given to the request.
    request_id: str
    # Route of the request.
    route: Route
    # Deadline of the answer, in seconds of the monotonic clock.
    deadline_s: float
    # Number of answers with status 500 after which no further try is made; None if
    # only the route's number of tries counts.
    max_failures: int | None = None
    # Name of the account that the request belongs to; empty without one.
    account: str = ""
    # Priority of that account; None to use the route's.
    account_priority: int | None = None
    # Whether the request belongs to an item of a job, which is owed its answer.
    is_owed: bool = False

    @property
    def priority(self) -> int:
        """Priority of the request, from 0 (highest) to 9."""
        return usable_priority(self.account_priority, self.route.priority)
