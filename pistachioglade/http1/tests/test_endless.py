"""Bytes without end where an answer or a request is expected.

Guards against one faulty instance that takes the memory or the processor of an entry:
bytes of no answer came until the entry closed, in a head or in a body.
"""

from __future__ import annotations

import asyncio
import tracemalloc
from collections.abc import Iterator
from itertools import repeat
from typing import Final

import pytest

from ...errors import ErrorKind, Refusal
from .. import ClientConnection, CloseReason, HttpServer, Memory, ServerLimits
from .._client import MAX_FRAMING_BYTES
from .._exchange import MAX_ANSWER_BYTES
from .._framing import _PIECE_BYTES
from .fakes import FakeClient, FakeTransport

_HEAD: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_BLOCK: Final = 64 * 1024
#: Bytes that are offered at most before the connection has to be closed.
_OFFERED: Final = 64 * 1024 * 1024
#: Memory that the reader may take beside what it counts as held, in bytes.
_OVERHEAD_BYTES: Final = 8 * MAX_ANSWER_BYTES

#: Beginnings of an answer, what follows without end, and whether it is a body.
_ENDLESS: Final = {
    "a field without end": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * _BLOCK, False),
    "a field name without end": (b"HTTP/1.1 200 OK\r\n", b"x" * _BLOCK, False),
    "fields without end": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 10_000, False),
    "a reason without end": (b"HTTP/1.1 200 ", b"x" * _BLOCK, False),
    "empty lines": (b"", b"\r\n" * 32_768, False),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000, False),
    "interim answers with fields": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 2_000,
        False,
    ),
    "an extension of a chunk": (_HEAD + b"1;", b"x" * _BLOCK, False),
    "trailers": (_HEAD + b"1\r\na\r\n0\r\n", b"A: b\r\n" * 10_000, False),
    "a trailer without end": (_HEAD + b"1\r\na\r\n0\r\nA: ", b"x" * _BLOCK, False),
    "chunks": (_HEAD, b"8000\r\n" + b"x" * 0x8000 + b"\r\n", True),
    "chunks of a byte": (_HEAD, b"1\r\nx\r\n" * 10_000, True),
    "a body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * _BLOCK, True),
    "a body of a failure": (b"HTTP/1.1 500 No\r\n\r\n", b"x" * _BLOCK, True),
    "a length that is never reached": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"x" * _BLOCK,
        True,
    ),
}


def _pieces(begin: bytes, block: bytes, size: int) -> Iterator[bytes]:
    """Yield an answer without end in pieces of a size."""
    if begin:
        yield begin
    for part in repeat(block):
        yield from (part[at : at + size] for at in range(0, len(part), size))


async def _read_endless(
    begin: bytes, block: bytes, size: int, memory: Memory
) -> tuple[Refusal, int, list[CloseReason], int]:
    """Read an endless answer; return its refusal, the bytes fed, closes and peak."""
    connection = ClientConnection(memory)
    transport = FakeTransport(connection)
    closed: list[CloseReason] = []
    connection.on_closed = closed.append
    exchange = connection.start("GET", "/", (), b"")
    reading = asyncio.create_task(exchange.read_response())
    fed = 0
    tracemalloc.start()
    for piece in _pieces(begin, block, size):
        if transport.is_lost or fed > _OFFERED:
            break
        connection.data_received(piece)
        fed += len(piece)
        await asyncio.sleep(0)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert transport.is_lost, "not closed"
    answer = await reading
    connection.release_answer()
    assert isinstance(answer, Refusal)
    return answer, fed, closed, peak


@pytest.mark.parametrize("size", [100, _BLOCK])
@pytest.mark.parametrize("name", _ENDLESS)
def test_an_answer_without_end_closes_its_connection(name: str, size: int) -> None:
    begin, block, is_body = _ENDLESS[name]
    memory = Memory(50_000_000)
    answer, fed, closed, peak = asyncio.run(_read_endless(begin, block, size, memory))
    # The request may have run, so that it isn't sent again where that matters.
    assert answer.kind is ErrorKind.UPSTREAM_LOST
    assert not answer.did_not_run
    assert closed == [CloseReason.OVERSIZED]
    framing = MAX_FRAMING_BYTES + _PIECE_BYTES
    # A chunk of a byte is framed by five bytes.
    limit = 6 * MAX_ANSWER_BYTES if is_body else framing
    assert fed <= limit + len(begin) + 2 * len(block)
    assert peak < _OVERHEAD_BYTES
    assert memory.budget.used_bytes == 0


def test_twenty_answers_without_end_leave_room_for_requests() -> None:
    """Guards against requests that are refused because of a faulty instance."""

    async def work() -> None:
        memory = Memory(50_000_000)
        readers = []
        for _ in range(20):
            connection = ClientConnection(memory)
            FakeTransport(connection)
            exchange = connection.start("GET", "/", (), b"")
            readers.append(asyncio.create_task(exchange.read_response()))
            connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
            for _ in range(MAX_ANSWER_BYTES // _BLOCK):
                connection.data_received(b"x" * _BLOCK)
                await asyncio.sleep(0)
        assert memory.refusal(100_000) is None
        for reader in readers:
            reader.cancel()

    asyncio.run(work())


def test_the_largest_answer_is_read() -> None:
    async def work() -> None:
        connection = ClientConnection()
        FakeTransport(connection)
        exchange = connection.start("GET", "/", (), b"")
        reading = asyncio.create_task(exchange.read_response())
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {MAX_ANSWER_BYTES}\r\n\r\n"
        connection.data_received(head.encode())
        for _ in range(MAX_ANSWER_BYTES // _BLOCK):
            connection.data_received(b"x" * _BLOCK)
            await asyncio.sleep(0)
        answer = await reading
        assert not isinstance(answer, Refusal)
        assert len(answer.body) == MAX_ANSWER_BYTES
        assert connection.is_reusable

    asyncio.run(work())


_ENDLESS_REQUESTS: Final = {
    "a field without end": (b"GET / HTTP/1.1\r\nA: ", b"x" * _BLOCK),
    "a field name without end": (b"GET / HTTP/1.1\r\n", b"x" * _BLOCK),
    "a target without end": (b"GET /", b"x" * _BLOCK),
    "empty lines": (b"", b"\r\n" * 32_768),
    "an extension of a chunk": (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        b"x" * _BLOCK,
    ),
    "a trailer without end": (
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
        b"x" * _BLOCK,
    ),
}


@pytest.mark.parametrize("size", [100, _BLOCK])
@pytest.mark.parametrize("name", _ENDLESS_REQUESTS)
def test_a_request_without_end_closes_its_connection(name: str, size: int) -> None:
    begin, block = _ENDLESS_REQUESTS[name]

    async def work() -> None:
        async def handle(_request: object, _reply: object) -> None:
            raise AssertionError("handled")

        server = HttpServer(handle, ServerLimits())  # type: ignore[arg-type]
        client = FakeClient(server)
        fed = 0
        for piece in _pieces(begin, block, size):
            if client.transport.is_closing() or fed > _OFFERED:
                break
            client.send(piece)
            fed += len(piece)
        assert client.transport.is_closing()
        assert fed <= server.limits.max_header_bytes + 2 * _PIECE_BYTES + 2 * _BLOCK

    asyncio.run(work())
