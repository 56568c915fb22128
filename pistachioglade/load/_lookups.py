"""Simulated callers: an open loop of calls at a fixed rate."""

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
    """One call, as its caller saw it."""

    # Serial number, which is also in the payload.
    number: int
    # Name of the caller.
    caller: str
    # Operation that was called.
    operation: str
    # HTTP status; 0 when no answer came.
    status: int
    # Error kind; empty for an answer.
    error: str
    # What the answer says of the execution.
    execution: str
    # Time from the planned start to the answer.
    duration_s: float
    # Whether the answer belongs to the request and is whole.
    whole: bool
    # Time after which to come back, if the answer says so.
    retry_after_s: float | None = None


class _Keys:
    """Keys of tickets, opened when they run out."""

    def __init__(self, caller: SimulatedCaller) -> None:
        self._caller = caller
        self._keys: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._lock = threading.Lock()

    def next(self) -> str | None:
        """Return a fresh key, or None if no ticket could be had."""
        with self._lock:
            if self._keys.empty():
                for key in self._caller.open_ticket(_KEYS_PER_TICKET):
                    self._keys.put(key)
            return None if self._keys.empty() else self._keys.get()


class SimulatedCaller:
    """Makes calls and keeps what came back."""

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
        self._turn = cycle(range(len(urls)))
        self._budget_s = budget_s
        self._rng = random.Random(f"{plan.name}/{plan.operation}/{seed}")
        self._serial = count(1)
        self._keys = _Keys(self)
        self._lock = threading.Lock()
        self.records: list[CallRecord] = []
        self.stopped = threading.Event()

    @property
    def plan(self) -> CallerPlan:
        """What this caller does."""
        return self._plan

    def _session(self) -> HttpSession:
        with self._lock:
            return self._sessions[next(self._turn)]

    def open_ticket(self, key_count: int) -> list[str]:
        """Open a ticket at any entry; empty if none answers."""
        body = json.dumps({"upstream": self._plan.upstream, "count": key_count})
        headers = {"Authorization": f"Bearer {token_of(self._plan.name)}"}
        for _try in self._sessions:
            reply = self._session().request(
                "POST", "/v1/tickets", 5.0, body.encode(), headers
            )
            if isinstance(reply, HttpReply) and reply.status == 200:
                keys: list[str] = reply.json()["keys"]
                return keys
        return []

    def run(self, duration_s: float) -> None:
        """Call at the planned rate until the time is over."""
        end_s = time.monotonic() + duration_s
        next_s = time.monotonic()
        with ThreadPoolExecutor(self._threads) as pool:
            while not self.stopped.is_set() and next_s < end_s:
                time.sleep(max(0.0, next_s - time.monotonic()))
                pool.submit(self.call, next(self._serial), next_s)
                next_s += self._rng.expovariate(self._plan.rate_per_s)

    def call(self, number: int, planned_s: float) -> CallRecord:
        """Make one call; a keyed one is tried again at the other entry."""
        key = self._keys.next() if self._plan.keyed else ""
        if key is None:
            return self._note(number, planned_s, None)
        reply = self._send(number, key)
        if isinstance(reply, Refusal) and self._plan.keyed:
            reply = self._send(number, key)
        return self._note(number, planned_s, reply)

    def _payload(self, number: int) -> dict[str, Any]:
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
        body = json.dumps(self._payload(number)).encode()
        return self._session().request(
            "POST", path, self._budget_s + 2.0, body, headers
        )

    def _note(
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
            record = self._judge(record, reply)
        with self._lock:
            self.records.append(record)
        return record

    def _judge(self, record: CallRecord, reply: HttpReply) -> CallRecord:
        fields = reply.json()
        if reply.status != 200:
            return attrs.evolve(
                record,
                status=reply.status,
                error=str(fields.get("error", "")),
                execution=reply.headers.get("execution", "unknown"),
                retry_after_s=fields.get("retry_after_s"),
            )
        expected = self._payload(record.number)
        whole = fields.get("echo") == expected or "spans" in fields
        return attrs.evolve(record, status=200, execution="ran", whole=whole)
