"""Stand-ins and processes for the scripts of the second review.

Needs the standard library only. The store and the servers follow PROTOCOL.md. The
project's programs are started with the commands of `deploy/system.toml`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "case.example"
ATTEMPT = "Pistachioglade-Attempt-Id"
#: `max-value-bytes` of the store.
MAX_VALUE_BYTES = 1048576

Headers = dict[str, str]
Handler = Callable[["Call", asyncio.StreamWriter], Awaitable[bool]]


class CannotRunError(Exception):
    """The case could not be set up."""


class Call:
    """One request as a server has read it."""

    def __init__(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = {name: values[0] for name, values in parse_qs(query).items()}
        # Names are in lower case.
        self.headers = headers
        self.body = body


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._path.write_text("")
        self._begun_s = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        line = f"{time.monotonic() - self._begun_s:8.3f} {text}\n"
        with self._path.open("a") as file:
            file.write(line)


def free_port() -> int:
    """Return a port that is free on the loopback address."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        port: int = found.getsockname()[1]
        return port


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Return the first line and the headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body that has a length or chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


def answer_bytes(status: int, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """An HTTP/1.1 server on a loopback port; a connection has one request at a time."""

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 26
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        work: asyncio.Task[bool] | None = None
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                call = Call(method, target, headers, await read_body(reader, headers))
                work = asyncio.ensure_future(self._handle(call, writer))
                # An exception says that the client has left.
                work.add_done_callback(
                    lambda task: task.cancelled() or task.exception()
                )
                # Bytes are read only after the answer; a close is seen meanwhile.
                closed = asyncio.ensure_future(_closed(reader))
                await asyncio.wait((work, closed), return_when="FIRST_COMPLETED")
                closed.cancel()
                if not work.done() or not work.result():
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The connection has ended, or the case has.
            pass
        finally:
            if work is not None:
                work.cancel()
            self._writers.discard(writer)
            writer.close()


async def _closed(reader: asyncio.StreamReader) -> None:
    """Return once the other side has ended the connection."""
    while not reader.at_eof():
        await asyncio.sleep(0.005)


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.server = Server(self._answer)
        # While set, calls are read and never answered.
        self.is_silent = False
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 100
        self._changed = asyncio.Event()

    async def _answer(self, call: Call, writer: asyncio.StreamWriter) -> bool:
        if self.is_silent:
            await asyncio.sleep(3600)
        status, body = await self._handle(call)
        writer.write(answer_bytes(status, {}, json.dumps(body).encode()))
        await writer.drain()
        return True

    async def _handle(self, call: Call) -> tuple[int, Any]:
        kind, *rest = (unquote(part) for part in call.path.split("/")[3:])
        if len(call.body) > MAX_VALUE_BYTES:
            return 413, {}
        body = json.loads(call.body) if call.body else {}
        if call.method == "POST":
            return self._create(kind, body["metadata"]["name"], body)
        if not rest:
            return await self._list(kind, call.query)
        found = self._objects.get((kind, rest[0]))
        if found is None:
            return 404, {}
        revision = body.get("metadata", {}).get("revision", call.query.get("revision"))
        is_conditional = call.method != "GET" and revision is not None
        if is_conditional and int(revision) != found["metadata"]["revision"]:
            return 409, found
        if call.method == "DELETE":
            self._apply(kind, found, True)
        elif call.method == "PUT":
            field = "status" if rest[1:] == ["status"] else "specification"
            if body.get(field) != found[field]:
                found = {**found, field: body.get(field)}
                found = self._apply(kind, found, False)
        return 200, found

    def _create(self, kind: str, name: str, body: dict[str, Any]) -> tuple[int, Any]:
        if (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        metadata = {"name": name, "finalizers": [], "deletion-pending": False}
        made = {"metadata": metadata, "status": None}
        made["specification"] = body.get("specification")
        return 200, self._apply(kind, made, False)

    def _apply(self, kind: str, item: dict[str, Any], gone: bool) -> dict[str, Any]:
        self._revision += 1
        name = item["metadata"]["name"]
        metadata = {"created-at": self._revision, **item["metadata"]}
        item = {**item, "metadata": {**metadata, "revision": self._revision}}
        if gone:
            del self._objects[kind, name]
        else:
            self._objects[kind, name] = item
        self._history.append((self._revision, kind, item, gone))
        self._changed.set()
        self._changed = asyncio.Event()
        return item

    async def _list(self, kind: str, query: Mapping[str, str]) -> tuple[int, Any]:
        if "watch" not in query:
            after = query.get("after", "")
            found = [
                item
                for (of_kind, name), item in sorted(self._objects.items())
                if of_kind == kind and name > after
            ]
            return 200, {"items": found, "has-more": False, "at": self._revision}
        since = int(query["watch"])
        end_s = time.monotonic() + int(query.get("wait-timeout-ms", "0")) / 1000
        while not (events := self._events(kind, since)):
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        return 200, {"events": events, "at": self._revision}

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": item, "deleted": gone}
            for revision, of_kind, item, gone in self._history
            if of_kind == kind and revision > since
        ]

    def put(self, kind: str, name: str, value: Any) -> None:
        """Write an object as the operator or a server does, acknowledged at once."""
        found = self._objects.get((kind, name))
        if found is None:
            self._create(kind, name, {"specification": value})
        else:
            self._apply(kind, {**found, "specification": value}, False)

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return [name for of_kind, name in self._objects if of_kind == kind]


class PlainServer:
    """An engine of a plain service, which answers each request after its work."""

    def __init__(self, name: str, service: str, record: Record) -> None:
        self.name = name
        self.service = service
        self.work_s = 0.02
        # Names of the attempts that ran, in their order.
        self.runs: list[str] = []
        self._record = record
        self.server = Server(self._answer)

    def listing(self, **more: Any) -> dict[str, Any]:
        """Return the entry of the engine in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.server.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            **more,
        }

    async def _answer(self, call: Call, writer: asyncio.StreamWriter) -> bool:
        attempt = call.headers.get(ATTEMPT.lower(), "")
        fields = {ATTEMPT: attempt}
        expected = call.headers.get("pistachioglade-expected-instance", self.name)
        if expected != self.name:
            fields["Pistachioglade-Not-Executed"] = "1"
            writer.write(answer_bytes(421, fields, b""))
            await writer.drain()
            return True
        self.runs.append(attempt)
        self._record.write(f"{self.name} of {self.service} runs {attempt} {call.path}")
        await asyncio.sleep(self.work_s)
        fields["Pistachioglade-Response-Signature"] = f"{self.name}.{attempt}"
        writer.write(answer_bytes(200, fields, call.body))
        await writer.drain()
        return True


class ModelServer(PlainServer):
    """A model engine, which streams a few events for each request."""

    def __init__(
        self, name: str, service: str, record: Record, model: str, events: int = 6
    ) -> None:
        super().__init__(name, service, record)
        self.model = model
        self.events = events
        self.event_s = 0.02
        self.version = 1
        # Orders that were accepted.
        self.orders: list[dict[str, Any]] = []

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def listing(self, **more: Any) -> dict[str, Any]:
        """Return the entry of the engine in the store."""
        return super().listing(phase="dual", models=self._models(), **more)

    async def _answer(self, call: Call, writer: asyncio.StreamWriter) -> bool:
        if call.path in ("/v1/report", "/v1/order"):
            status, body = self._control(call)
            writer.write(answer_bytes(status, {}, json.dumps(body).encode()))
            await writer.drain()
            return True
        attempt = call.headers.get(ATTEMPT.lower(), "")
        fields = {ATTEMPT: attempt}
        expected = call.headers.get("pistachioglade-expected-instance", self.name)
        if expected != self.name:
            fields["Pistachioglade-Not-Executed"] = "1"
            writer.write(answer_bytes(421, fields, b""))
            await writer.drain()
            return True
        self.runs.append(attempt)
        fields["Pistachioglade-Response-Signature"] = f"{self.name}.{attempt}"
        fields["Pistachioglade-Weight-Versions"] = str(self.version)
        fields["Transfer-Encoding"] = "chunked"
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
        writer.write("\r\n".join(lines).encode())
        first = int(call.headers.get("last-event-id", "-1")) + 1
        for number in range(first, self.events):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _control(self, call: Call) -> tuple[int, Any]:
        if call.path == "/v1/order":
            order = json.loads(call.body)
            if order.get("expect", len(self.orders)) != len(self.orders):
                return 409, {}
            self.orders.append(order)
            self.version = order["version"]
            return 202, {}
        return 200, {
            "phase": "dual",
            "models": self._models(),
            "busy": False,
            "sequence": len(self.orders),
            "queued-count": 0,
            "running-count": 0,
            "kv-cache-used": 0,
            "kv-cache-total": 90000,
            "capabilities": 0,
        }


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> Any:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "type": kind,
        "service": service,
        "timeout-ms": 3000,
        "target-latency-ms": 300,
        "max-attempts": 3,
        "priority": 1,
        **more,
    }


def service(name: str, **more: Any) -> Any:
    """Return a service of a configuration."""
    return {"name": name, "health-path": "/health", "max-connections": 90, **more}


class Program:
    """A program of the project as a process, started as the deploy file says."""

    def __init__(self, name: str, role: str, folder: Path, store_port: int) -> None:
        self.name = name
        self.role = role
        self._folder = folder
        self.process: asyncio.subprocess.Process | None = None
        self.port, self.ready_port, self.link_port = (free_port() for _ in range(3))
        # Settings that replace or add to those below.
        self.settings = {
            "node-name": name,
            "role": role,
            "ip-address": "127.0.0.1",
            "zone": "zone-a",
            "region": "region-a",
            "internal-port-range": f"{self.link_port},{self.link_port}",
            "is-first-start": "true",
            "limits.cpu-share": "0.817",
            "limits.cpu-cores": "1",
            "limits.memory-mb": "300",
            "limits.max-file-descriptors": "4100",
            "limits.link-mbps": "1000.0",
            "heartbeat-interval-ms": "1200",
            "bounds.drain-timeout-ms": "2000",
            "bounds.grace-period-s": "8",
            "bounds.config-apply-ms": "2000",
            "bounds.status-retention-s": "120",
            "bounds.fencing-enforced": "true",
            "bounds.lease-duration-ms": "3000",
            "platform.address": f"127.0.0.1:{store_port}",
            "platform.form": "objects",
            "platform.max-value-bytes": "1048576",
        }
        if role == "entry":
            self.settings["listen.frontend"] = f"127.0.0.1:{self.port}"
            self.settings["listen.ready"] = f"127.0.0.1:{self.ready_port}"

    async def start(self) -> None:
        """Start the process."""
        path = self._folder / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in self.settings.items()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"][self.role]["run"])
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        paths = os.pathsep.join((str(ROOT), str(ROOT / "target" / "deps")))
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={**kept, "PYTHONPATH": paths, "PISTACHIOGLADE_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, within_s: float = 20.0) -> None:
        """Wait until the platform would send clients to the entry."""
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                if (await ask(self.ready_port, "GET", "/v1/readiness", "r"))[0] == 200:
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} isn't ready")

    def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def log_text(self) -> str:
        """Return what the process has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def resident_bytes(self) -> int:
        """Return the memory that the process uses; 0 if it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        lines = [line for line in status.splitlines() if line.startswith("VmRSS")]
        return int(lines[0].split()[1]) * 1024 if lines else 0


async def ask(
    port: int,
    method: str,
    target: str,
    attempt: str,
    body: bytes = b"",
    within_s: float = 10.0,
    **more: str,
) -> tuple[int, Headers, bytes]:
    """Send a request on a new connection; return status, headers and body."""
    async with asyncio.timeout(within_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 26)
        try:
            fields = {"Host": HOST, ATTEMPT: attempt, "Content-Length": str(len(body))}
            fields |= {name.replace("_", "-"): value for name, value in more.items()}
            lines = [
                f"{method} {target} HTTP/1.1",
                *(f"{k}: {v}" for k, v in fields.items()),
            ]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise EOFError("the connection ended without an answer")
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(reader, head[1])
        finally:
            writer.close()


class Stage:
    """A small deployment: the store, the servers and the entries."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.record = Record(folder)
        self.temporary = temporary
        self.store = Store()
        self.programs: list[Program] = []
        self.servers: list[Any] = []

    async def add_server(self, server: Any) -> Any:
        """Start a server and list it in the store."""
        await server.server.start()
        self.servers.append(server)
        self.store.put("servers", server.name, server.listing())
        return server

    async def add_program(
        self, name: str, role: str = "entry", **settings: str
    ) -> Program:
        """Start a program."""
        program = Program(name, role, self.temporary, self.store.server.port)
        program.settings |= settings
        await program.start()
        self.programs.append(program)
        return program

    async def add_entries(self, count: int, **settings: str) -> list[Program]:
        """Start entries and wait until they are ready and know each other."""
        names = [f"frontend-{number}" for number in range(count)]
        made = [await self.add_program(name, **settings) for name in names]
        for program in made:
            await program.wait_until_ready()
        await asyncio.sleep(3.0)
        return made

    async def close(self) -> None:
        """End all that was started."""
        for program in self.programs:
            program.kill(signal.SIGCONT)
            program.kill()
            if program.process is not None:
                await program.process.wait()
        for server in (*(item.server for item in self.servers), self.store.server):
            server.stop()


def play(folder: Path, case: Callable[[Stage], Awaitable[str]], limit_s: float) -> None:
    """Run a case and exit with 1 if it returns a broken rule, 0 if not, else 2."""

    async def work() -> str:
        with tempfile.TemporaryDirectory() as temporary:
            stage = Stage(folder, Path(temporary))
            stage.record.write(f"TROUBLE={int(TROUBLE)}")
            await stage.store.server.start()
            try:
                async with asyncio.timeout(limit_s):
                    broken = await case(stage)
            finally:
                await stage.close()
            stage.record.write(f"broken: {broken}" if broken else "held")
            return broken

    try:
        broken = asyncio.run(work())
    except (CannotRunError, OSError, TimeoutError, EOFError) as error:
        print(f"the case couldn't run: {type(error).__name__} {error}")
        sys.exit(2)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
