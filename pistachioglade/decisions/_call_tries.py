"""Decides how often, and for how long, a caller's request is tried at instances.

Expected load: callers of lookups want an answer within 0.2 s and leave after 0.8 to
1.5 s, while some instances fall silent, drop answers or refuse.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from ._hashing import stable_hash

#: Retries that the first tries allow, in percent. With half of an upstream's instances
#: failing, each failed first try can be retried. An upstream that fails completely gets
#: 1.5 times as many requests, instead of ``max_attempts`` times as many.
RETRY_PERCENT: Final = 50
#: Fraction of the remaining time that a try may take while another try is allowed.
_TRY_FRACTION: Final = 0.5
#: Multiple of the route's target latency that a try may take. One instance in a hundred
#: takes five times as long as the mean, which is a fifth of the target latency.
_TRY_AIM_FACTOR: Final = 2.0
#: Number of values of a stable hash.
_HASH_SPAN: Final = 1 << 64
#: Minimum time left for another try: a connection and the mean work.
_MIN_TRY_S: Final = 0.05


@attrs.frozen
class CallPolicy:
    """Limits that a route sets for the tries of its requests."""

    # Whether a request may run more than once.
    is_idempotent: bool
    # Maximum number of instances that a request may be sent to.
    max_attempts: int
    # Target latency in seconds: until then an answer has its full value.
    aim_s: float


def try_time_s(policy: CallPolicy, attempt: int, remaining_s: float) -> float:
    """Return how long one try may take.

    The last try of a request, and the only try of a request that may run only once, get
    all the remaining time: no other try could follow a timeout, which would only lose
    the answer.
    """
    if not policy.is_idempotent or attempt >= policy.max_attempts:
        return remaining_s
    return min(
        remaining_s, max(_TRY_FRACTION * remaining_s, _TRY_AIM_FACTOR * policy.aim_s)
    )


def may_try_again(
    policy: CallPolicy, attempts: int, did_not_run: bool, remaining_s: float
) -> bool:
    """Whether a failed request may go to another instance."""
    if attempts >= policy.max_attempts or remaining_s < _MIN_TRY_S:
        return False
    return did_not_run or policy.is_idempotent


#: Fraction of the remaining time up to which callers honour Retry-After.
_HONOURED_FRACTION: Final = 1.0 / 3.0
#: Largest extension of Retry-After, as a fraction of the expected wait. Callers that
#: were refused together return spread over this time.
_SPREAD_FRACTION: Final = 0.5
#: Shortest Retry-After in seconds: the time to open a connection at another entry.
_MIN_WAIT_S: Final = 0.005


def refusal_wait_s(
    aim_s: float,
    spread_key: str = "",
    expected_s: float | None = None,
    target_left_s: float = float("inf"),
    deadline_left_s: float = float("inf"),
) -> float:
    """Return the Retry-After of a refused request, in seconds.

    ``expected_s`` is the expected time until there is room. If it is unknown, it is
    half of the latency target: the mean work of a plain service takes about a fifth of
    the target, so that each slot has become free about twice by then. The wait is
    extended by up to half of itself according to a hash of ``spread_key``, unless the
    key is empty.

    ``target_left_s`` and ``deadline_left_s`` are the times until the request would have
    to start to be answered by its latency target and by its deadline. The wait ends
    before the first of them that can still be met, and within the time that callers
    honour.
    """
    known_s = 0.5 * aim_s if expected_s is None else expected_s
    left_s = target_left_s if target_left_s > _MIN_WAIT_S else deadline_left_s
    limit_s = min(left_s, max(0.0, _HONOURED_FRACTION * deadline_left_s))
    base_s = max(_MIN_WAIT_S, min(known_s, limit_s / (1.0 + _SPREAD_FRACTION)))
    spread = stable_hash(spread_key) / _HASH_SPAN if spread_key else 0.0
    wait_s = base_s * (1.0 + _SPREAD_FRACTION * spread)
    return round(wait_s, 3) if math.isfinite(wait_s) else round(0.5 * aim_s, 3)


#: Silence of a stream after which the stream continues at another instance: longer than
#: a load of weights, and shorter than callers wait.
STREAM_SILENCE_S: Final = 1.4


def stream_silence_s(policy: CallPolicy, is_begun: bool, remaining_s: float) -> float:
    """Return how long the next event of a stream may take.

    A stream that may run only once may be silent until its caller's deadline.
    """
    if not policy.is_idempotent:
        return remaining_s
    first_s = 0.0 if is_begun else _TRY_AIM_FACTOR * policy.aim_s
    return min(remaining_s, max(STREAM_SILENCE_S, first_s))
