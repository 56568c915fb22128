"""Stand-in for a model engine: continuous batching, versions, orders, faults."""

from __future__ import annotations

import hashlib
import heapq
import json
import queue
import random
import threading
import time
from collections import OrderedDict
from collections.abc import Iterator
from itertools import count
from typing import Any, Final

import attrs

from ._wsgi import RecordFile, StandinRequest, StandinResponse

_CACHED_PROMPTS: Final = 64
_RECORD_LIMIT: Final = 200_000
_EVENT_WAIT_S: Final = 30.0


@attrs.define
class EngineFaults:
    """Scripted faults; counts are of the next requests."""

    # Factor on the time of each tick.
    slow_factor: float = 1.0
    # Completions that end in the middle.
    truncate: int = 0
    # Swaps that fail after the weights were sent.
    fail_swaps: int = 0
    # Swaps that are confirmed and not done.
    ignore_swaps: int = 0


@attrs.frozen
class EngineOptions:
    """How the engine behaves."""

    # Instance name.
    name: str
    # Requests in one batch.
    slots: int = 8
    # Time of one tick with an empty batch.
    tick_s: float = 0.02
    # Tokens that each request gets in one tick.
    tokens_per_tick: int = 4
    # Ticks that an uncached prompt takes.
    prefill_ticks: int = 5
    # Pause of the whole engine when it swaps weights.
    swap_s: float = 0.2
    # Whether an order with an old fencing number is refused.
    checks_fence: bool = True
    # Age of the state that is reported.
    report_lag_s: float = 0.3
    # File that records are appended to; empty for none.
    record_file: str = ""


@attrs.define(eq=False)
class _Sequence:
    # Id that the caller gave.
    request_id: str
    # Model to use.
    model: str
    # Prompt text.
    prompt: str
    # Tokens to make.
    length: int
    # Seed of the text.
    seed: int
    # Whether it was cut off by a scripted fault.
    truncated: bool
    # Events for the reader.
    events: queue.Queue[dict[str, Any] | None] = attrs.field(factory=queue.Queue)
    # Ticks until the first token.
    prefill_left: int = 0
    # Tokens made.
    made: int = 0
    # Whether nobody waits any more.
    cancelled: bool = False
    # When it was admitted to the batch.
    begun_unix_s: float = 0.0
    # Versions that made its tokens, for the record.
    spans: list[list[int]] = attrs.field(factory=list)


class EngineStandin:
    """One engine; a thread makes tokens, tick by tick."""

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self.faults = EngineFaults()
        self._lock = threading.RLock()
        self._order = count()
        self._waiting: list[tuple[int, int, _Sequence]] = []
        self._active: list[_Sequence] = []
        self._cached: OrderedDict[str, None] = OrderedDict()
        self._versions: dict[str, int] = {}
        self._weights: dict[str, bytearray] = {}
        self._fence = 0
        self._paused_until_s = 0.0
        self._leaving = False
        self._file = RecordFile(options.record_file)
        self._record: list[dict[str, Any]] = []
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self.cache_hits = 0
        self.cache_misses = 0
        threading.Thread(target=self._run, daemon=True).start()

    def handle(self, request: StandinRequest) -> StandinResponse:
        """Answer one request."""
        match request.method, request.path:
            case "POST", ("v1", "completions"):
                return self._complete(request.json())
            case "GET", ("state",):
                return StandinResponse(200, self._state())
            case "POST", ("orders",):
                return self._swap(request.json())
            case "PUT", ("weights", model, version):
                return self._take_weights(f"{model}/{version}", request)
            case "POST", ("cancel",):
                return self._cancel(request.json()["request_id"])
            case "GET", ("record",):
                return self._read_record()
            case "POST", ("control", "faults"):
                self.faults = attrs.evolve(self.faults, **request.json())
                return StandinResponse(200)
            case "POST", ("control", "leave"):
                self._leaving = True
                return StandinResponse(200)
            case "POST", ("control", "version"):
                return self._force_version(request.json())
        return StandinResponse(404)

    def _complete(self, fields: dict[str, Any]) -> StandinResponse:
        with self._lock:
            truncated = self.faults.truncate > 0
            self.faults.truncate -= truncated
        sequence = _Sequence(
            request_id=fields["request_id"],
            model=fields["model"],
            prompt=fields["prompt"],
            length=_length(fields),
            seed=int(fields["seed"]),
            truncated=truncated,
        )
        with self._lock:
            item = (int(fields["priority"]), next(self._order), sequence)
            heapq.heappush(self._waiting, item)
        headers = (("Content-Type", "text/event-stream"),)
        return StandinResponse(200, self._stream(sequence), headers)

    def _stream(self, sequence: _Sequence) -> Iterator[bytes]:
        try:
            while (event := sequence.events.get(timeout=_EVENT_WAIT_S)) is not None:
                yield b"data: " + json.dumps(event).encode() + b"\n\n"
            if not (sequence.truncated or sequence.cancelled):
                yield b"data: [DONE]\n\n"
        except queue.Empty:
            return
        finally:
            sequence.cancelled = True

    def _run(self) -> None:
        while True:
            started_s = time.monotonic()
            with self._lock:
                if started_s >= self._paused_until_s:
                    self._tick()
                busy = len(self._active) / self._options.slots
                self._report(started_s)
            tick_s = self._options.tick_s * (1 + 0.25 * busy) * self.faults.slow_factor
            time.sleep(max(0.001, tick_s - (time.monotonic() - started_s)))

    def _tick(self) -> None:
        while self._waiting and len(self._active) < self._options.slots:
            sequence = heapq.heappop(self._waiting)[2]
            if not sequence.cancelled:
                self._begin(sequence)
        for sequence in tuple(self._active):
            if sequence.cancelled:
                self._finish(sequence)
            elif sequence.prefill_left > 0:
                sequence.prefill_left -= 1
            else:
                self._advance(sequence)

    def _begin(self, sequence: _Sequence) -> None:
        key = f"{sequence.model}/{sequence.prompt}"
        if key in self._cached:
            self._cached.move_to_end(key)
            self.cache_hits += 1
        else:
            self.cache_misses += 1
            sequence.prefill_left = self._options.prefill_ticks
            self._cached[key] = None
            if len(self._cached) > _CACHED_PROMPTS:
                self._cached.popitem(last=False)
        sequence.begun_unix_s = time.time()
        self._active.append(sequence)

    def _advance(self, sequence: _Sequence) -> None:
        tokens = min(self._options.tokens_per_tick, sequence.length - sequence.made)
        version = self._versions.get(sequence.model, 0)
        text = "".join(
            f"{_word(sequence.seed, sequence.made + place)} " for place in range(tokens)
        )
        sequence.made += tokens
        _add_span(sequence.spans, version, tokens)
        is_over = sequence.made >= sequence.length
        cut = sequence.truncated and sequence.made * 2 >= sequence.length
        event: dict[str, Any] = {
            "choices": [{"text": text, "finish_reason": "stop" if is_over else None}],
            "model_version": version,
            "token_count": tokens,
        }
        if is_over:
            event["usage"] = {"completion_tokens": sequence.made}
        if is_over or cut:
            self._finish(sequence, event)
        else:
            sequence.events.put(event)

    def _finish(self, sequence: _Sequence, event: dict[str, Any] | None = None) -> None:
        """Record a sequence, then give its last event out."""
        self._active.remove(sequence)
        record = {
            "request_id": sequence.request_id,
            "tokens": sequence.made,
            "spans": sequence.spans,
            "whole": sequence.made >= sequence.length and not sequence.truncated,
            "unix_s": sequence.begun_unix_s,
        }
        self._file.append(record)
        if len(self._record) < _RECORD_LIMIT:
            self._record.append(record)
        if event is not None:
            sequence.events.put(event)
        sequence.events.put(None)

    def _report(self, now_s: float) -> None:
        fields = {
            "running": len(self._active),
            "waiting": len(self._waiting),
            "slots": self._options.slots,
            "cache_hits": self.cache_hits,
            "cache_misses": self.cache_misses,
        }
        self._reports.append((now_s, fields))
        limit_s = now_s - self._options.report_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= limit_s:
            self._reports.pop(0)

    def _state(self) -> dict[str, Any]:
        """Return the lagging load; version and leaving are as of now."""
        with self._lock:
            load = self._reports[0][1] if self._reports else {}
            return {
                **load,
                "versions": dict(self._versions),
                "leaving": self._leaving,
            }

    def _take_weights(self, name: str, request: StandinRequest) -> StandinResponse:
        offset = int(request.query.get("offset", 0))
        with self._lock:
            data = self._weights.setdefault(name, bytearray())
            data[offset : offset + len(request.body)] = request.body
        return StandinResponse(200)

    def _swap(self, fields: dict[str, Any]) -> StandinResponse:
        model, version = fields["model"], int(fields["version"])
        with self._lock:
            if self._options.checks_fence and int(fields["fence"]) < self._fence:
                return StandinResponse(409, {"error": "fencing number is old"})
            self._fence = max(self._fence, int(fields["fence"]))
            data = self._weights.get(f"{model}/{version}")
            if data is None or hashlib.sha256(data).hexdigest() != fields["digest"]:
                return StandinResponse(400, {"error": "weights are not here"})
            if self.faults.fail_swaps > 0:
                self.faults.fail_swaps -= 1
                return StandinResponse(500, {"error": "swap failed"})
            if self.faults.ignore_swaps > 0:
                self.faults.ignore_swaps -= 1
                return StandinResponse(200)
            self._paused_until_s = time.monotonic() + self._options.swap_s
            self._versions[model] = version
            for name in [item for item in self._weights if item.startswith(model)]:
                if int(name.rpartition("/")[2]) < version - 1:
                    del self._weights[name]
        return StandinResponse(200)

    def _force_version(self, fields: dict[str, Any]) -> StandinResponse:
        with self._lock:
            self._versions[fields["model"]] = int(fields["version"])
        return StandinResponse(200)

    def _cancel(self, request_id: str) -> StandinResponse:
        with self._lock:
            waiting = [item[2] for item in self._waiting]
            for sequence in (*self._active, *waiting):
                if sequence.request_id == request_id:
                    sequence.cancelled = True
                    sequence.events.put(None)
        return StandinResponse(200)

    def _read_record(self) -> StandinResponse:
        with self._lock:
            fields = {
                "runs": list(self._record),
                "cache_hits": self.cache_hits,
                "cache_misses": self.cache_misses,
            }
        return StandinResponse(200, fields)


def _length(fields: dict[str, Any]) -> int:
    """Return a length with a long tail, alike for samples of one prompt."""
    most = int(fields["max_tokens"])
    if int(fields["priority"]) == 0:
        return most
    of_prompt = random.Random(str(fields["prompt"])).lognormvariate(0.0, 0.5)
    of_sample = random.Random(int(fields["seed"])).lognormvariate(0.0, 0.35)
    return max(4, min(most, int(most * 0.25 * of_prompt * of_sample)))


def _word(seed: int, place: int) -> str:
    return f"w{(seed * 31 + place * 7919) % 4096:03x}"


def _add_span(spans: list[list[int]], version: int, tokens: int) -> None:
    if spans and spans[-1][0] == version:
        spans[-1][1] += tokens
    else:
        spans.append([version, tokens])
