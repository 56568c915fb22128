"""HTTP to one instance: whole answers, streamed completions, orders.

Blocking; the agent runs these functions in threads. An answer passes as whole
only if its length was announced and kept, it is JSON, and it carries the id of
its own request wherever the instance returns one.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs
import urllib3
from urllib3.exceptions import HTTPError

from ..backing import HttpReply, HttpSession
from ..errors import ErrorKind, Refusal, refuse
from ..messages import VersionSpan

_ORDER_TIMEOUT_S: Final = 10.0
_CANCEL_TIMEOUT_S: Final = 1.0
_READ_BYTES: Final = 8192
_DONE: Final = "[DONE]"
#: Priorities that engines honour; lower goes first.
CALL_PRIORITY: Final = 0
ROLLOUT_PRIORITY: Final = 10


@attrs.frozen
class Completion:
    """A whole completion."""

    # Generated text.
    text: str
    # Versions that made it, in token order.
    spans: tuple[VersionSpan, ...]


@attrs.frozen
class CompletionRequest:
    """What is asked of an engine."""

    # Unique id, for cancelling and for the engine's records.
    request_id: str
    # Model to use.
    model: str
    # Prompt text.
    prompt: str
    # Most tokens.
    max_tokens: int
    # Seed of the sampler.
    seed: int
    # Priority; lower goes first.
    priority: int
    # W3C trace context.
    traceparent: str = ""

    def body(self) -> bytes:
        """Return the JSON body of the completion protocol."""
        fields = {**attrs.asdict(self), "stream": True}
        return json.dumps(fields).encode()


#: Takes the version and the number of tokens of one event; False stops it.
Progress = Callable[[int, int], bool]


@attrs.define
class _Assembly:
    """A completion that is still arriving."""

    # Pieces of text.
    pieces: list[str] = attrs.field(factory=list)
    # Version and token count, by run of the same version.
    runs: list[list[int]] = attrs.field(factory=list)
    # Token count that the engine gave at the end.
    announced_tokens: int | None = None

    def add(self, event: dict[str, Any]) -> tuple[int, int]:
        """Take one event in; return its version and token count."""
        choice = event["choices"][0]
        version, tokens = int(event["model_version"]), int(event["token_count"])
        self.pieces.append(choice["text"])
        if self.runs and self.runs[-1][0] == version:
            self.runs[-1][1] += tokens
        elif tokens:
            self.runs.append([version, tokens])
        if choice.get("finish_reason"):
            self.announced_tokens = int(event["usage"]["completion_tokens"])
        return version, tokens

    def finish(self, saw_done: bool) -> Completion | Refusal:
        """Return the completion if nothing of it is missing."""
        tokens = sum(count for _version, count in self.runs)
        if not saw_done or self.announced_tokens != tokens or not tokens:
            reason = f"completion ended after {tokens} tokens"
            return refuse(ErrorKind.ANSWER_TRUNCATED, reason)
        spans = tuple(VersionSpan(version, count) for version, count in self.runs)
        return Completion("".join(self.pieces), spans)


class InstanceClient:
    """The HTTP interface of one instance."""

    def __init__(self, base_url: str, connections: int) -> None:
        self._http = HttpSession(base_url, connections)

    def call(
        self,
        operation: str,
        payload: bytes,
        request_id: str,
        timeout_s: float,
        traceparent: str,
    ) -> HttpReply | Refusal:
        """Run one operation of a plain service and return the whole answer."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
            "traceparent": traceparent,
        }
        reply = self._http.request(
            "POST", f"/operations/{operation}", timeout_s, payload, headers
        )
        if isinstance(reply, Refusal):
            return _call_refusal(reply)
        return _whole_reply(reply, request_id)

    def complete(
        self, request: CompletionRequest, timeout_s: float, progress: Progress
    ) -> Completion | Refusal:
        """Stream a completion; return it whole."""
        reply = self._http.stream("/v1/completions", request.body(), timeout_s)
        if isinstance(reply, Refusal):
            return _call_refusal(reply)
        try:
            if reply.status != 200:
                return _engine_refusal(reply.status)
            return _read_completion(reply, progress)
        except (HTTPError, OSError) as error:
            reason = f"stream broke: {type(error).__name__}: {error}"
            return refuse(ErrorKind.ANSWER_TRUNCATED, reason)
        except (ValueError, KeyError, TypeError, IndexError) as error:
            return refuse(ErrorKind.ANSWER_TRUNCATED, f"event unreadable: {error!r}")
        finally:
            reply.close()

    def cancel(self, request_id: str) -> None:
        """Tell the engine that nobody waits for a request."""
        body = json.dumps({"request_id": request_id}).encode()
        self._http.request("POST", "/cancel", _CANCEL_TIMEOUT_S, body)

    def send_weights(
        self, model: str, version: int, offset: int, data: bytes
    ) -> HttpReply | Refusal:
        """Hand a piece of weights to the engine."""
        path = f"/weights/{model}/{version}?offset={offset}"
        return self._http.request("PUT", path, _ORDER_TIMEOUT_S, data)

    def order_version(
        self, model: str, version: int, digest: str, fence: int
    ) -> HttpReply | Refusal:
        """Order the engine to use a version that it was sent."""
        fields = {
            "model": model,
            "version": version,
            "digest": digest,
            "fence": fence,
        }
        body = json.dumps(fields).encode()
        return self._http.request("POST", "/orders", _ORDER_TIMEOUT_S, body)


def _call_refusal(refusal: Refusal) -> Refusal:
    if refusal.did_not_run:
        return refuse(ErrorKind.NO_UPSTREAM, refusal.reason)
    return refuse(ErrorKind.UPSTREAM_LOST, refusal.reason)


def _engine_refusal(status: int) -> Refusal:
    """Engines answer 503 before they start a request, and nothing else does."""
    if status == 503:
        return refuse(ErrorKind.OVERLOADED, "the engine takes no more requests")
    return refuse(ErrorKind.UPSTREAM_REJECTED, f"engine answered {status}")


def _whole_reply(reply: HttpReply, request_id: str) -> HttpReply | Refusal:
    framed = "content-length" in reply.headers or (
        reply.headers.get("transfer-encoding") == "chunked"
    )
    if not framed:
        return refuse(ErrorKind.ANSWER_TRUNCATED, "answer without a length")
    echoed = reply.headers.get("x-request-id", request_id)
    if echoed != request_id:
        return refuse(ErrorKind.ANSWER_TRUNCATED, "answer to another request")
    try:
        reply.json()
    except ValueError:
        return refuse(ErrorKind.ANSWER_TRUNCATED, "answer is not JSON")
    return reply


def _read_completion(
    reply: urllib3.BaseHTTPResponse, progress: Progress
) -> Completion | Refusal:
    assembly = _Assembly()
    for data in _events(reply):
        if data == _DONE:
            return assembly.finish(saw_done=True)
        version, tokens = assembly.add(json.loads(data))
        if not progress(version, tokens):
            return refuse(ErrorKind.CANCELLED, "nobody waits for this completion")
    return assembly.finish(saw_done=False)


def _events(reply: urllib3.BaseHTTPResponse) -> Iterator[str]:
    """Yield the data of each server-sent event."""
    rest = b""
    for chunk in reply.stream(_READ_BYTES):
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            if line.startswith(b"data: "):
                yield line.removeprefix(b"data: ").strip().decode()
