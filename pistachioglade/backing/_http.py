"""HTTP requests with urllib3, without the library's own retries."""

from __future__ import annotations

import json
from typing import Any

import attrs
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from ..errors import ErrorKind, Refusal, refuse


@attrs.frozen
class HttpReply:
    """A complete HTTP reply."""

    # HTTP status code.
    status: int
    # Complete body.
    body: bytes
    # Header fields, names in lower case.
    headers: dict[str, str]

    def json(self) -> Any:
        """Return the body as JSON data."""
        return json.loads(self.body)


class HttpSession:
    """A connection pool for one server."""

    def __init__(self, base_url: str, connections: int = 8) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = urllib3.PoolManager(
            maxsize=connections, block=False, retries=False, num_pools=2
        )

    def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpReply | Refusal:
        """Return the reply, or a refusal that says whether the request was sent."""
        try:
            reply = self._pool.request(
                method,
                self._base_url + path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=min(timeout_s, 2.0), read=timeout_s),
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return refuse(ErrorKind.LINK_NOT_OPEN, f"no connection: {error}")
        except HTTPError as error:
            return refuse(ErrorKind.LINK_LOST, f"{type(error).__name__}: {error}")
        fields = {name.lower(): value for name, value in reply.headers.items()}
        return HttpReply(reply.status, reply.data, fields)

    def stream(
        self, path: str, body: bytes, timeout_s: float
    ) -> urllib3.BaseHTTPResponse | Refusal:
        """Send a POST request; return the reply with its body unread."""
        try:
            return self._pool.request(
                "POST",
                self._base_url + path,
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=min(timeout_s, 2.0), read=timeout_s),
                preload_content=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return refuse(ErrorKind.LINK_NOT_OPEN, f"no connection: {error}")
        except HTTPError as error:
            return refuse(ErrorKind.LINK_LOST, f"{type(error).__name__}: {error}")
