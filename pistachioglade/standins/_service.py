"""Stand-in for a plain service, some of whose operations are not idempotent."""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from typing import Any

import attrs

from ._wsgi import RecordFile, StandinRequest, StandinResponse


@attrs.define
class ServiceFaults:
    """Scripted faults; a count is the number of next calls that are affected."""

    # Delay added to every call, in seconds.
    slow_s: float = 0.0
    # Calls that run and whose answer is truncated to half.
    truncate: int = 0
    # Calls that run and get the answer of the previous request.
    shuffle: int = 0
    # Calls that run and answer with an error.
    fail: int = 0


class ServiceStandin:
    """Runs operations and keeps a record of each run."""

    def __init__(
        self, name: str, work_s: float, slots: int, record_file: str = ""
    ) -> None:
        self._name = name
        self._work_s = work_s
        self._slots = threading.Semaphore(slots)
        self._lock = threading.Lock()
        self.faults = ServiceFaults()
        self._record_file = RecordFile(record_file)
        self._runs: list[dict[str, Any]] = []
        self._running = 0
        self._leaving = False
        self._last_answer = ("", b"{}")

    def handle(self, request: StandinRequest) -> StandinResponse:
        """Answer one request."""
        match request.path:
            case ("operations", operation):
                return self._run(operation, request)
            case ("state",):
                fields = {
                    "versions": {},
                    "leaving": self._leaving,
                    "running": self._running,
                }
                return StandinResponse(200, fields)
            case ("record",):
                with self._lock:
                    return StandinResponse(200, {"runs": list(self._runs)})
            case ("control", "faults"):
                self.faults = attrs.evolve(self.faults, **request.json())
                return StandinResponse(200)
            case ("control", "leave"):
                self._leaving = True
                return StandinResponse(200)
        return StandinResponse(404)

    def _run(self, operation: str, request: StandinRequest) -> StandinResponse:
        request_id = request.headers.get("X_REQUEST_ID", "")
        payload = request.json()
        with self._slots:
            self._record_run(operation, request_id, payload)
            time.sleep(self._work_s + self.faults.slow_s)
        with self._lock:
            self._running -= 1
        fields = {"operation": operation, "echo": payload, "instance": self._name}
        return self._answer(request_id, json.dumps(fields).encode())

    def _record_run(self, operation: str, request_id: str, payload: Any) -> None:
        run = {
            "operation": operation,
            "request_id": request_id,
            "payload": payload,
            "unix_s": time.time(),
        }
        self._record_file.append(run)
        with self._lock:
            self._runs.append(run)
            self._running += 1

    def _consume_fault(self, fault: str) -> bool:
        with self._lock:
            remaining = getattr(self.faults, fault)
            setattr(self.faults, fault, max(0, remaining - 1))
            return bool(remaining)

    def _answer(self, request_id: str, body: bytes) -> StandinResponse:
        previous, self._last_answer = self._last_answer, (request_id, body)
        if self._consume_fault("fail"):
            return StandinResponse(500, {"error": "the operation failed"})
        if self._consume_fault("shuffle"):
            return StandinResponse(
                200, previous[1], (("X-Request-Id", previous[0] or "none"),)
            )
        headers = [("X-Request-Id", request_id)]
        if self._consume_fault("truncate"):
            headers += [("Content-Length", str(len(body))), ("Connection", "close")]
            return StandinResponse(200, body[: len(body) // 2], tuple(headers))
        return StandinResponse(200, body, tuple(headers))


def runs_by_payload(runs: list[dict[str, Any]], field: str) -> Counter[str]:
    """Return the number of runs for each value of a payload field."""
    return Counter(str(run["payload"].get(field)) for run in runs)
