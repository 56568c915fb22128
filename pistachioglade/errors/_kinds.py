"""The closed list of error kinds and the table from kind to answer."""

from __future__ import annotations

from enum import Enum
from types import MappingProxyType

import attrs


class Execution(Enum):
    """What is known about whether a request ran at its upstream."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorKind(Enum):
    """The kinds of failure of a request; the list is closed."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    TOO_LARGE = "too-large"
    QUARANTINED = "quarantined"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    NO_UPSTREAM = "no-upstream"
    NO_CONFIG = "no-config"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    TOO_STALE = "too-stale"
    FENCED = "fenced"
    KEY_SPENT = "key-spent"
    KEY_HOLDER_GONE = "key-holder-gone"
    ANSWER_DROPPED = "answer-dropped"
    UNKNOWN_STEP = "unknown-step"
    NOT_OWNER = "not-owner"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    PLATFORM_UNCERTAIN = "platform-uncertain"
    HISTORY_GONE = "history-gone"
    UNREADABLE = "unreadable"
    UPSTREAM_REJECTED = "upstream-rejected"
    UPSTREAM_LOST = "upstream-lost"
    CONNECTION_LOST = "connection-lost"
    ANSWER_TRUNCATED = "answer-truncated"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    CANCELLED = "cancelled"
    LINK_NOT_OPEN = "link-not-open"
    LINK_REFUSED = "link-refused"
    LINK_LOST = "link-lost"
    INTERNAL = "internal"


@attrs.frozen
class Answer:
    """The answer that a caller gets for an :class:`ErrorKind`."""

    # HTTP status code of the answer.
    status: int
    # Whether a request that fails with this kind ran at its upstream.
    execution: Execution
    # Default time after which a caller may retry, in seconds; None for never.
    retry_after_s: float | None


_NOT_RUN = Execution.NOT_RUN
_UNKNOWN = Execution.UNKNOWN

#: Answer of each error kind.
ANSWERS = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, None),
        ErrorKind.UNAUTHENTICATED: Answer(401, _NOT_RUN, None),
        ErrorKind.FORBIDDEN: Answer(403, _NOT_RUN, None),
        ErrorKind.NOT_FOUND: Answer(404, _NOT_RUN, None),
        ErrorKind.CONFLICT: Answer(409, _NOT_RUN, None),
        ErrorKind.TOO_LARGE: Answer(413, _NOT_RUN, None),
        ErrorKind.QUARANTINED: Answer(503, _NOT_RUN, 30.0),
        ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, 1.0),
        ErrorKind.LEAVING: Answer(503, _NOT_RUN, 0.2),
        ErrorKind.NO_UPSTREAM: Answer(503, _NOT_RUN, 2.0),
        ErrorKind.NO_CONFIG: Answer(503, _NOT_RUN, 2.0),
        ErrorKind.DEADLINE_UNREACHABLE: Answer(503, _NOT_RUN, 1.0),
        ErrorKind.TOO_STALE: Answer(503, _NOT_RUN, 1.0),
        ErrorKind.FENCED: Answer(409, _NOT_RUN, None),
        ErrorKind.KEY_SPENT: Answer(409, _NOT_RUN, None),
        ErrorKind.KEY_HOLDER_GONE: Answer(502, _UNKNOWN, None),
        ErrorKind.ANSWER_DROPPED: Answer(410, Execution.RAN, None),
        ErrorKind.UNKNOWN_STEP: Answer(404, _NOT_RUN, 0.1),
        ErrorKind.NOT_OWNER: Answer(421, _NOT_RUN, 0.1),
        ErrorKind.PLATFORM_UNAVAILABLE: Answer(503, _NOT_RUN, 5.0),
        ErrorKind.PLATFORM_UNCERTAIN: Answer(503, _UNKNOWN, 5.0),
        ErrorKind.HISTORY_GONE: Answer(503, _NOT_RUN, 1.0),
        ErrorKind.UNREADABLE: Answer(503, _NOT_RUN, 1.0),
        ErrorKind.UPSTREAM_REJECTED: Answer(502, Execution.RAN, None),
        ErrorKind.UPSTREAM_LOST: Answer(502, _UNKNOWN, 1.0),
        ErrorKind.CONNECTION_LOST: Answer(502, _UNKNOWN, 1.0),
        ErrorKind.ANSWER_TRUNCATED: Answer(502, _UNKNOWN, 1.0),
        ErrorKind.DEADLINE_EXCEEDED: Answer(504, _UNKNOWN, 1.0),
        ErrorKind.CANCELLED: Answer(499, _UNKNOWN, None),
        ErrorKind.LINK_NOT_OPEN: Answer(503, _NOT_RUN, 1.0),
        ErrorKind.LINK_REFUSED: Answer(503, _NOT_RUN, 1.0),
        ErrorKind.LINK_LOST: Answer(502, _UNKNOWN, 1.0),
        ErrorKind.INTERNAL: Answer(500, _UNKNOWN, 1.0),
    }
)
