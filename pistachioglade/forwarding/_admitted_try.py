"""A place for one try at an instance, and the requests that wait for one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from ..decisions import WaitingRequest
from ..errors import Refusal
from ._fleet_view import InstanceHandle

if TYPE_CHECKING:
    from ._upstream_gate import UpstreamGate

#: Returns the instance for a try, among an upstream's instances without those excluded.
ChooseInstance = Callable[[str, list[str]], InstanceHandle | None]


@attrs.define(eq=False)
class AdmittedTry:
    """A place for one try at an instance; ``close`` frees it in any case."""

    # The instance.
    handle: InstanceHandle
    # The request.
    request: WaitingRequest
    # Whether the try finds out if the instance has room.
    is_probe: bool
    # Time charged to the account until the try ends, in seconds.
    charged_s: float
    # Frees the place and starts waiting requests.
    _upstream: UpstreamGate
    # Monotonic time at which the place was given, in seconds.
    _begun_s: float
    # Whether the instance's record doesn't count the try yet.
    _is_reserved: bool = True
    # Whether the place is in use.
    _is_open: bool = True

    def begin(self) -> None:
        """Record that the try is sent now, so that the instance's record counts it."""
        if self._is_reserved:
            self._is_reserved = False
            self._upstream.reserved[self.handle.id] -= 1

    def confirm(self) -> None:
        """Record that the instance has accepted the request."""
        if self.is_probe:
            self.is_probe = False
            self._upstream.probed_s.pop(self.handle.id, None)

    def end(self, is_answered: bool) -> None:
        """Free the place after the try's outcome was recorded."""
        if not self._is_open:
            return
        self._is_open = False
        self.begin()
        self.confirm()
        now_s = asyncio.get_running_loop().time()
        took_s = now_s - self._begun_s
        queue = self._upstream.queue
        queue.end(self.request, self.charged_s, took_s, is_answered, now_s)
        if is_answered:
            self._upstream.record_answer(self.handle.id, took_s)
        self._upstream.start_waiting()

    def close(self) -> None:
        """Free the place if the try was never made or has been cancelled."""
        self.end(is_answered=False)


#: The start of a waiting request, its refusal, or None if no instance is left to try.
Admitted = AdmittedTry | Refusal | None


@attrs.define(eq=False)
class Waiter:
    """A waiting request with what its start needs."""

    # The request as the queue orders it.
    request: WaitingRequest
    # Instances at which the request was tried.
    tried: list[str]
    # Chooses the instance of the next try.
    choose: ChooseInstance
    # Receives how the wait ends.
    result: asyncio.Future[Admitted]
