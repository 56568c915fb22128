"""What a handler of the server gets: limits on clients and the answer to send."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import attrs

from ._messages import Fields, Request, Response, head_bytes, reason_phrase

if TYPE_CHECKING:
    from ._server_connection import ServerConnection

#: Bytes of an answer that are written at once. The transport copies what it can't send,
#: so a large answer written as a whole would be held three times for a moment.
_PIECE_BYTES: Final = 256 * 1024


@attrs.frozen
class ServerLimits:
    """Size and time limits on clients."""

    # Largest head of a request, in bytes.
    max_header_bytes: int = 16384
    # Largest body of a request, in bytes.
    max_body_bytes: int = 32 * 1024 * 1024
    # Time within which a request's head must arrive, in seconds.
    header_timeout_s: float = 3.0
    # Time for which a connection may be idle, in seconds.
    idle_timeout_s: float = 15.0


class Reply:
    """Sends the answer to one request, as a whole or in parts."""

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection
        self.is_started = False
        self.is_finished = False

    def send(self, response: Response) -> None:
        """Send a complete answer."""
        length = ("Content-Length", str(len(response.body)))
        self._send_head(response.status, (*response.fields, length))
        body = memoryview(response.body)
        for begin in range(0, len(body), _PIECE_BYTES):
            self._connection.write(body[begin : begin + _PIECE_BYTES])
        self.is_finished = True

    def begin(self, status: int, fields: Fields) -> None:
        """Send the head of an answer whose body is sent in parts."""
        self._send_head(status, (*fields, ("Transfer-Encoding", "chunked")))

    async def write(self, part: bytes) -> None:
        """Send a part of the body; wait while the write buffer is full."""
        self._connection.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
        await self._connection.wait_until_writable()

    def finish(self) -> None:
        """End an answer whose body was sent in parts."""
        self._connection.write(b"0\r\n\r\n")
        self.is_finished = True

    def _send_head(self, status: int, fields: Fields) -> None:
        self.is_started = True
        closing = (("Connection", "close"),) if self._connection.is_ending else ()
        line = f"HTTP/1.1 {status} {reason_phrase(status)}"
        self._connection.write(head_bytes(line, (*fields, *closing)))


#: Answers one request. The handler is cancelled when the client disconnects.
Handler = Callable[[Request, Reply], Awaitable[None]]
