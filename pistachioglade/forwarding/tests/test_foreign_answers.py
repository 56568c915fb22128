"""Additional bytes of an instance where the next answer is expected.

Guards against bytes of no request that a caller gets as its answer: a 404 without id
and signature came before the answers, whose requests ran.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final

import pytest

from ...decisions import RetryBudget
from ...errors import Refusal
from ...http1 import Request, Response, ResponseHead
from ...platform import Entry, belongs_to, names
from ...standins._instance_entry import instance_entry
from ...store.tests.served import run
from .. import FleetView, ForwardedCall, Forwarder, StreamForwarder

#: Retries in percent of first tries: each request may be tried again.
_RETRY_PERCENT: Final = 1000
_EXTRA: Final = {
    "not-found": b"HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\nnot found",
    "failure": b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    "bad-request": b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n",
    "redirect": b"HTTP/1.1 302 No\r\nContent-Length: 0\r\n\r\n",
    "another-id": b"HTTP/1.1 200 OK\r\nPistachioglade-Attempt-Id: other\r\n"
    b"Pistachioglade-Response-Signature: s\r\nContent-Length: 0\r\n\r\n",
}


class _Instance:
    """Answers requests, some on kept connections after additional bytes."""

    def __init__(self, extra: bytes) -> None:
        self._extra = extra
        self._has_spoilt = False
        self.runs: Counter[str] = Counter()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer_all(reader, writer)
        finally:
            writer.close()

    async def _answer_all(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        served = 0
        while head := await self._read_head(reader):
            served += 1
            # A request whose first try got additional bytes is answered at its second.
            self._has_spoilt = served >= 2 and not self._has_spoilt
            if self._has_spoilt:
                writer.write(self._extra)
                await asyncio.sleep(0.01)
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
            request_id = fields[names.ATTEMPT_ID]
            self.runs[request_id] += 1
            body = f"id: 0\ndata: {request_id}\n\n"
            writer.write(
                f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {request_id}\r\n"
                f"{names.SIGNATURE}: s\r\nContent-Length: {len(body)}\r\n\r\n"
                f"{body}".encode()
            )

    async def _read_head(self, reader: asyncio.StreamReader) -> str:
        try:
            return (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            return ""


class _Sink:
    """Collects a caller's stream."""

    def __init__(self) -> None:
        self.body = b""
        self.is_finished = False

    def begin(self, status: int, fields: Any) -> None:
        assert status == 200

    async def write(self, part: bytes) -> None:
        self.body += part

    def finish(self) -> None:
        self.is_finished = True


@asynccontextmanager
async def _upstream(extra: bytes) -> AsyncIterator[tuple[FleetView, _Instance]]:
    instance = _Instance(extra)
    server = await asyncio.start_server(instance.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    view = FleetView(lambda: None)
    routes = [
        {
            "name": kind,
            "host": "h",
            "path-prefix": f"/{kind}/",
            "type": kind,
            "service": "app",
            "timeout-ms": 3000,
            "target-latency-ms": 300,
            "max-attempts": 3,
            "resumable": kind == "streaming",
        }
        for kind in ("idempotent", "non_idempotent", "streaming")
    ]
    value = {
        "version": 1,
        "routes": routes,
        "services": [{"name": "app", "max-connections": 90}],
    }
    view.apply_configuration(Entry(names.CONFIGURATION_NAME, 1, value, None), False)
    for name in ("one", "two"):
        entry = instance_entry("app", f"127.0.0.1:{port}")
        view.apply_instance(Entry(name, 1, entry, None), False)
    try:
        yield view, instance
    finally:
        server.close()


def _call(view: FleetView, kind: str, request_id: str) -> ForwardedCall:
    configuration = view.configuration
    assert configuration is not None
    route = next(item for item in configuration.routes if item.name == kind)
    fields = (("Host", "h"), (names.ATTEMPT_ID, request_id))
    now_s = asyncio.get_running_loop().time()
    request = Request("POST", f"/{kind}/x", fields, b"q", now_s)
    return Forwarder(view, "a").create_call(request, request_id, route)


@pytest.mark.parametrize("extra", _EXTRA)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_additional_bytes_are_no_answer(kind: str, extra: str) -> None:
    async def work() -> None:
        async with _upstream(_EXTRA[extra]) as (view, instance):
            forwarder = Forwarder(view, "a", budget=RetryBudget(_RETRY_PERCENT))
            answers: list[Response | Refusal] = []
            for number in range(12):
                request_id = f"r{number}"
                answer = await forwarder.forward(_call(view, kind, request_id))
                answers.append(answer)
                if isinstance(answer, Response):
                    assert answer.status == 200
                    assert answer.body == f"id: 0\ndata: {request_id}\n\n".encode()
                else:
                    # The request has run, so that nothing else may be said.
                    assert not answer.did_not_run
                    assert kind == "non_idempotent"
                # Ends the cooldown of a failed instance.
                for record in view.records.values():
                    record.record_answer()
            assert any(isinstance(answer, Response) for answer in answers)
            if kind == "non_idempotent":
                assert max(instance.runs.values()) == 1

    run(work)


@pytest.mark.parametrize("extra", _EXTRA)
def test_additional_bytes_are_no_stream(extra: str) -> None:
    async def work() -> None:
        async with _upstream(_EXTRA[extra]) as (view, _):
            forwarder = StreamForwarder(view, "a", budget=RetryBudget(_RETRY_PERCENT))
            for number in range(12):
                request_id, sink = f"r{number}", _Sink()
                await forwarder.forward(_call(view, "streaming", request_id), sink)
                assert sink.is_finished
                assert sink.body == f"id: 0\ndata: {request_id}\n\n".encode()
                for record in view.records.values():
                    record.record_answer()

    run(work)


@pytest.mark.parametrize(
    ("fields", "belongs"),
    [
        ((), False),
        (((names.ATTEMPT_ID, "a"),), True),
        (((names.ATTEMPT_ID, "b"),), False),
        (((names.SIGNATURE, "s"),), True),
        (((names.NOT_EXECUTED, "1"),), True),
    ],
)
def test_an_answer_without_id_belongs_to_a_request_only_with_a_mark(
    fields: Any, belongs: bool
) -> None:
    assert belongs_to(ResponseHead(404, fields), "a") is belongs
