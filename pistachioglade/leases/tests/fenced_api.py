"""Stand-in of the platform's API that checks fencing tokens, on a virtual clock."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import attrs

from ...http1 import Fields, Response, first_field
from ...platform import names
from ...store.tests.scripted import now_s


@attrs.frozen
class AcceptedCall:
    """A call that the platform has carried out."""

    # Virtual time at which it was carried out, in seconds.
    at_s: float
    # Node that made the call.
    holder: str
    # Fencing token.
    token: int
    # Fields of the body.
    body: dict[str, Any]


class FencedApi:
    """Carries out calls; calls may also fail, stay unanswered or be late."""

    def __init__(
        self, subject_of: Callable[[dict[str, Any]], str], checks_fences: bool = True
    ) -> None:
        # Returns the subject of a call, each of which has its own fencing tokens.
        self._subject_of = subject_of
        self._checks_fences = checks_fences
        self._highest: dict[str, int] = {}
        # Status of all answers; None while the API works.
        self.status: int | None = None
        # Whether no call is answered, or carried out.
        self.is_silent = False
        # Delays of following calls that get no answer and are carried out later.
        self.late_calls_s: list[float] = []
        self.calls = 0
        self.accepted: list[AcceptedCall] = []
        self._late: set[asyncio.Task[int]] = set()

    async def request(self, fields: Fields, body: bytes) -> Response:
        """Answer one call."""
        self.calls += 1
        await asyncio.sleep(0.005)
        if self.is_silent:
            await asyncio.sleep(3600.0)
        if self.status is not None:
            return Response(self.status)
        if self.late_calls_s:
            work = self._accept_late(fields, body, self.late_calls_s.pop(0))
            task = asyncio.create_task(work)
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(3600.0)
        return Response(self._accept(fields, body))

    async def _accept_late(self, fields: Fields, body: bytes, delay_s: float) -> int:
        await asyncio.sleep(delay_s)
        return self._accept(fields, body)

    def _accept(self, fields: Fields, body: bytes) -> int:
        sent = json.loads(body)
        subject = self._subject_of(sent)
        token = int(first_field(fields, names.FENCING_TOKEN) or 0)
        if self._checks_fences and token < self._highest.get(subject, 0):
            return 409
        self._highest[subject] = max(token, self._highest.get(subject, 0))
        holder = first_field(fields, names.DUTY_HOLDER) or ""
        self.accepted.append(AcceptedCall(now_s(), holder, token, sent))
        return 200

    def assert_turns(self, lease_s: float) -> None:
        """Check that a token has one holder, and that holders take no turns."""
        by_token: dict[tuple[str, int], str] = {}
        last_s: dict[tuple[str, str], float] = {}
        previous: dict[str, str] = {}
        for call in self.accepted:
            subject = self._subject_of(call.body)
            assert (
                by_token.setdefault((subject, call.token), call.holder) == call.holder
            )
            since_s = call.at_s - last_s.get((subject, call.holder), float("-inf"))
            assert call.holder == previous.get(subject) or since_s >= lease_s, call
            last_s[subject, call.holder] = call.at_s
            previous[subject] = call.holder


async def be_silent(api: FencedApi) -> None:
    """Answer no call for some seconds."""
    api.is_silent = True
    await asyncio.sleep(4.0)
    api.is_silent = False


async def be_busy(api: FencedApi) -> None:
    """Refuse all calls for some seconds."""
    api.status = 429
    await asyncio.sleep(4.0)
    api.status = None
