"""Tests of the client with complete, truncated, unframed and duplicate answers."""

from __future__ import annotations

import pytest

from ...errors import Refusal
from .. import Pool, Response
from .scripted import ScriptedServer, run

_COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
_TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
_TRUNCATED_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
_UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nok"
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
_CLOSING = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"

_CASES = {
    # name: (bytes of the first answer, whether that answer is complete, whether its
    # connection is reused for the second request)
    "whole": ((_COMPLETE,), True, True),
    "in two parts": ((_COMPLETE[:30], _COMPLETE[30:]), True, True),
    "chunked": ((_CHUNKED,), True, True),
    "after an interim answer": ((_INTERIM + _COMPLETE,), True, True),
    "server closes after it": ((_CLOSING,), True, False),
    "ends with its connection": ((_UNFRAMED, b""), True, False),
    "cut": ((_TRUNCATED, b""), False, False),
    "cut between chunks": ((_TRUNCATED_CHUNKS, b""), False, False),
    "no answer": ((b"",), False, False),
    "not HTTP": ((b"garbage\r\n\r\n",), False, False),
    "a second answer in the same bytes": ((_COMPLETE + _COMPLETE,), True, False),
}


@pytest.mark.parametrize("name", _CASES)
def test_an_answer_is_read_by_its_framing(name: str) -> None:
    parts, is_complete, is_reused = _CASES[name]

    async def work() -> tuple[Response | Refusal, Response | Refusal, int]:
        async with ScriptedServer([parts, (_COMPLETE,)]) as server:
            pool = Pool("127.0.0.1", server.port)
            first = await pool.request("GET", "/", (), b"", 5.0)
            second = await pool.request("GET", "/", (), b"", 5.0)
            pool.close()
            return first, second, server.connections

    first, second, connections = run(work)
    assert isinstance(first, Response) is is_complete
    if isinstance(first, Response):
        assert (first.status, first.body) == (200, b"ok")
    else:
        assert not first.did_not_run
    assert isinstance(second, Response)
    assert second.body == b"ok"
    assert connections == (1 if is_reused else 2)


def test_an_answer_without_a_request_reaches_no_later_request() -> None:
    async def work() -> Response | Refusal:
        async with ScriptedServer([(_COMPLETE, _COMPLETE), (_COMPLETE,)]) as server:
            pool = Pool("127.0.0.1", server.port)
            await pool.request("GET", "/a", (), b"", 5.0)
            answer = await pool.request("GET", "/b", (), b"", 5.0)
            pool.close()
            assert len(server.requests) == 2
            return answer

    assert isinstance(run(work), Response)


def test_a_refused_connection_counts_as_not_run() -> None:
    async def work() -> Response | Refusal:
        async with ScriptedServer([]) as server:
            port = server.port
        return await Pool("127.0.0.1", port).request("GET", "/", (), b"", 5.0)

    answer = run(work)
    assert isinstance(answer, Refusal)
    assert answer.did_not_run
