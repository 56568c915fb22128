"""The calling end of links: one connection for each peer, opened when needed."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import Any, Final

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from ..errors import ErrorKind, Refusal, refuse
from ..logs import logger
from ..messages import MAX_FRAME_BYTES, decode_frame, encode_frame
from ._identity import Identity
from ._traffic import Traffic

_log = logger(__name__)

#: Time that opening a link may take.
OPEN_TIMEOUT_S: Final = 2.0
#: Time between keep-alive pings, which find half-open connections.
PING_INTERVAL_S: Final = 3.0
#: Time that a ping may stay without an answer.
PING_TIMEOUT_S: Final = 3.0


class Link:
    """One open connection to a peer; answers are matched by correlation id."""

    def __init__(self, connection: ClientConnection, traffic: Traffic) -> None:
        self._traffic = traffic
        self._connection = connection
        self._ids = count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._reader = asyncio.create_task(self._read())
        self.is_open = True

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Send a message and return its answer, or a :class:`Refusal`."""
        if not self.is_open:
            return refuse(ErrorKind.LINK_NOT_OPEN, "the link is closed")
        number = next(self._ids)
        frame = encode_frame(number, message)
        if len(frame) > MAX_FRAME_BYTES:
            return refuse(ErrorKind.TOO_LARGE, f"frame of {len(frame)} bytes")
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            async with asyncio.timeout(timeout_s):
                self._traffic.count(frame)
                await self._connection.send(frame)
                return await future
        except TimeoutError:
            reason = f"no answer within {timeout_s:.2f} s"
            return refuse(ErrorKind.DEADLINE_EXCEEDED, reason)
        except ConnectionClosed as error:
            return refuse(ErrorKind.LINK_LOST, f"link lost: {error}")
        finally:
            self._waiting.pop(number, None)

    async def _read(self) -> None:
        try:
            async for frame in self._connection:
                self._accept(frame)
        except ConnectionClosed:
            pass
        finally:
            self._fail_waiting()

    def _accept(self, frame: str | bytes) -> None:
        data = frame if isinstance(frame, bytes) else frame.encode()
        self._traffic.count(data)
        envelope = decode_frame(data)
        if isinstance(envelope, Refusal):
            _log.warning("link.bad_frame", reason=envelope.reason)
            return
        future = self._waiting.get(envelope.correlation_id)
        if future is not None and not future.done():
            future.set_result(envelope.message)

    def _fail_waiting(self) -> None:
        self.is_open = False
        for future in self._waiting.values():
            if not future.done():
                future.set_result(refuse(ErrorKind.LINK_LOST, "the link was lost"))

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()
        await asyncio.gather(self._reader, return_exceptions=True)


class LinkPool:
    """Links by address."""

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self.traffic = Traffic()
        self._links: dict[str, Link] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a message to ``address``; return the answer or a refusal."""
        link = self._links.get(address)
        if link is None or not link.is_open:
            opened = await self._open(address, min(timeout_s, OPEN_TIMEOUT_S))
            if isinstance(opened, Refusal):
                return opened
            link = opened
        return await link.call(message, timeout_s)

    async def _open(self, address: str, timeout_s: float) -> Link | Refusal:
        lock = self._locks.setdefault(address, asyncio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is not None and link.is_open:
                return link
            result = await self._connect(address, timeout_s)
            if isinstance(result, Link):
                self._links[address] = result
            return result

    async def _connect(self, address: str, timeout_s: float) -> Link | Refusal:
        try:
            connection = await connect(
                f"ws://{address}",
                additional_headers=self._identity.headers(),
                compression=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=timeout_s,
                close_timeout=1.0,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                proxy=None,
            )
        except ConnectionRefusedError as error:
            # The machine answers, and no process listens there.
            return refuse(ErrorKind.LINK_REFUSED, f"no link to {address}: {error}")
        except (OSError, TimeoutError, WebSocketException) as error:
            reason = f"no link to {address}: {type(error).__name__}: {error}"
            return refuse(ErrorKind.LINK_NOT_OPEN, reason)
        return Link(connection, self.traffic)

    async def forget(self, address: str) -> None:
        """Close the link to an address that is no longer needed."""
        link = self._links.pop(address, None)
        self._locks.pop(address, None)
        if link is not None:
            await link.close()

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses with a link."""
        return tuple(self._links)

    async def close(self) -> None:
        """Close every link."""
        await asyncio.gather(*map(self.forget, self.addresses()))
