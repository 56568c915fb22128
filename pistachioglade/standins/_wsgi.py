"""Small JSON server on cheroot that the stand-ins are built on."""

from __future__ import annotations

import json
import signal
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final
from urllib.parse import parse_qs, unquote

import attrs
from cheroot.wsgi import Server

_THREADS: Final = 96


@attrs.frozen
class StandinRequest:
    """One HTTP request to a stand-in."""

    # HTTP method.
    method: str
    # Path, split at the slashes.
    path: tuple[str, ...]
    # Query fields.
    query: dict[str, str]
    # Complete body.
    body: bytes
    # Header fields by upper-case name with underscores.
    headers: dict[str, str]

    def json(self) -> Any:
        """Return the body as JSON data."""
        return json.loads(self.body or b"{}")


@attrs.frozen
class StandinResponse:
    """One HTTP response of a stand-in."""

    # HTTP status code.
    status: int
    # JSON data, bytes, or an iterable of bytes that is sent as a stream.
    body: Any = attrs.field(factory=dict)
    # Header fields.
    headers: tuple[tuple[str, str], ...] = ()


StandinHandler = Callable[[StandinRequest], StandinResponse]


def _parse_request(environ: dict[str, Any]) -> StandinRequest:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    query = parse_qs(environ.get("QUERY_STRING", ""))
    path = unquote(environ.get("PATH_INFO", "")).strip("/")
    headers = {
        name.removeprefix("HTTP_"): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return StandinRequest(
        environ["REQUEST_METHOD"],
        tuple(path.split("/")),
        {name: values[-1] for name, values in query.items()},
        environ["wsgi.input"].read(length) if length else b"",
        headers,
    )


def _encode_body(
    response: StandinResponse,
) -> tuple[Iterable[bytes], list[tuple[str, str]]]:
    headers = list(response.headers)
    if isinstance(response.body, dict | list):
        data = json.dumps(response.body).encode()
    elif isinstance(response.body, bytes):
        data = response.body
    else:
        return response.body, headers
    if not any(name == "Content-Length" for name, _value in headers):
        headers.append(("Content-Length", str(len(data))))
    return [data], headers


class RecordFile:
    """Appends records to a file, so that records survive a kill of the process."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._lock = threading.Lock()

    def append(self, record: dict[str, Any]) -> None:
        """Write one record before returning."""
        if self._path:
            with self._lock, open(self._path, "a", encoding="utf-8") as file:
                file.write(json.dumps(record) + "\n")


def serve(address: str, handler: StandinHandler) -> None:
    """Serve until SIGTERM or SIGINT."""
    host, _, port = address.rpartition(":")

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        response = handler(_parse_request(environ))
        pieces, headers = _encode_body(response)
        start_response(f"{response.status} Standin", headers)
        return pieces

    server = Server(
        (host, int(port)),
        application,
        numthreads=_THREADS,
        max=_THREADS,
        request_queue_size=512,
    )
    server.shutdown_timeout = 0.2
    server.prepare()
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: stopped.set())
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    stopped.wait()
    server.stop()
