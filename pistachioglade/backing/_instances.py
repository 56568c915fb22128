"""The platform's list of instances, which may be out of date."""

from __future__ import annotations

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..messages import structure
from ._http import HttpSession

_CALL_TIMEOUT_S = 2.0


@attrs.frozen
class Instance:
    """One instance in the platform's list."""

    # Instance name.
    name: str
    # Address of the link server of this system's process there; may be empty.
    link_address: str
    # Whether the platform is removing the instance.
    leaving: bool


class InstanceList:
    """A blocking client of the instance list."""

    def __init__(self, base_url: str) -> None:
        self._http = HttpSession(base_url)

    def read(self) -> tuple[Instance, ...] | Refusal:
        """Return the current list, which may be out of date."""
        reply = self._http.request("GET", "/instances", _CALL_TIMEOUT_S)
        if isinstance(reply, Refusal):
            return reply
        if reply.status != 200:
            reason = f"instance list answered {reply.status}"
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, reason)
        return structure(reply.json()["instances"], tuple[Instance, ...])
