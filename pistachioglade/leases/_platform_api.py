"""Makes the calls of duties to the platform's API."""

from __future__ import annotations

from typing import Final

from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Pool, Response
from ..platform import DutyCall, refusal_of_duty

_TIMEOUT_S: Final = 1.0


class PlatformApi:
    """The platform's API at one address."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._host_field = ("Host", f"{pool.host}:{pool.port}")

    async def make(self, call: DutyCall) -> Refusal | None:
        """Make one call, without retry; return why it was not accepted, or None."""
        answer: Response | Refusal
        try:
            answer = await self._pool.request(
                "POST",
                call.path,
                (self._host_field, *call.fields),
                call.body,
                _TIMEOUT_S,
            )
        except TimeoutError:
            reason = f"no answer in {_TIMEOUT_S:.2f} s"
            answer = refuse(ErrorKind.UPSTREAM_LOST, reason)
        return refusal_of_duty(answer)
