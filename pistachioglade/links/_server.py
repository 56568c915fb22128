"""The server side of links."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final

import attrs
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed
from websockets.http11 import Request, Response

from ..errors import ErrorKind, Refusal, refuse
from ..logs import logger
from ..messages import MAX_FRAME_BYTES, decode_frame, encode_frame
from ._client import PING_INTERVAL_S, PING_TIMEOUT_S
from ._identity import Identity
from ._traffic import Traffic

_log = logger(__name__)

#: Number of requests of one link that are handled concurrently.
MAX_CONCURRENT: Final = 20_000


@attrs.frozen
class Peer:
    """The node at the other end of a link."""

    # Node id, authenticated when the link was opened.
    node: str


#: Answers one message of a peer.
LinkHandler = Callable[[Any, Peer], Awaitable[Any]]


class LinkServer:
    """Listens for links and passes their messages to one handler."""

    def __init__(
        self, identity: Identity, handler: LinkHandler, traffic: Traffic | None = None
    ) -> None:
        self._identity = identity
        self._traffic = traffic or Traffic()
        self._handler = handler
        self._server: Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str) -> None:
        """Listen at ``address``, in the form ``host:port``."""
        host, _, port = address.rpartition(":")
        self._server = await serve(
            self._serve_link,
            host,
            int(port),
            process_request=self._check_peer,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=1.0,
        )

    def _check_peer(
        self, connection: ServerConnection, request: Request
    ) -> Response | None:
        verdict = self._identity.verify(request.headers)
        if isinstance(verdict, Refusal):
            _log.warning("link.refused", reason=verdict.reason)
            return connection.respond(HTTPStatus(verdict.status), verdict.reason + "\n")
        return None

    async def _serve_link(self, connection: ServerConnection) -> None:
        request = connection.request
        assert request is not None
        node = self._identity.verify(request.headers)
        assert isinstance(node, str)
        limit = asyncio.Semaphore(MAX_CONCURRENT)
        try:
            async for frame in connection:
                await limit.acquire()
                task = asyncio.create_task(self._answer(connection, Peer(node), frame))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                task.add_done_callback(lambda _task: limit.release())
        except ConnectionClosed:
            pass

    async def _answer(
        self, connection: ServerConnection, peer: Peer, frame: str | bytes
    ) -> None:
        data = frame if isinstance(frame, bytes) else frame.encode()
        self._traffic.count(data)
        envelope = decode_frame(data)
        if isinstance(envelope, Refusal):
            _log.warning("link.bad_frame", peer=peer.node, reason=envelope.reason)
            answer: Any = envelope
            correlation_id = 0
        else:
            correlation_id = envelope.correlation_id
            answer = await self._handle(envelope.message, peer)
        reply = encode_frame(correlation_id, answer)
        self._traffic.count(reply)
        try:
            await connection.send(reply)
        except ConnectionClosed:
            _log.info("link.answer_lost", peer=peer.node, kind=type(answer).__name__)

    async def _handle(self, message: Any, peer: Peer) -> Any:
        try:
            return await self._handler(message, peer)
        except Exception as error:  # a fault in one request must not end the link
            _log.exception("link.handler_failed", kind=type(message).__name__)
            return refuse(ErrorKind.INTERNAL, f"{type(error).__name__}: {error}")

    async def drain(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` for the requests in flight."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=timeout_s)

    async def close(self) -> None:
        """Close every link and stop listening."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
