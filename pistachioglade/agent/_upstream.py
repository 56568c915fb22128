"""HTTP client of one instance: complete answers, streamed completions, orders.

The functions block; the agent runs them in threads. An answer counts as complete
only if its length was announced and matches, its body is JSON, and it carries the
id of its own request wherever the instance returns an id.
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
#: Priorities that engines honour; a lower number runs first.
CALL_PRIORITY: Final = 0
ROLLOUT_PRIORITY: Final = 10


@attrs.frozen
class Completion:
    """A complete completion."""

    # Generated text.
    text: str
    # Weight versions that generated the text, in token order.
    spans: tuple[VersionSpan, ...]


@attrs.frozen
class CompletionRequest:
    """The request for a completion that is sent to an engine."""

    # Unique id, used to cancel the request and in the engine's records.
    request_id: str
    # Model to use.
    model: str
    # Prompt text.
    prompt: str
    # Maximum number of tokens.
    max_tokens: int
    # Seed of the sampler.
    seed: int
    # Priority; a lower number runs first.
    priority: int
    # W3C trace context.
    traceparent: str = ""

    def body(self) -> bytes:
        """Return the JSON body of the completion protocol."""
        fields = {**attrs.asdict(self), "stream": True}
        return json.dumps(fields).encode()


#: Receives the version and the token count of one event; False stops the completion.
Progress = Callable[[int, int], bool]


@attrs.define
class _Assembly:
    """The events of a completion that is still being received."""

    # Text of each event.
    pieces: list[str] = attrs.field(factory=list)
    # Version and token count of each run of tokens with the same version.
    runs: list[list[int]] = attrs.field(factory=list)
    # Token count in the final event; None before that event.
    announced_tokens: int | None = None

    def add(self, event: dict[str, Any]) -> tuple[int, int]:
        """Add one event; return its version and token count."""
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
        """Return the completion, or a refusal if a part of it is missing."""
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
        """Run one operation of a plain service and return the complete answer."""
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
        return _check_reply(reply, request_id)

    def complete(
        self, request: CompletionRequest, timeout_s: float, progress: Progress
    ) -> Completion | Refusal:
        """Stream a completion; return it once it is complete."""
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
        """Cancel a request at the engine."""
        body = json.dumps({"request_id": request_id}).encode()
        self._http.request("POST", "/cancel", _CANCEL_TIMEOUT_S, body)

    def send_weights(
        self, model: str, version: int, offset: int, data: bytes
    ) -> HttpReply | Refusal:
        """Send one chunk of weights to the engine."""
        path = f"/weights/{model}/{version}?offset={offset}"
        return self._http.request("PUT", path, _ORDER_TIMEOUT_S, data)

    def order_version(
        self, model: str, version: int, digest: str, fence: int
    ) -> HttpReply | Refusal:
        """Order the engine to use a version whose weights it has received."""
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
    """Translate an error status; engines send 503 only before a request starts."""
    if status == 503:
        return refuse(ErrorKind.OVERLOADED, "the engine takes no more requests")
    return refuse(ErrorKind.UPSTREAM_REJECTED, f"engine answered {status}")


def _check_reply(reply: HttpReply, request_id: str) -> HttpReply | Refusal:
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
    remainder = b""
    for chunk in reply.stream(_READ_BYTES):
        *lines, remainder = (remainder + chunk).split(b"\n")
        for line in lines:
            if line.startswith(b"data: "):
                yield line.removeprefix(b"data: ").strip().decode()
