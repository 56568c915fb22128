"""The entry's program: composition root, start and planned stop."""

from __future__ import annotations

import asyncio
import signal
import threading
import time
from collections.abc import Iterable
from typing import Any, Final

import click
from cheroot.wsgi import Server

from ..config import EntrySettings, read_secret
from ..controllers import LEAVING, Node, run_program
from ..errors import ErrorKind, Refusal, refuse
from ..links import LinkServer, Peer
from ..messages import Acknowledged, DrainNode, GetStatus, NodeRole
from ..telemetry import logger
from ._auth import Authenticator
from ._http import Response, read_request, refusal_response, status_line
from ._routes import Routes

_log = logger(__name__)

_DRAIN_BOUND_S: Final = 40.0
_DRAIN_POLL_S: Final = 0.05
#: Time for which a leaving entry still sends refusals, so that the load balancer
#: notices the refusals, in seconds.
_LINGER_S: Final = 0.5
#: Threads reserved for refusals, so that refusals are sent at once under full load.
_SPARE_THREADS: Final = 8


class Entry:
    """The components of one entry and its HTTP server."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self.node = Node(settings.common, NodeRole.ENTRY, "")
        token = read_secret(settings.operator_token_file)
        self._routes = Routes(
            self.node, Authenticator(token), settings.default_budget_s
        )
        self._links = LinkServer(
            self.node.identity, self.handle, self.node.pool.traffic
        )
        host, _, port = settings.http_address.rpartition(":")
        self._http = Server(
            (host, int(port)),
            self._serve,
            numthreads=settings.http_threads,
            max=settings.http_threads,
            request_queue_size=512,
            timeout=60,
        )
        self._http.max_request_body_size = settings.max_body_bytes * 4
        self._in_flight = 0
        self._lock = threading.Lock()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._drain_requested = asyncio.Event()

    async def handle(self, message: Any, peer: Peer) -> Any:
        """Answer a message from a peer."""
        if isinstance(message, DrainNode):
            self.begin_drain()
            return Acknowledged()
        if isinstance(message, GetStatus):
            return self._routes.own_status()
        return await self.node.handle(message, peer)

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one request; runs in a thread of the HTTP server."""
        with self._lock:
            self._in_flight += 1
            is_full = self._in_flight > self._settings.http_threads - _SPARE_THREADS
        try:
            response = self._answer(environ, is_full)
        finally:
            with self._lock:
                self._in_flight -= 1
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start_response(status_line(response.status), headers)
        return [response.body]

    def _answer(self, environ: dict[str, Any], is_full: bool) -> Response:
        request = read_request(environ, self._settings.max_body_bytes)
        if isinstance(request, Refusal):
            return refusal_response(request)
        if is_full:
            reason = "the entry has as many requests as it takes"
            refusal = refuse(ErrorKind.OVERLOADED, reason)
            is_keyed = bool(request.idempotency_key)
            return refusal_response(
                refusal.with_unknown_execution() if is_keyed else refusal
            )
        assert self._loop is not None
        future = asyncio.run_coroutine_threadsafe(
            self._routes.answer(request), self._loop
        )
        try:
            return future.result()
        except Exception as error:  # one failed request must not end the thread
            _log.exception("request.failed", path="/".join(request.path))
            reason = f"{type(error).__name__}: {error}"
            return refusal_response(refuse(ErrorKind.INTERNAL, reason))

    def begin_drain(self) -> None:
        """Start the planned stop: refuse new work; idempotent."""
        self.node.leave()
        self._drain_requested.set()

    async def run(self) -> None:
        """Serve until a planned stop is requested, then drain and close."""
        self._loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.begin_drain)
        await self.node.start(self._links)
        self.node.root.watch()
        self.node.spawn(self._routes.usage.run())
        self._http.prepare()
        thread = threading.Thread(target=self._http.serve, daemon=True)
        thread.start()
        _log.info("entry.started", address=self._settings.http_address)
        await self._drain_requested.wait()
        await self._drain(thread)

    async def _drain(self, thread: threading.Thread) -> None:
        """Finish in-flight requests, write the usage records, then close."""
        await asyncio.sleep(_LINGER_S)
        deadline_s = time.monotonic() + _DRAIN_BOUND_S
        while self._in_flight and time.monotonic() < deadline_s:
            await asyncio.sleep(_DRAIN_POLL_S)
        await asyncio.to_thread(self._http.stop)
        await asyncio.to_thread(thread.join, 2.0)
        await self._routes.usage.flush()
        await self._links.close()
        await self.node.close()
        _log.info("entry.stopped", leaving=self.node.board.read(LEAVING))


@click.command()
@click.option("--settings", "path", required=True, help="YAML file of this entry.")
@click.option("--check-settings", is_flag=True, help="Check the file and stop.")
def main(path: str, check_settings: bool) -> None:
    """Run an entry for callers, trainers and operators."""
    run_program("entry", path, EntrySettings, _serve, check_settings)


async def _serve(settings: EntrySettings) -> None:
    await Entry(settings).run()
