"""Server that answers with scripted bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

T = TypeVar("T")


class ScriptedServer:
    """Answers the n-th request with the n-th script of byte strings.

    An empty byte string in a script closes the connection.
    """

    def __init__(self, scripts: Sequence[Sequence[bytes]]) -> None:
        self._scripts = list(scripts)
        self.requests: list[bytes] = []
        self.connections = 0
        self.port = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        while self._scripts:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            length = next(
                (
                    int(line.split(b":")[1])
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length")
                ),
                0,
            )
            self.requests.append(head + await reader.readexactly(length))
            script = self._scripts.pop(0)
            for part in script:
                if not part:
                    writer.close()
                    return
                writer.write(part)
                await writer.drain()
        else:
            await asyncio.sleep(3600)
        writer.close()

    async def __aenter__(self) -> ScriptedServer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()


def run(work: Callable[[], Awaitable[T]]) -> T:
    """Run a coroutine function to its end; a timeout of 30 s ends a test that hangs."""

    async def bounded() -> T:
        async with asyncio.timeout(30.0):
            return await work()

    return asyncio.run(bounded())
