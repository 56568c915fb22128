"""Requests to the entries, tried in turn until one entry answers."""

from __future__ import annotations

import json
import time
from itertools import cycle
from typing import Any, Final

import attrs

from ..backing import HttpReply, HttpSession
from ..decisions import may_resend
from ..errors import ANSWERS, ErrorKind, Refusal, refuse
from ..messages import structure

_RETRY_PAUSE_S: Final = 0.2


class EntryClient:
    """Sends requests with a bearer token to any of several entries."""

    def __init__(self, urls: tuple[str, ...], token: str) -> None:
        self._sessions = {url: HttpSession(url) for url in urls}
        self._url_cycle = cycle(urls)
        self._url = next(self._url_cycle)
        self._token = token

    def post(
        self,
        path: str,
        fields: Any,
        timeout_s: float,
        patience_s: float,
        traceparent: str = "",
    ) -> Any | Refusal:
        """Send JSON by POST until an entry answers; only for idempotent requests.

        With ``patience_s`` of 0 there is one try.
        """
        deadline_s = time.monotonic() + patience_s
        headers = {
            "Authorization": f"Bearer {self._token}",
            "Content-Type": "application/json",
            "traceparent": traceparent,
        }
        body = json.dumps(fields).encode()
        consecutive_faults = 0
        while True:
            reply = self._sessions[self._url].request(
                "POST", path, timeout_s, body, headers
            )
            refusal = _refusal_of(reply)
            if refusal is None and isinstance(reply, HttpReply):
                return reply.json()
            assert refusal is not None
            is_fault = refusal.kind is ErrorKind.INTERNAL
            consecutive_faults = consecutive_faults + 1 if is_fault else 0
            if not may_resend(refusal, consecutive_faults):
                return refusal
            # Also after the last try, so that the next request goes to another entry.
            self._url = next(self._url_cycle)
            wait_s = max(_RETRY_PAUSE_S, refusal.retry_after_s or 0.0)
            if time.monotonic() + wait_s >= deadline_s:
                return refusal
            time.sleep(min(wait_s, 1.0))


def _refusal_of(reply: HttpReply | Refusal) -> Refusal | None:
    if isinstance(reply, Refusal):
        return attrs.evolve(reply, retry_after_s=_RETRY_PAUSE_S)
    if reply.status < 300:
        return None
    try:
        fields = reply.json()
        kind = ErrorKind(fields["error"])
        execution = structure(fields["execution"], type(ANSWERS[kind].execution))
        return Refusal(kind, fields["reason"], execution, fields["retry_after_s"])
    except (ValueError, KeyError, TypeError):
        reason = f"entry answered {reply.status}"
        return refuse(ErrorKind.LINK_LOST, reason)
