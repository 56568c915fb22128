"""Requests and responses, independent of the WSGI calling convention."""

from __future__ import annotations

import json
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import parse_qs

import attrs

from ..errors import ErrorKind, Refusal, refuse

JSON_TYPE: Final = "application/json"


@attrs.frozen
class Request:
    """One HTTP request with its complete body."""

    # HTTP method.
    method: str
    # Path segments.
    path: tuple[str, ...]
    # Query fields; the last value of a repeated name counts.
    query: dict[str, str]
    # Bearer token; empty if absent.
    token: str
    # Complete body.
    body: bytes
    # Header Idempotency-Key; empty if absent.
    idempotency_key: str = ""
    # Header Budget-S: time for which the caller waits; None for the default.
    budget_s: float | None = None
    # Header traceparent; empty if absent.
    traceparent: str = ""

    def json(self) -> dict[str, Any] | Refusal:
        """Return the body as a JSON object."""
        try:
            fields = json.loads(self.body)
        except (ValueError, RecursionError):
            return refuse(ErrorKind.BAD_REQUEST, "the body is not JSON")
        if not isinstance(fields, dict):
            return refuse(ErrorKind.BAD_REQUEST, "the body is not a JSON object")
        return fields


@attrs.frozen
class Response:
    """One complete HTTP response."""

    # HTTP status code.
    status: int
    # Complete body.
    body: bytes
    # Header fields besides length and type.
    headers: tuple[tuple[str, str], ...] = ()
    # Content type.
    content_type: str = JSON_TYPE


def json_response(
    status: int, fields: Any, headers: Iterable[tuple[str, str]] = ()
) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(fields).encode() + b"\n", tuple(headers))


def refusal_response(refusal: Refusal) -> Response:
    """Return the response for a refused request."""
    fields = {
        "error": refusal.kind.value,
        "reason": refusal.reason,
        "execution": refusal.execution.value,
        "retry_after_s": refusal.retry_after_s,
    }
    headers = [("Execution", refusal.execution.value)]
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", f"{max(1, round(refusal.retry_after_s))}"))
    return json_response(refusal.status, fields, headers)


def read_request(environ: dict[str, Any], max_body_bytes: int) -> Request | Refusal:
    """Return the request of a WSGI environment."""
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        budget = environ.get("HTTP_BUDGET_S")
        budget_s = float(budget) if budget else None
    except ValueError:
        return refuse(ErrorKind.BAD_REQUEST, "a header is not a number")
    if budget_s is not None and not 0 < budget_s <= 3600:
        return refuse(ErrorKind.BAD_REQUEST, "Budget-S must be above 0, at most 3600")
    if length > max_body_bytes:
        return refuse(ErrorKind.TOO_LARGE, f"the body has {length} bytes")
    body = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        return refuse(ErrorKind.BAD_REQUEST, "the body was cut")
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    query = parse_qs(environ.get("QUERY_STRING", ""))
    return Request(
        method=environ["REQUEST_METHOD"],
        path=tuple(environ.get("PATH_INFO", "").strip("/").split("/")),
        query={name: values[-1] for name, values in query.items()},
        token=token.strip() if scheme.lower() == "bearer" else "",
        body=body,
        idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        budget_s=budget_s,
        traceparent=environ.get("HTTP_TRACEPARENT", ""),
    )


def status_line(status: int) -> str:
    """Return the status code with its reason phrase."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Refused"
