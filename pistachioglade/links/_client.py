"""The client side of links: one connection per peer, opened on demand."""

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

#: Timeout for opening a link.
OPEN_TIMEOUT_S: Final = 2.0
#: Interval of keep-alive pings, which detect half-open connections.
PING_INTERVAL_S: Final = 3.0
#: Time within which a ping has to be answered.
PING_TIMEOUT_S: Final = 3.0


class Link:
    """One connection to a peer; matches answers to calls by their correlation id."""

    def __init__(self, connection: ClientConnection, traffic: Traffic) -> None:
        self._traffic = traffic
        self._connection = connection
        self._ids = count(1)
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._reader = asyncio.create_task(self._read())
        self.is_open = True

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Send a message and return the answer, or a :class:`Refusal`."""
        if not self.is_open:
            return refuse(ErrorKind.LINK_NOT_OPEN, "the link is closed")
        correlation_id = next(self._ids)
        frame = encode_frame(correlation_id, message)
        if len(frame) > MAX_FRAME_BYTES:
            return refuse(ErrorKind.TOO_LARGE, f"frame of {len(frame)} bytes")
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[correlation_id] = future
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
            self._pending.pop(correlation_id, None)

    async def _read(self) -> None:
        try:
            async for frame in self._connection:
                self._resolve(frame)
        except ConnectionClosed:
            pass
        finally:
            self._fail_pending()

    def _resolve(self, frame: str | bytes) -> None:
        data = frame if isinstance(frame, bytes) else frame.encode()
        self._traffic.count(data)
        envelope = decode_frame(data)
        if isinstance(envelope, Refusal):
            _log.warning("link.bad_frame", reason=envelope.reason)
            return
        future = self._pending.get(envelope.correlation_id)
        if future is not None and not future.done():
            future.set_result(envelope.message)

    def _fail_pending(self) -> None:
        self.is_open = False
        for future in self._pending.values():
            if not future.done():
                future.set_result(refuse(ErrorKind.LINK_LOST, "the link was lost"))

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()
        await asyncio.gather(self._reader, return_exceptions=True)


class LinkPool:
    """Opens links by address and keeps them for later calls."""

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self.traffic = Traffic()
        self._links: dict[str, Link] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a message to ``address``; return the answer or a refusal.

        If no link is open, the timeout applies first to the opening of one and then to
        the answer.
        """
        link = self._links.get(address)
        if link is None or not link.is_open:
            opened = await self._open(address, min(timeout_s, OPEN_TIMEOUT_S))
            if isinstance(opened, Refusal):
                return opened
            link = opened
        return await link.call(message, timeout_s)

    async def _open(self, address: str, timeout_s: float) -> Link | Refusal:
        """Return a link to an address; concurrent calls wait for one attempt.

        The timeout includes the wait for the attempts of other calls. Calls to a silent
        peer would otherwise wait for each other's attempts in turn.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        lock = self._locks.setdefault(address, asyncio.Lock())
        try:
            async with asyncio.timeout_at(deadline_s):
                await lock.acquire()
        except TimeoutError:
            reason = f"no link to {address} within {timeout_s:.2f} s"
            return refuse(ErrorKind.LINK_NOT_OPEN, reason)
        try:
            link = self._links.get(address)
            if link is not None and link.is_open:
                return link
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            result = await self._connect(address, remaining_s)
            if isinstance(result, Link):
                self._links[address] = result
            return result
        finally:
            lock.release()

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
            # The machine is up, but no process listens on that port.
            return refuse(ErrorKind.LINK_REFUSED, f"no link to {address}: {error}")
        except (OSError, TimeoutError, ValueError, WebSocketException) as error:
            # An address from a listing may be invalid, which raises a ValueError.
            reason = f"no link to {address}: {type(error).__name__}: {error}"
            return refuse(ErrorKind.LINK_NOT_OPEN, reason)
        return Link(connection, self.traffic)

    async def close_link(self, address: str) -> None:
        """Close the link to an address that is not needed any more."""
        link = self._links.pop(address, None)
        self._locks.pop(address, None)
        if link is not None:
            await link.close()

    def open_link(self, address: str) -> Link | None:
        """Return the open link to an address; None if there is none."""
        link = self._links.get(address)
        return link if link is not None and link.is_open else None

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses that have a link."""
        return tuple(self._links)

    async def close(self) -> None:
        """Close every link."""
        await asyncio.gather(*map(self.close_link, self.addresses()))
