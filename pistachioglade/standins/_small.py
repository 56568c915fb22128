"""Stand-ins for the instance list, the weight store and the scorer."""

from __future__ import annotations

import hashlib
import threading
import time
from typing import Any, Final

from ._wsgi import StandinRequest, StandinResponse

_DEFAULT_LAG_S: Final = 3.0
_DEFAULT_BYTES_PER_S: Final = 8e6


class InstanceListStandin:
    """List of instances that readers see with a delay."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._lag_s = _DEFAULT_LAG_S
        self._history: list[tuple[float, list[Any]]] = []

    def handle(self, request: StandinRequest) -> StandinResponse:
        """Answer one request; PUT replaces the list and optionally its delay."""
        with self._lock:
            if request.method == "PUT":
                fields = request.json()
                self._lag_s = fields.get("lag_s", self._lag_s)
                self._history.append((time.monotonic(), fields["instances"]))
                return StandinResponse(200)
            limit_s = time.monotonic() - self._lag_s
            visible = [listed for at_s, listed in self._history if at_s <= limit_s]
            first = self._history[0][1] if self._history else []
            return StandinResponse(
                200, {"instances": visible[-1] if visible else first}
            )


class WeightStoreStandin:
    """Weights by model and version, served at a limited rate."""

    def __init__(self, bytes_per_s: float = _DEFAULT_BYTES_PER_S) -> None:
        self._lock = threading.Lock()
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0
        self._weights: dict[str, bytes] = {}
        self._sent_bytes = 0

    def handle(self, request: StandinRequest) -> StandinResponse:
        """Answer one request."""
        if request.path[0] == "control":
            return StandinResponse(200, {"sent_bytes": self._sent_bytes})
        name = "/".join(request.path[1:])
        if request.method == "PUT":
            self._weights[name] = request.body
            digest = hashlib.sha256(request.body).hexdigest()
            return StandinResponse(200, {"digest": digest})
        data = self._weights.get(name)
        if data is None:
            return StandinResponse(404)
        first, _, last = request.headers["RANGE"].removeprefix("bytes=").partition("-")
        piece = data[int(first) : int(last) + 1]
        self._wait_for_rate_limit(len(piece))
        return StandinResponse(206, piece)

    def _wait_for_rate_limit(self, size: int) -> None:
        with self._lock:
            now_s = time.monotonic()
            start_s = max(now_s, self._free_at_s)
            self._free_at_s = start_s + size / self._bytes_per_s
            self._sent_bytes += size
            wait_s = self._free_at_s - now_s
        time.sleep(wait_s)


class ScorerStandin:
    """Scores texts deterministically."""

    def handle(self, request: StandinRequest) -> StandinResponse:
        """Answer one request."""
        digest = hashlib.sha256(request.body).digest()
        return StandinResponse(200, {"score": digest[0] / 255})
