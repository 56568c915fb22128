"""What the client makes of answers that are whole, cut, unframed or doubled."""

from __future__ import annotations

import pytest

from ...errors import Refusal
from .. import Pool, Response
from .scripted import ScriptedServer, run

_WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
_CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
_CUT_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
_UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nok"
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
_CLOSING = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"

_CASES = {
    # name: (bytes of the first answer, whether it is whole, whether the connection
    # is used again for the second request)
    "whole": ((_WHOLE,), True, True),
    "in two parts": ((_WHOLE[:30], _WHOLE[30:]), True, True),
    "chunked": ((_CHUNKED,), True, True),
    "after an interim answer": ((_INTERIM + _WHOLE,), True, True),
    "server closes after it": ((_CLOSING,), True, False),
    "ends with its connection": ((_UNFRAMED, b""), True, False),
    "cut": ((_CUT, b""), False, False),
    "cut between chunks": ((_CUT_CHUNKS, b""), False, False),
    "no answer": ((b"",), False, False),
    "not HTTP": ((b"garbage\r\n\r\n",), False, False),
    "a second answer in the same bytes": ((_WHOLE + _WHOLE,), True, False),
}


@pytest.mark.parametrize("name", _CASES)
def test_answers(name: str) -> None:
    parts, is_whole, is_reused = _CASES[name]

    async def work() -> tuple[Response | Refusal, Response | Refusal, int]:
        async with ScriptedServer([parts, (_WHOLE,)]) as server:
            pool = Pool("127.0.0.1", server.port)
            first = await pool.request("GET", "/", (), b"", 5.0)
            second = await pool.request("GET", "/", (), b"", 5.0)
            pool.close()
            return first, second, server.connections

    first, second, connections = run(work)
    assert isinstance(first, Response) is is_whole
    if isinstance(first, Response):
        assert (first.status, first.body) == (200, b"ok")
    else:
        assert not first.did_not_run
    assert isinstance(second, Response)
    assert second.body == b"ok"
    assert connections == (1 if is_reused else 2)


def test_a_late_second_answer_reaches_no_request() -> None:
    async def work() -> Response | Refusal:
        async with ScriptedServer([(_WHOLE, _WHOLE), (_WHOLE,)]) as server:
            pool = Pool("127.0.0.1", server.port)
            await pool.request("GET", "/a", (), b"", 5.0)
            answer = await pool.request("GET", "/b", (), b"", 5.0)
            pool.close()
            assert len(server.requests) == 2
            return answer

    assert isinstance(run(work), Response)


def test_a_refused_connection_says_that_nothing_was_sent() -> None:
    async def work() -> Response | Refusal:
        async with ScriptedServer([]) as server:
            port = server.port
        return await Pool("127.0.0.1", port).request("GET", "/", (), b"", 5.0)

    answer = run(work)
    assert isinstance(answer, Refusal)
    assert answer.did_not_run
