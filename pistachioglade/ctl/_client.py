"""The administration API, as the command line uses it."""

from __future__ import annotations

from typing import Any, Final

import attrs

from ..backing import HttpReply, HttpSession
from ..errors import ErrorKind, Refusal, refuse

_TIMEOUT_S: Final = 30.0


@attrs.frozen
class AdminError(Exception):
    """A request that was refused, or that nobody answered."""

    # Error kind of the refusal.
    kind: ErrorKind
    # What happened.
    reason: str

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.reason}"


class AdminClient:
    """Asks the first entry that answers."""

    def __init__(self, urls: tuple[str, ...], token: str) -> None:
        self._sessions = [HttpSession(url) for url in urls]
        self._headers = {"Authorization": f"Bearer {token}"}

    def call(self, method: str, path: str, body: bytes | None = None) -> Any:
        """Return the JSON answer; raises :class:`AdminError`."""
        last: Refusal = refuse(ErrorKind.LINK_NOT_OPEN, "no entry was named")
        for session in self._sessions:
            reply = session.request(
                method, f"/admin/v1/{path}", _TIMEOUT_S, body, self._headers
            )
            if isinstance(reply, HttpReply):
                return _answer(reply)
            last = reply
            if not reply.did_not_run and method != "GET":
                break
        raise AdminError(last.kind, last.reason)


def _answer(reply: HttpReply) -> Any:
    try:
        fields = reply.json()
        if reply.status < 300:
            return fields
        raise AdminError(ErrorKind(fields["error"]), fields["reason"])
    except (ValueError, KeyError) as error:
        reason = f"answer {reply.status} is not this service's"
        raise AdminError(ErrorKind.INTERNAL, reason) from error
