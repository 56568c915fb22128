"""How often and for how long a caller's request is tried at instances.

The load it answers: lookups that want an answer in 0.2 s and leave after 0.8 to 1.5 s,
on instances of which some fall silent, drop answers or refuse.
"""

from __future__ import annotations

from typing import Final

import attrs

#: Retries that first tries pay for, in percent: with half of an upstream's instances
#: failing each first try has its retry; an upstream that fails as a whole gets half
#: as many requests again, instead of as many times more as ``max_attempts`` says.
RETRY_PERCENT: Final = 50
#: Part of the time left that a try may take while another is still allowed.
_TRY_PART: Final = 0.5
#: Times the route's aim that a try may take: one instance in a hundred works five
#: times as long as the mean, which lies at a fifth of the aim.
_TRY_AIMS: Final = 2.0
#: Least time that must be left for another try: a connection and the mean work.
_LEAST_TRY_S: Final = 0.05


@attrs.frozen
class CallPolicy:
    """What a route allows."""

    # Whether a request may run more than once.
    is_idempotent: bool
    # Most instances that it may be sent to.
    max_attempts: int
    # Time within which the answer has its full value.
    aim_s: float


def try_time_s(policy: CallPolicy, attempt: int, remaining_s: float) -> float:
    """Return how long one try may take.

    A request that runs once only gets all the time that is left: giving it up would
    lose its answer and gain nothing.
    """
    if not policy.is_idempotent or attempt >= policy.max_attempts:
        return remaining_s
    return min(remaining_s, max(_TRY_PART * remaining_s, _TRY_AIMS * policy.aim_s))


def may_try_again(
    policy: CallPolicy, attempts: int, did_not_run: bool, remaining_s: float
) -> bool:
    """Whether a failed request may go to another instance."""
    if attempts >= policy.max_attempts or remaining_s < _LEAST_TRY_S:
        return False
    return did_not_run or policy.is_idempotent


def refusal_wait_s(aim_s: float) -> float:
    """Return when a refused caller should come back.

    Places at a plain service come free with each request that ends, at mean work of
    about a fifth of the aim; half an aim later the instances have turned over twice.
    """
    return round(0.5 * aim_s, 3)


#: Silence of a stream after which it goes on elsewhere: longer than a load of weights,
#: and before callers leave.
STREAM_SILENCE_S: Final = 1.4


def stream_silence_s(policy: CallPolicy, is_begun: bool, remaining_s: float) -> float:
    """Return how long the next event of a stream may take.

    A stream that may run once only waits as long as its caller does.
    """
    if not policy.is_idempotent:
        return remaining_s
    first_s = 0.0 if is_begun else _TRY_AIMS * policy.aim_s
    return min(remaining_s, max(STREAM_SILENCE_S, first_s))
