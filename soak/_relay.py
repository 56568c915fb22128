"""A loopback relay that can delay, reset, refuse or block its connections."""

from __future__ import annotations

import asyncio
from enum import Enum

_CHUNK_BYTES = 65536


class RelayMode(Enum):
    """What a relay does with its connections and their data."""

    # Data pass unchanged.
    OPEN = "open"
    # Each chunk is delayed.
    DELAY = "delay"
    # Open and new connections are reset.
    RESET = "reset"
    # Connections stay open, but no data pass in either direction.
    SILENT = "silent"
    # Requests pass, answers don't.
    ONE_WAY = "one-way"


class Relay:
    """Forwards connections from a loopback port to a target port."""

    def __init__(self, target_port: int, delay_s: float = 0.15) -> None:
        self.target_port = target_port
        self.port = 0
        self._delay_s = delay_s
        self._mode = RelayMode.OPEN
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(
            self._forward_connection, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def set_mode(self, mode: RelayMode) -> None:
        """Change the mode for open and new connections."""
        self._mode = mode
        self._changed.set()
        self._changed = asyncio.Event()
        if mode is RelayMode.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset every open connection, once."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is RelayMode.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, is_answer=False),
                self._pump(far_reader, writer, is_answer=True),
            )
        finally:
            self._writers -= {writer, far_writer}

    def _is_blocked(self, is_answer: bool) -> bool:
        if self._mode is RelayMode.SILENT:
            return True
        return is_answer and self._mode is RelayMode.ONE_WAY

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                while self._is_blocked(is_answer):
                    await self._changed.wait()
                if self._mode is RelayMode.DELAY:
                    await asyncio.sleep(self._delay_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            # The other pump of the pair then fails as well.
            writer.transport.abort()
        finally:
            writer.close()
