"""The answer to one request at a client connection, while it arrives."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from io import BytesIO
from typing import TYPE_CHECKING, Final

from ..decisions import MemoryUse
from ..errors import ErrorKind, Refusal, refuse
from ._memory import Memory
from ._messages import Response, ResponseHead

if TYPE_CHECKING:
    from ._client import ClientConnection

#: Buffered bytes of a body above which reading from the peer pauses.
_HIGH_WATER_BYTES: Final = 512 * 1024
#: Bytes of a refusal's body that are read so that its connection can be reused. A body
#: of this size takes less time than opening a connection.
_MAX_DISCARDED_BYTES: Final = 64 * 1024


#: Largest body of an answer that is read as a whole, in bytes: twice the largest
#: message that the platform documents, such as a page of a list. Twenty such bodies at
#: once stay within the memory budget of a machine of 160 MB.
MAX_ANSWER_BYTES: Final = 2 * 1024 * 1024


class CloseReason(Enum):
    """Why a connection to a server was closed."""

    # The server closed it while it was idle.
    LOST_IDLE = "lost-idle"
    # It was lost during an exchange.
    LOST = "lost"
    # The server doesn't keep it after the answer.
    ENDED = "ended-by-answer"
    # The exchange was abandoned before its answer ended.
    ABORTED = "aborted"
    # It was idle for nearly as long as the server keeps it.
    EXPIRED = "expired"
    # An answer exceeded a limit.
    OVERSIZED = "oversized"
    # Other clients need the server's connections.
    OVER_LIMIT = "over-limit"
    # The server isn't used any more.
    REMOVED = "removed"


class Exchange:
    """The answer to one request while the answer arrives."""

    def __init__(self, connection: ClientConnection, memory: Memory) -> None:
        self._connection = connection
        self._memory = memory
        self._charge = memory.charge(MemoryUse.ANSWER)
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        # Bytes that are discarded since nobody reads them; None while the answer is
        # read.
        self._discarded: int | None = None
        self._waiter: asyncio.Future[None] | None = None
        # Status line and header fields; None until they have arrived.
        self.response: ResponseHead | None = None
        # Whether the answer is complete according to its framing.
        self.is_complete = False
        # Reason why the answer can't be completed; None while it can.
        self.failure: Refusal | None = None
        # Whether the answer has a length or chunks. Without either, a lost connection
        # looks like the end of the answer.
        self.is_framed = True

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def on_head(self, response: ResponseHead, is_framed: bool) -> None:
        """Store the status line and header fields."""
        self.response = response
        self.is_framed = is_framed
        self._wake()

    def on_chunk(self, chunk: bytes) -> None:
        """Buffer a part of the body."""
        if self._discarded is not None:
            self._discarded += len(chunk)
            if self._discarded > _MAX_DISCARDED_BYTES:
                self._connection.close()
            return
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        self._memory.enter(self)
        self._charge.add(len(chunk))
        self.update_reading()
        self._wake()

    def on_complete(self) -> None:
        """Mark the answer as complete; the connection notices its end from now on."""
        self.is_complete = True
        self._connection.resume()
        self._wake()

    @property
    def held_bytes(self) -> int:
        """Bytes of the answer that are held."""
        return self._charge.size_bytes

    def update_reading(self) -> None:
        """Pause or resume reading from the server."""
        if self.is_complete or self.failure is not None:
            return
        if self._buffered > _HIGH_WATER_BYTES or not self._memory.may_read(self):
            self._connection.pause()
        else:
            self._connection.resume()

    def release(self) -> None:
        """Return the memory of the answer to the budget."""
        self._charge.release()
        self._memory.leave(self)

    def on_failure(self, failure: Refusal) -> None:
        """Record why the exchange failed, unless the answer is complete."""
        if not self.is_complete and self.failure is None:
            self.failure = failure
            self._wake()

    @property
    def is_discarded(self) -> bool:
        """Whether the rest of the answer is discarded."""
        return self._discarded is not None

    async def head(self) -> ResponseHead | Refusal:
        """Wait for the status line and header fields, and return them."""
        while self.response is None:
            if self.failure is not None:
                return self.failure
            await self._wait()
        return self.response

    async def read(self) -> bytes | Refusal | None:
        """Return the next part of the body; None at the end of the body."""
        chunk = await self._next_chunk()
        if isinstance(chunk, bytes):
            self._charge.add(-len(chunk))
            if not self.held_bytes:
                self._memory.leave(self)
            self.update_reading()
        return chunk

    async def _next_chunk(self) -> bytes | Refusal | None:
        while not self._chunks:
            if self.is_complete:
                return None
            if self.failure is not None:
                return self.failure
            await self._wait()
        chunk = self._chunks.popleft()
        self._buffered -= len(chunk)
        self.update_reading()
        return chunk

    async def read_response(
        self, max_body_bytes: int = MAX_ANSWER_BYTES
    ) -> Response | Refusal:
        """Read the answer to its end and return it.

        Its parts count as held until the connection is released. An answer whose body
        exceeds the limit closes the connection; its request may have run.
        """
        head = await self.head()
        if isinstance(head, Refusal):
            return head
        declared = head.field("content-length") or ""
        if declared.isdecimal() and int(declared) > max_body_bytes:
            return self._refuse_oversized(max_body_bytes)
        # Unlike a list of parts, whose concatenation holds the body twice.
        body = BytesIO()
        while True:
            chunk = await self._next_chunk()
            if isinstance(chunk, Refusal):
                return chunk
            if chunk is None:
                return Response(head.status, head.fields, body.getvalue())
            body.write(chunk)
            if body.tell() > max_body_bytes:
                return self._refuse_oversized(max_body_bytes)

    def _refuse_oversized(self, max_body_bytes: int) -> Refusal:
        self._connection.close(CloseReason.OVERSIZED)
        reason = f"an answer of over {max_body_bytes} bytes"
        return refuse(ErrorKind.UPSTREAM_LOST, reason)

    def close(self) -> None:
        """Close the connection, since its bytes can't be told apart any more."""
        self._connection.close()

    def abort(self) -> None:
        """Abandon the exchange; close its connection unless that can be reused.

        An answer other than 200 is a short one about a request that has ended. Its rest
        is discarded, which costs less than another connection.
        """
        if self.is_complete and self._connection.is_reusable:
            return
        head = self.response
        if self.failure is not None or head is None or head.status == 200:
            self._connection.close()
        elif not self.is_complete:
            self._discarded = self._buffered
            self._chunks.clear()
            self.release()
            self._connection.resume()
