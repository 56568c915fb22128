"""Simulated callers: an open loop of calls with a fixed mean rate."""

from __future__ import annotations

import json
import queue
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import count, cycle
from typing import Any, Final

import attrs

from ..backing import HttpReply, HttpSession
from ..errors import Refusal
from ._cluster import token_of
from ._deployment import CallerPlan

_THREADS: Final = 24
_KEYS_PER_TICKET: Final = 100


@attrs.frozen
class CallRecord:
    """Outcome of one call, as observed by the caller."""

    # Serial number of the call, which the payload contains.
    number: int
    # Name of the caller.
    caller: str
    # Operation that was called.
    operation: str
    # HTTP status; 0 without an answer.
    status: int
    # Error kind; empty for a successful answer.
    error: str
    # Execution state from the answer; "unknown" without an answer.
    execution: str
    # Time from the planned start to the answer, in seconds.
    duration_s: float
    # Whether the answer is complete and belongs to the request.
    whole: bool
    # Time after which to retry in seconds, if the answer names one.
    retry_after_s: float | None = None


class _KeyPool:
    """Idempotency keys; a new ticket is opened when the keys run out."""

    def __init__(self, caller: SimulatedCaller) -> None:
        self._caller = caller
        self._keys: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._lock = threading.Lock()

    def next(self) -> str | None:
        """Return an unused key, or None if no entry opens a ticket."""
        with self._lock:
            if self._keys.empty():
                for key in self._caller.open_ticket(_KEYS_PER_TICKET):
                    self._keys.put(key)
            return None if self._keys.empty() else self._keys.get()


class SimulatedCaller:
    """Makes calls at a planned rate and records their outcomes."""

    def __init__(
        self,
        plan: CallerPlan,
        urls: tuple[str, ...],
        budget_s: float,
        seed: int,
        threads: int = _THREADS,
    ) -> None:
        self._plan = plan
        self._sessions = [HttpSession(url, threads) for url in urls]
        self._threads = threads
        self._session_indexes = cycle(range(len(urls)))
        self._budget_s = budget_s
        self._rng = random.Random(f"{plan.name}/{plan.operation}/{seed}")
        self._serial = count(1)
        self._keys = _KeyPool(self)
        self._lock = threading.Lock()
        self.records: list[CallRecord] = []
        self.stopped = threading.Event()

    @property
    def plan(self) -> CallerPlan:
        """Plan of this caller."""
        return self._plan

    def _next_session(self) -> HttpSession:
        with self._lock:
            return self._sessions[next(self._session_indexes)]

    def open_ticket(self, key_count: int) -> list[str]:
        """Open a ticket at any entry; return its keys, empty if no entry answers."""
        body = json.dumps({"upstream": self._plan.upstream, "count": key_count})
        headers = {"Authorization": f"Bearer {token_of(self._plan.name)}"}
        for _try in self._sessions:
            reply = self._next_session().request(
                "POST", "/v1/tickets", 5.0, body.encode(), headers
            )
            if isinstance(reply, HttpReply) and reply.status == 200:
                keys: list[str] = reply.json()["keys"]
                return keys
        return []

    def run(self, duration_s: float) -> None:
        """Make calls at the planned rate for ``duration_s`` or until stopped."""
        end_s = time.monotonic() + duration_s
        next_s = time.monotonic()
        with ThreadPoolExecutor(self._threads) as pool:
            while not self.stopped.is_set() and next_s < end_s:
                time.sleep(max(0.0, next_s - time.monotonic()))
                pool.submit(self.call, next(self._serial), next_s)
                next_s += self._rng.expovariate(self._plan.rate_per_s)

    def call(self, number: int, planned_s: float) -> CallRecord:
        """Make one call; retry a call with a key once at the next entry."""
        key = self._keys.next() if self._plan.keyed else ""
        if key is None:
            return self._record_outcome(number, planned_s, None)
        reply = self._send(number, key)
        if isinstance(reply, Refusal) and self._plan.keyed:
            reply = self._send(number, key)
        return self._record_outcome(number, planned_s, reply)

    def _build_payload(self, number: int) -> dict[str, Any]:
        name = f"{self._plan.name}-{self._plan.operation}-{number}"
        return {"id": name, "prompt": f"ruling {number % 40}", "max_tokens": 16}

    def _send(self, number: int, key: str) -> HttpReply | Refusal:
        path = f"/v1/calls/{self._plan.upstream}/{self._plan.operation}"
        headers = {
            "Authorization": f"Bearer {token_of(self._plan.name)}",
            "Budget-S": str(self._budget_s),
        }
        if key:
            headers["Idempotency-Key"] = key
        body = json.dumps(self._build_payload(number)).encode()
        return self._next_session().request(
            "POST", path, self._budget_s + 2.0, body, headers
        )

    def _record_outcome(
        self, number: int, planned_s: float, reply: HttpReply | Refusal | None
    ) -> CallRecord:
        duration_s = time.monotonic() - planned_s
        record = CallRecord(
            number,
            self._plan.name,
            self._plan.operation,
            0,
            "",
            "unknown",
            duration_s,
            whole=False,
        )
        if reply is None:
            record = attrs.evolve(record, error="no-ticket", execution="not-run")
        elif isinstance(reply, Refusal):
            record = attrs.evolve(record, error="no-answer")
        else:
            record = self._classify_reply(record, reply)
        with self._lock:
            self.records.append(record)
        return record

    def _classify_reply(self, record: CallRecord, reply: HttpReply) -> CallRecord:
        fields = reply.json()
        if reply.status != 200:
            return attrs.evolve(
                record,
                status=reply.status,
                error=str(fields.get("error", "")),
                execution=reply.headers.get("execution", "unknown"),
                retry_after_s=fields.get("retry_after_s"),
            )
        expected = self._build_payload(record.number)
        whole = fields.get("echo") == expected or "spans" in fields
        return attrs.evolve(record, status=200, execution="ran", whole=whole)
