"""Tests of the server: framing, limits, pipelining, and clients that disconnect."""

from __future__ import annotations

import asyncio

import pytest

from .. import HttpServer, Reply, Request, Response, ServerLimits
from .scripted import run

_LIMITS = ServerLimits(max_header_bytes=500, max_body_bytes=100)


async def _echo(request: Request, reply: Reply) -> None:
    head = f"{request.method} {request.target} ".encode()
    reply.send(Response(200, (), head + request.body))


async def _exchange(sent: bytes, limits: ServerLimits = _LIMITS) -> bytes:
    server = HttpServer(_echo, limits)
    await server.start("127.0.0.1", 0)
    port = server.port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(sent)
    answer = await reader.read()
    writer.close()
    server.stop_listening()
    return answer


_LAST = b"Connection: close\r\n"
_CASES = {
    # name: (bytes sent, parts that the answer must contain in this order)
    "no body": (b"GET /a?b=1 HTTP/1.1\r\n" + _LAST + b"\r\n", [b"GET /a?b=1 "]),
    "a length": (
        b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n" + _LAST + b"\r\nxyz",
        [b"POST /a xyz"],
    ),
    "chunks": (
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        + _LAST
        + b"\r\n1\r\nx\r\n2\r\nyz\r\n0\r\n\r\n",
        [b"POST /a xyz"],
    ),
    "two in one write": (
        b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n" + _LAST + b"\r\n",
        [b"GET /1 ", b"GET /2 "],
    ),
    "asks before its body": (
        b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n"
        + _LAST
        + b"\r\nx",
        [b"100 Continue", b"POST /a x"],
    ),
    "both framings": (
        b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
        [b"400 "],
    ),
    "not HTTP": (b"\x16\x03\x01\x00\r\n\r\n", [b"400 "]),
    "head too large": (
        b"GET /a HTTP/1.1\r\nX: " + b"x" * 600 + b"\r\n\r\n",
        [b"431 "],
    ),
    "body too large": (
        b"POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + b"x" * 101,
        [b"413 "],
    ),
}


@pytest.mark.parametrize("name", _CASES)
def test_a_request_is_answered_or_rejected_by_its_framing_and_size(name: str) -> None:
    sent, expected = _CASES[name]
    answer = run(lambda: _exchange(sent))
    positions = [answer.find(part) for part in expected]
    assert -1 not in positions, answer
    assert positions == sorted(positions)
    assert b"smuggled" not in answer


@pytest.mark.parametrize("sent", [b"GET /a HTT", b"POST /a HTTP/1.1\r\nContent-L"])
def test_a_slow_head_is_rejected(sent: bytes) -> None:
    async def work() -> bytes:
        server = HttpServer(_echo, ServerLimits(header_timeout_s=0.01))
        await server.start("127.0.0.1", 0)
        port = server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent)
        while not server.connections or next(iter(server.connections)).is_idle:
            await asyncio.sleep(0.01)
        server.close_timed_out(asyncio.get_running_loop().time() + 1.0)
        return await reader.read()

    assert b"408 " in run(work)


def test_the_handler_is_cancelled_when_its_client_disconnects() -> None:
    async def work() -> bool:
        started, cancelled = asyncio.Event(), asyncio.Event()

        async def handler(request: Request, reply: Reply) -> None:
            started.set()
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        server = HttpServer(handler, _LIMITS)
        await server.start("127.0.0.1", 0)
        port = server.port
        _reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await started.wait()
        writer.close()
        await cancelled.wait()
        return True

    assert run(work)


def test_a_leaving_server_answers_and_closes_the_connection() -> None:
    async def work() -> bytes:
        server = HttpServer(_echo, _LIMITS)
        await server.start("127.0.0.1", 0)
        server.is_leaving = True
        port = server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        return await reader.read()

    answer = run(work)
    assert b"GET /a " in answer
    assert b"Connection: close" in answer
