"""Stand-in for the platform's object API, with outages and lost answers."""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import Any, Final

import attrs

from ._wsgi import StandinRequest, StandinResponse

_MAX_VALUE_BYTES: Final = 1024 * 1024
#: Longer than clients wait, so that the answer is lost.
_LOST_S: Final = 3.0
_MAX_WATCH_S: Final = 30.0


@attrs.define
class ObjectApiFaults:
    """Scripted faults."""

    # Whether every call is refused.
    down: bool = False
    # Time added to every call.
    slow_s: float = 0.0
    # How many of the next writes take effect and lose their answer.
    lose_answers: int = 0
    # Calls a second that are taken; 0 for no limit.
    reads_per_s: float = 0.0
    # Writes a second that are taken; 0 for no limit.
    writes_per_s: float = 0.0


@attrs.define
class _Bucket:
    # Calls that may be made at once.
    tokens: float = 0.0
    # When tokens were last added.
    filled_s: float = 0.0

    def take(self, rate: float, now_s: float) -> bool:
        if not rate:
            return True
        self.tokens = min(rate, self.tokens + (now_s - self.filled_s) * rate)
        self.filled_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ObjectApiStandin:
    """Objects in memory, with versions from one counter."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._objects: dict[str, tuple[int, Any]] = {}
        self._revision = 0
        self.faults = ObjectApiFaults()
        self._calls: Counter[str] = Counter()
        self._reads = _Bucket()
        self._writes = _Bucket()

    def handle(self, request: StandinRequest) -> StandinResponse:
        """Answer one request."""
        if request.path[0] == "control":
            return self._control(request)
        is_write = request.method == "PUT"
        refused = self._fault(is_write)
        if refused is not None:
            return refused
        match request.method, request.path:
            case "GET", ("v1", "objects", *path):
                return self._get("/".join(path))
            case "PUT", ("v1", "objects", *path):
                return self._put("/".join(path), request)
            case "GET", ("v1", "list"):
                return self._list(request.query["prefix"])
            case "GET", ("v1", "watch", *path):
                return self._watch("/".join(path), request.query)
        return StandinResponse(404)

    def _control(self, request: StandinRequest) -> StandinResponse:
        if request.path == ("control", "faults"):
            self.faults = attrs.evolve(self.faults, **request.json())
        return StandinResponse(200, {"calls": dict(self._calls)})

    def _fault(self, is_write: bool) -> StandinResponse | None:
        self._calls["writes" if is_write else "reads"] += 1
        if self.faults.slow_s:
            time.sleep(self.faults.slow_s)
        if self.faults.down:
            return StandinResponse(503, {"error": "down"})
        now_s = time.monotonic()
        with self._changed:
            if is_write:
                taken = self._writes.take(self.faults.writes_per_s, now_s)
            else:
                taken = self._reads.take(self.faults.reads_per_s, now_s)
        return None if taken else StandinResponse(429, {"error": "over budget"})

    def _get(self, path: str) -> StandinResponse:
        with self._changed:
            found = self._objects.get(path)
        if found is None:
            return StandinResponse(404)
        return StandinResponse(200, {"version": found[0], "value": found[1]})

    def _put(self, path: str, request: StandinRequest) -> StandinResponse:
        if len(request.body) > _MAX_VALUE_BYTES:
            return StandinResponse(413)
        value = request.json()
        with self._changed:
            version, _value = self._objects.get(path, (0, None))
            if version != int(request.query["if_version"]):
                return StandinResponse(409, {"version": version})
            self._revision += 1
            self._objects[path] = (self._revision, value)
            self._changed.notify_all()
            is_lost = self.faults.lose_answers > 0
            self.faults.lose_answers -= is_lost
            written = self._revision
        if is_lost:
            time.sleep(_LOST_S)
        return StandinResponse(200, {"version": written})

    def _list(self, prefix: str) -> StandinResponse:
        with self._changed:
            objects = [
                {"path": path, "version": version, "value": value}
                for path, (version, value) in sorted(self._objects.items())
                if path.startswith(prefix)
            ]
        return StandinResponse(200, {"objects": objects})

    def _watch(self, path: str, query: dict[str, str]) -> StandinResponse:
        after = int(query["after"])
        wait_s = min(float(query["wait_s"]), _MAX_WATCH_S)
        with self._changed:
            self._changed.wait_for(
                lambda: self._objects.get(path, (0, None))[0] > after, wait_s
            )
            version, value = self._objects.get(path, (0, None))
        if version <= after:
            return StandinResponse(204, b"")
        return StandinResponse(200, {"version": version, "value": value})
