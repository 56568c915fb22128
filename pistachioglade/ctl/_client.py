"""Client of the administration API for the command line."""

from __future__ import annotations

from typing import Any, Final

import attrs

from ..backing import HttpReply, HttpSession
from ..errors import ErrorKind, Refusal, refuse

_TIMEOUT_S: Final = 30.0


@attrs.frozen
class AdminError(Exception):
    """Raised when a request is refused or gets no answer."""

    # Error kind of the refusal or of the failed connection.
    kind: ErrorKind
    # Reason in plain text.
    reason: str

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.reason}"


class AdminClient:
    """Sends each request to the named entries in order, until one entry answers.

    A write is sent to the next entry only if the failed attempt did not run.
    """

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
                return _decode_answer(reply)
            last = reply
            if not reply.did_not_run and method != "GET":
                break
        raise AdminError(last.kind, last.reason)


def _decode_answer(reply: HttpReply) -> Any:
    try:
        fields = reply.json()
        if reply.status < 300:
            return fields
        raise AdminError(ErrorKind(fields["error"]), fields["reason"])
    except (ValueError, KeyError) as error:
        reason = f"answer {reply.status} is not this service's"
        raise AdminError(ErrorKind.INTERNAL, reason) from error
