"""Stand-in for a model engine with batching, weight swaps and scripted faults."""

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
    """Scripted faults; a count is the number of next requests that are affected."""

    # Factor on the duration of each tick.
    slow_factor: float = 1.0
    # Completions whose stream ends halfway.
    truncate: int = 0
    # Swaps that fail after the engine has received the weights.
    fail_swaps: int = 0
    # Swaps that are confirmed and not applied.
    ignore_swaps: int = 0


@attrs.frozen
class EngineOptions:
    """Capacity, timing and checks of one engine."""

    # Instance name.
    name: str
    # Maximum number of requests in one batch.
    slots: int = 8
    # Duration of one tick with an empty batch, in seconds.
    tick_s: float = 0.02
    # Tokens generated for each request in one tick.
    tokens_per_tick: int = 4
    # Ticks for the prefill of an uncached prompt.
    prefill_ticks: int = 5
    # Pause of the whole engine during a swap of weights, in seconds.
    swap_s: float = 0.2
    # Whether an order with an old fencing token is refused.
    checks_fence: bool = True
    # Age of the reported load, in seconds.
    report_lag_s: float = 0.3
    # Path of the file for run records; empty for none.
    record_file: str = ""


@attrs.define(eq=False)
class _Sequence:
    # Request id from the caller.
    request_id: str
    # Name of the model.
    model: str
    # Prompt text.
    prompt: str
    # Number of tokens to generate.
    length: int
    # Seed of the generated text.
    seed: int
    # Whether a scripted fault truncates the stream.
    truncated: bool
    # Events for the response stream; None ends the stream.
    events: queue.Queue[dict[str, Any] | None] = attrs.field(factory=queue.Queue)
    # Remaining prefill ticks.
    prefill_left: int = 0
    # Number of tokens generated so far.
    generated: int = 0
    # Whether the caller has cancelled the request or closed the stream.
    cancelled: bool = False
    # Time of admission to the batch, in seconds since the epoch.
    begun_unix_s: float = 0.0
    # Pairs of weight version and token count, for the run record.
    spans: list[list[int]] = attrs.field(factory=list)


class EngineStandin:
    """One engine, whose thread generates tokens in ticks."""

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self.faults = EngineFaults()
        self._lock = threading.RLock()
        self._arrival_numbers = count()
        self._waiting: list[tuple[int, int, _Sequence]] = []
        self._active: list[_Sequence] = []
        self._prompt_cache: OrderedDict[str, None] = OrderedDict()
        self._versions: dict[str, int] = {}
        self._weights: dict[str, bytearray] = {}
        self._fencing_token = 0
        self._paused_until_s = 0.0
        self._leaving = False
        self._record_file = RecordFile(options.record_file)
        self._record: list[dict[str, Any]] = []
        self._load_history: list[tuple[float, dict[str, Any]]] = []
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
                return self._store_weights(f"{model}/{version}", request)
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
            length=_choose_length(fields),
            seed=int(fields["seed"]),
            truncated=truncated,
        )
        with self._lock:
            item = (int(fields["priority"]), next(self._arrival_numbers), sequence)
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
                utilization = len(self._active) / self._options.slots
                self._record_load(started_s)
            tick_s = (
                self._options.tick_s
                * (1 + 0.25 * utilization)
                * self.faults.slow_factor
            )
            time.sleep(max(0.001, tick_s - (time.monotonic() - started_s)))

    def _tick(self) -> None:
        while self._waiting and len(self._active) < self._options.slots:
            sequence = heapq.heappop(self._waiting)[2]
            if not sequence.cancelled:
                self._admit(sequence)
        for sequence in tuple(self._active):
            if sequence.cancelled:
                self._finish(sequence)
            elif sequence.prefill_left > 0:
                sequence.prefill_left -= 1
            else:
                self._advance(sequence)

    def _admit(self, sequence: _Sequence) -> None:
        key = f"{sequence.model}/{sequence.prompt}"
        if key in self._prompt_cache:
            self._prompt_cache.move_to_end(key)
            self.cache_hits += 1
        else:
            self.cache_misses += 1
            sequence.prefill_left = self._options.prefill_ticks
            self._prompt_cache[key] = None
            if len(self._prompt_cache) > _CACHED_PROMPTS:
                self._prompt_cache.popitem(last=False)
        sequence.begun_unix_s = time.time()
        self._active.append(sequence)

    def _advance(self, sequence: _Sequence) -> None:
        tokens = min(
            self._options.tokens_per_tick, sequence.length - sequence.generated
        )
        version = self._versions.get(sequence.model, 0)
        text = "".join(
            f"{_token_text(sequence.seed, sequence.generated + position)} "
            for position in range(tokens)
        )
        sequence.generated += tokens
        _add_span(sequence.spans, version, tokens)
        is_over = sequence.generated >= sequence.length
        is_cut = sequence.truncated and sequence.generated * 2 >= sequence.length
        event: dict[str, Any] = {
            "choices": [{"text": text, "finish_reason": "stop" if is_over else None}],
            "model_version": version,
            "token_count": tokens,
        }
        if is_over:
            event["usage"] = {"completion_tokens": sequence.generated}
        if is_over or is_cut:
            self._finish(sequence, event)
        else:
            sequence.events.put(event)

    def _finish(self, sequence: _Sequence, event: dict[str, Any] | None = None) -> None:
        """Record a sequence, then send its last event."""
        self._active.remove(sequence)
        record = {
            "request_id": sequence.request_id,
            "tokens": sequence.generated,
            "spans": sequence.spans,
            "whole": sequence.generated >= sequence.length and not sequence.truncated,
            "unix_s": sequence.begun_unix_s,
        }
        self._record_file.append(record)
        if len(self._record) < _RECORD_LIMIT:
            self._record.append(record)
        if event is not None:
            sequence.events.put(event)
        sequence.events.put(None)

    def _record_load(self, now_s: float) -> None:
        fields = {
            "running": len(self._active),
            "waiting": len(self._waiting),
            "slots": self._options.slots,
            "cache_hits": self.cache_hits,
            "cache_misses": self.cache_misses,
        }
        self._load_history.append((now_s, fields))
        limit_s = now_s - self._options.report_lag_s
        while len(self._load_history) > 1 and self._load_history[1][0] <= limit_s:
            self._load_history.pop(0)

    def _state(self) -> dict[str, Any]:
        """Return the delayed load with the current versions and leaving flag."""
        with self._lock:
            load = self._load_history[0][1] if self._load_history else {}
            return {
                **load,
                "versions": dict(self._versions),
                "leaving": self._leaving,
            }

    def _store_weights(self, name: str, request: StandinRequest) -> StandinResponse:
        offset = int(request.query.get("offset", 0))
        with self._lock:
            data = self._weights.setdefault(name, bytearray())
            data[offset : offset + len(request.body)] = request.body
        return StandinResponse(200)

    def _swap(self, fields: dict[str, Any]) -> StandinResponse:
        model, version = fields["model"], int(fields["version"])
        with self._lock:
            if (
                self._options.checks_fence
                and int(fields["fence"]) < self._fencing_token
            ):
                return StandinResponse(409, {"error": "fencing number is old"})
            self._fencing_token = max(self._fencing_token, int(fields["fence"]))
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


def _choose_length(fields: dict[str, Any]) -> int:
    """Return a token count with a long tail, correlated for samples of one prompt."""
    max_tokens = int(fields["max_tokens"])
    if int(fields["priority"]) == 0:
        return max_tokens
    of_prompt = random.Random(str(fields["prompt"])).lognormvariate(0.0, 0.5)
    of_sample = random.Random(int(fields["seed"])).lognormvariate(0.0, 0.35)
    return max(4, min(max_tokens, int(max_tokens * 0.25 * of_prompt * of_sample)))


def _token_text(seed: int, position: int) -> str:
    return f"w{(seed * 31 + position * 7919) % 4096:03x}"


def _add_span(spans: list[list[int]], version: int, tokens: int) -> None:
    if spans and spans[-1][0] == version:
        spans[-1][1] += tokens
    else:
        spans.append([version, tokens])
