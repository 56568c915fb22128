"""Entries beside an instance that sends bytes of no answer without end.

Guards against one faulty instance that takes an entry's memory or processor, so that
requests for sound instances are refused or late.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from pathlib import Path
from typing import Final

import pytest

from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import FleetInstance
from pistachioglade.standins._instance_entry import instance_entry

from .serving import JOBS, LOOKUP, Fleet, ServingProcess, run_case, submission

_BLOCK: Final = b"x" * (64 * 1024)
_HEAD: Final = b"HTTP/1.1 200 OK\r\n"
_SIGNED: Final = b"Pistachioglade-Response-Signature: s\r\n"
_CHUNKED: Final = _HEAD + _SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
#: Beginnings of an answer and what follows without end.
_ENDLESS: Final = {
    "field": (_HEAD + b"A: ", _BLOCK),
    "fields": (_HEAD, b"A: b\r\n" * 10_000),
    "interim-answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "chunks": (_CHUNKED, b"10000\r\n" + _BLOCK + b"\r\n"),
    "chunks-of-a-byte": (_CHUNKED, b"1\r\nx\r\n" * 10_000),
    "chunk-extension": (_CHUNKED + b"1;", _BLOCK),
    "trailers": (_CHUNKED + b"1\r\na\r\n0\r\n", b"A: b\r\n" * 10_000),
    "body": (_HEAD + _SIGNED + b"\r\n", _BLOCK),
    "failure": (b"HTTP/1.1 500 No\r\n\r\n", _BLOCK),
}
#: Memory of an entry, in bytes: the settings of the fleet.
_MEMORY_BYTES: Final = 300_000_000
#: Bytes that an instance can send on one connection before it is closed: an answer of
#: the largest size in chunks of a byte, and what the kernel buffers on both sides.
_MOST_SENT_BYTES: Final = 40_000_000


class _EndlessServer:
    """Answers each request with bytes that never end."""

    def __init__(self, begin: bytes, block: bytes) -> None:
        self._begin = begin
        self._block = block
        self._server: asyncio.Server | None = None
        # Bytes that were sent on each connection.
        self.sent: Counter[int] = Counter()

    async def start(self) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = len(self.sent)
        self.sent[number] = 0
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._begin)
            while True:
                writer.write(self._block)
                await writer.drain()
                self.sent[number] += len(self._block)
                # The other stand-ins of this process run as well.
                await asyncio.sleep(0)
        writer.close()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


async def _add_endless(
    fleet: Fleet, kind: str, upstream: str, models: tuple[str, ...] = ()
) -> _EndlessServer:
    """Start an endless instance and list it."""
    server = _EndlessServer(*_ENDLESS[kind])
    port = await server.start()
    listed = [{"name": name, "version": 1, "adapters": []} for name in models]
    value = instance_entry(upstream, f"127.0.0.1:{port}", slots=8, models=listed)
    client = fleet.store.client()
    await client.create(names.INSTANCE_KIND, f"{upstream}-endless", value, 5.0)
    return server


async def _wait_until_listed(entry: ServingProcess, name: str) -> None:
    while not any(
        line["instance"] == name for line in entry.log_lines("instance-listed")
    ):
        await asyncio.sleep(0.02)


def _peak_bytes(entry: ServingProcess) -> int:
    assert entry.process is not None
    status = Path(f"/proc/{entry.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


def _check_entry(entry: ServingProcess, server: _EndlessServer) -> None:
    assert server.sent, "not tried"
    assert max(server.sent.values()) <= _MOST_SENT_BYTES
    assert _peak_bytes(entry) < _MEMORY_BYTES


@pytest.mark.parametrize("kind", _ENDLESS)
def test_lookups_are_answered_beside_an_endless_instance(
    tmp_path: Path, kind: str
) -> None:
    async def case(fleet: Fleet) -> None:
        await fleet.add_instance(FleetInstance("app-2", "app"))
        server = await _add_endless(fleet, kind, "app")
        (entry,) = fleet.entries
        await _wait_until_listed(entry, "app-endless")
        statuses: Counter[int] = Counter()
        for begin in range(0, 400, 20):
            calls = (
                fleet.call(entry, "POST", f"{LOOKUP}x", f"call-{number}", b"q")
                for number in range(begin, begin + 20)
            )
            statuses.update(answer.status for answer in await asyncio.gather(*calls))
        assert statuses == {200: 400}
        # A request that may run once isn't repeated, and is not said not to have run.
        billed = [
            (await fleet.call(entry, "POST", "/billed/x", f"billed-{number}")).status
            for number in range(20)
        ]
        assert set(billed) <= {200, 500, 502, 504}
        _check_entry(entry, server)
        tries = [
            line
            for line in entry.log_lines("call-tried")
            if line["instance"] == "app-endless"
        ]
        # Each try may have run; the instance is avoided like any failing one.
        assert {line["outcome"] for line in tries} <= {"upstream-lost", "500"}
        assert 0 < len(tries) < 100
        server.stop()

    run_case(tmp_path, case)


@pytest.mark.parametrize("kind", _ENDLESS)
def test_items_are_completed_beside_an_endless_engine(
    tmp_path: Path, kind: str
) -> None:
    async def case(fleet: Fleet) -> None:
        server = await _add_endless(fleet, kind, "lm", ("m",))
        (entry,) = fleet.entries
        await _wait_until_listed(entry, "lm-endless")
        job = submission(6, 8)
        await fleet.call(entry, "POST", f"{JOBS}x", "job-1", job)
        results = await fleet.read_results(entry, "job-1", 48)
        if kind != "failure":
            assert {result["state"] for result in results} == {"completed"}
        _check_entry(entry, server)
        server.stop()

    run_case(tmp_path, case)
