"""Answers on their way to a client, and how the client gets on with reading them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ..decisions import Holding, MemoryUse, TransferProgress
from ._client import set_silence_timeout
from ._memory import Memory

#: Bounds of the transport's write buffer at which writers wait and continue, in bytes,
#: unless the memory budget has room for more. They are the transport's own.
_WRITE_BUFFER_BYTES: Final = (64 * 1024, 16 * 1024)
#: Time for which a client may read nothing of its answer, in milliseconds: as long as
#: a connection may be idle by default.
_SLOW_READER_TIMEOUT_MS: Final = 15_000


class Outgoing:
    """Writes to a client and counts what the client hasn't read."""

    def __init__(self, memory: Memory, now_s: Callable[[], float]) -> None:
        self._memory = memory
        self._now_s = now_s
        self._transport: asyncio.Transport | None = None
        self._unsent = memory.charge(MemoryUse.UNSENT)
        self._written_bytes = 0
        self._progress = TransferProgress(now_s())
        # Whether the client may read nothing for ``_SLOW_READER_TIMEOUT_MS``.
        self._is_tolerated = False
        # Whether the write buffer has room.
        self.is_writable = asyncio.Event()
        self.is_writable.set()

    def open(self, transport: asyncio.Transport) -> None:
        """Write to a transport from now on."""
        self._transport = transport

    def end(self) -> None:
        """Return the memory, and let waiting writers find the connection lost."""
        self.is_writable.set()
        self._unsent.release()

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._written_bytes += len(data)
            self._transport.write(data)
            self.count_unsent()

    def count_unsent(self) -> None:
        """Count what the client hasn't read of the answers."""
        if self._transport is None:
            return
        size_bytes, now_s = self._transport.get_write_buffer_size(), self._now_s()
        read_bytes = self._written_bytes - size_bytes
        if self._unsent.size_bytes:
            self._progress.record(read_bytes, size_bytes, now_s)
        else:
            self._progress = TransferProgress(now_s, read_bytes)
        self._unsent.set(size_bytes)
        self._tolerate_slow_reader()

    def holding(self, now_s: float) -> Holding:
        """Return what unread answers hold, and for how long nothing was read."""
        return Holding(self._unsent.size_bytes, now_s - self._progress.since_s)

    def drop(self) -> None:
        """Count nothing more, since the connection is ended."""
        self._unsent.set(0)

    def apply_memory_state(self) -> None:
        """Let writers get ahead of the client as the memory budget allows."""
        assert self._transport is not None
        part_bytes = self._memory.budget.stream_part_bytes
        high, low = _WRITE_BUFFER_BYTES
        if part_bytes is not None and part_bytes > high:
            high, low = part_bytes, part_bytes // 2
        self._transport.set_write_buffer_limits(high, low)
        self._tolerate_slow_reader()

    def _tolerate_slow_reader(self) -> None:
        """Give a client that has yet to read more time than a silent one.

        The kernel can't tell the one from the other and would end the connection of a
        client that reads nothing for some seconds, with the answer lost. Near the
        budget this is right, since such a client holds memory.
        """
        is_near = self._memory.budget.state.is_near
        is_tolerated = self._unsent.size_bytes > 0 and not is_near
        if is_tolerated is self._is_tolerated or self._transport is None:
            return
        self._is_tolerated = is_tolerated
        if is_tolerated:
            set_silence_timeout(self._transport, _SLOW_READER_TIMEOUT_MS)
        else:
            set_silence_timeout(self._transport)
