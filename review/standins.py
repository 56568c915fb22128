"""Stand-ins of the users' platform for the scripts of this review.

They use the standard library alone and follow the users' PROTOCOL.md: the platform's
store in the form of objects, engines, plain services, and a client for single requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
ATTEMPT = "Pistachioglade-Attempt-Id"
SIGNATURE = "Pistachioglade-Response-Signature"
EXPECTED = "Pistachioglade-Expected-Instance"
NOT_EXECUTED = "Pistachioglade-Not-Executed"
VERSIONS = "Pistachioglade-Weight-Versions"
LOAD = "Pistachioglade-Instance-Load"
DEADLINE = "Pistachioglade-Deadline-Ms"
WAIT = "Pistachioglade-Wait-Timeout-Ms"
LAST_EVENT = "Last-Event-Id"
HOST = "case.example"
#: Time of one answer of the store, in seconds, as on the sheets.
_STORE_ANSWER_S = 0.004
#: Largest object of the store, in bytes: the setting `platform.max-value-bytes`.
_MAX_VALUE_BYTES = 1_048_576


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._begun_s

    def add(self, what: str, **fields: Any) -> float:
        """Write one line and return its time."""
        now_s = self.now_s()
        more = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now_s:8.3f} {what} {more}\n")
        self._file.flush()
        return now_s

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request:
    """One request, as a server of this module has read it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = first.split(" ", 2)
        pairs = (line.partition(":") for line in lines if line)
        self.fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
        self.body = body
        self.path = urlsplit(self.target).path
        query = parse_qs(urlsplit(self.target).query)
        self.query = {name: values[0] for name, values in query.items()}

    def field(self, name: str) -> str | None:
        """Return a header field."""
        return self.fields.get(name.lower())


class Connection:
    """The server's side of one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @property
    def is_gone(self) -> bool:
        """Whether the client has closed the connection."""
        return self._reader.at_eof() or self._writer.transport.is_closing()

    async def read(self) -> Request | None:
        """Read one request; None at the end of the connection."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            request = Request(head, b"")
            length = int(request.field("content-length") or 0)
            request.body = await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return request

    async def send(self, data: bytes) -> None:
        """Write bytes and wait until they are on their way."""
        self._writer.write(data)
        await self._writer.drain()

    async def answer(
        self, status: int, fields: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Send a whole answer."""
        await self.send(_head(status, fields, f"Content-Length: {len(body)}") + body)

    async def begin(self, status: int, fields: dict[str, str]) -> None:
        """Send the head of an answer in chunks."""
        await self.send(_head(status, fields, "Transfer-Encoding: chunked"))

    async def chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the answer."""
        await self.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def work(self, duration_s: float) -> bool:
        """Work for some time; return False if the client has left meanwhile."""
        end_s = time.monotonic() + duration_s
        while (left_s := end_s - time.monotonic()) > 0.0:
            if self.is_gone:
                return False
            await asyncio.sleep(min(0.02, left_s))
        return not self.is_gone

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def _head(status: int, fields: dict[str, str] | None, framing: str) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", framing]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """An HTTP/1.1 server that handles one request at a time on a connection."""

    def __init__(
        self, handle: Callable[[Request, Connection], Awaitable[None]], host: str
    ) -> None:
        self._handle = handle
        self.host = host
        self.port = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        try:
            while (request := await connection.read()) is not None:
                await self._handle(request, connection)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            connection.close()

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


class Store:
    """The platform's store: objects with revisions, lists, reads and watches.

    Calls are linearizable. Watches with ``allow-stale`` show changes ``stale_s`` late.
    """

    def __init__(self, stale_s: float = 0.0) -> None:
        self.stale_s = stale_s
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        # Kind, object, whether it was removed, revision and time of each change.
        self._changes: list[tuple[str, dict[str, Any], bool, int, float]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self.server = Server(self._handle, "127.0.0.1")

    def find(self, kind: str, name: str) -> Any:
        """Return an object's specification; None if there is no such object."""
        found = self._objects.get((kind, name))
        return None if found is None else found["specification"]

    def put(self, kind: str, name: str, specification: Any) -> None:
        """Write an object as the operator, a trainer or an engine does."""
        self._write(kind, name, specification=specification)

    def _write(self, kind: str, name: str, **parts: Any) -> dict[str, Any]:
        known = self._objects.get((kind, name))
        self._revision += 1
        created = known["metadata"]["created-at"] if known else self._revision
        metadata = {
            "name": name,
            "revision": self._revision,
            "created-at": created,
            "finalizers": [],
            "deletion-pending": False,
        }
        empty = {"specification": None, "status": None}
        written = (known or empty) | parts | {"metadata": metadata}
        self._objects[kind, name] = written
        self._notify(kind, written, False)
        return written

    def _notify(self, kind: str, found: dict[str, Any], is_removed: bool) -> None:
        self._changes.append(
            (kind, found, is_removed, self._revision, time.monotonic())
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request, connection: Connection) -> None:
        await asyncio.sleep(_STORE_ANSWER_S)
        _, _, _, kind, *rest = request.path.split("/")
        names = [unquote(part) for part in rest]
        if "watch" in request.query:
            status, body = await self._watch(kind, request.query, connection)
        elif request.method == "GET" and not names:
            status, body = self._list(kind, request.query.get("after", ""))
        else:
            status, body = self._change(request, kind, names)
        fields = {"Content-Type": "application/json"}
        await connection.answer(status, fields, json.dumps(body).encode())

    def _list(self, kind: str, after: str) -> tuple[int, Any]:
        keys = sorted(key for key in self._objects if key[0] == kind and key[1] > after)
        items = [self._objects[key] for key in keys]
        return 200, {"items": items, "has-more": False, "at": self._revision}

    def _change(self, request: Request, kind: str, names: list[str]) -> tuple[int, Any]:
        """Answer a read or a write of one object."""
        value = json.loads(request.body) if request.body else {}
        metadata = value.get("metadata", {})
        name = names[0] if names else metadata["name"]
        found = self._objects.get((kind, name))
        if len(request.body) > _MAX_VALUE_BYTES:
            return 413, {}
        if request.method == "POST":
            if found is not None:
                return 409, found
            return 200, self._write(kind, name, specification=value["specification"])
        if found is None:
            return 404, {}
        if request.method == "GET":
            return 200, found
        wanted = request.query.get("revision", metadata.get("revision"))
        if wanted is not None and int(wanted) != found["metadata"]["revision"]:
            return 409, found
        if request.method == "DELETE":
            self._revision += 1
            del self._objects[kind, name]
            self._notify(kind, found, True)
            return 200, found
        part = "status" if names[1:] == ["status"] else "specification"
        if found[part] == value.get(part):
            return 200, found
        return 200, self._write(kind, name, **{part: value.get(part)})

    async def _watch(
        self, kind: str, query: dict[str, str], connection: Connection
    ) -> tuple[int, Any]:
        after = int(query["watch"])
        end_s = time.monotonic() + int(query["wait-timeout-ms"]) / 1000.0
        is_stale = "allow-stale" in query
        while True:
            changed = self._changed
            now_s = time.monotonic()
            seen_s = now_s - self.stale_s if is_stale else now_s
            shown = [item for item in self._changes if item[4] <= seen_s]
            revision = max([after, *(item[3] for item in shown)])
            events = [
                {"object": found, "deleted": is_removed}
                for of_kind, found, is_removed, number, _ in shown
                if of_kind == kind and number > after
            ]
            if events or now_s >= end_s or connection.is_gone:
                return 200, {"events": events, "at": revision}
            pause_s = 0.02 if is_stale else 0.25
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(pause_s, end_s - now_s))


class Instance:
    """A plain service's engine, or a model engine that streams events."""

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        model: str = "",
        slots: int = 8,
        work_s: float = 0.02,
        events: int = 20,
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        # Time of a plain answer, or of one event of a stream, in seconds.
        self.work_s = work_s
        # Number of events of a whole stream.
        self.events = events
        self._model = model
        self._version = 1
        self._orders = 0
        self._record = record
        self._running = 0
        self._free = asyncio.Semaphore(slots)
        # Time, id and path of each request that began to run, in their order.
        self.runs: list[tuple[float, str, str]] = []
        # Ids of the requests that ran to their end.
        self.ended: dict[str, float] = {}
        self.server = Server(self._handle, "127.0.0.1")

    def entry(self) -> dict[str, Any]:
        """Return the engine's entry in the store."""
        models = [{"name": self._model, "version": self._version, "adapters": []}]
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            **({"models": models, "phase": "dual"} if self._model else {}),
        }

    async def _handle(self, request: Request, connection: Connection) -> None:
        if request.path == "/v1/report":
            models = [{"name": self._model, "version": self._version, "adapters": []}]
            body = {"models": models, "busy": False, "sequence": self._orders}
            await connection.answer(200, None, json.dumps(body).encode())
        elif request.path == "/v1/order":
            order = json.loads(request.body)
            if order.get("expect", self._orders) != self._orders:
                await connection.answer(409)
                return
            self._orders += 1
            self._version = order["version"]
            await connection.answer(202)
        else:
            await self._serve(request, connection)

    def _load(self) -> dict[str, str]:
        return {LOAD: f"{self._running},0,{self.slots}"}

    async def _serve(self, request: Request, connection: Connection) -> None:
        request_id = request.field(ATTEMPT) or ""
        not_run = {ATTEMPT: request_id, NOT_EXECUTED: "1"}
        if request.field(EXPECTED) not in (None, self.name):
            await connection.answer(421, not_run)
            return
        if self._free.locked():
            await connection.answer(503, not_run | self._load())
            return
        async with self._free:
            now_s = self._record.add(
                "runs",
                engine=self.name,
                id=request_id,
                path=request.path,
                after=request.field(LAST_EVENT),
            )
            self.runs.append((now_s, request_id, request.path))
            self._running += 1
            is_whole = False
            try:
                is_whole = await self._run(request, request_id, connection)
            finally:
                self._running -= 1
                what = "ran-to-its-end" if is_whole else "run-dropped"
                now_s = self._record.add(what, engine=self.name, id=request_id)
                if is_whole:
                    self.ended[request_id] = now_s

    async def pause(
        self, number: int, request: Request, connection: Connection
    ) -> bool:
        """Wait before an event; return False if the client has left meanwhile."""
        return True

    async def _run(
        self, request: Request, request_id: str, connection: Connection
    ) -> bool:
        signed = {ATTEMPT: request_id, SIGNATURE: f"sig.{self.name}.{request_id}"}
        if not self._model:
            if not await connection.work(self.work_s):
                return False
            body = f"answer to {request_id}".encode()
            await connection.answer(200, signed | self._load(), body)
            return True
        first = int(request.field(LAST_EVENT) or 0) + 1
        signed |= {"Content-Type": "text/event-stream", VERSIONS: str(self._version)}
        await connection.begin(200, signed | self._load())
        for number in range(first, self.events + 1):
            if not await connection.work(self.work_s):
                return False
            if not await self.pause(number, request, connection):
                return False
            event = f"id: {number}\ndata: {request_id}-{number}\n\n"
            await connection.chunk(event.encode())
        await connection.chunk(b"")
        return True


class Answer:
    """What a client got: status, header fields, body, and whether it was whole."""

    def __init__(self) -> None:
        # 0 if the connection ended without a status.
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.is_whole = False

    def json(self) -> Any:
        """Return the body's JSON value."""
        return json.loads(self.body)


async def call(
    address: str,
    method: str,
    target: str,
    fields: dict[str, str] | None = None,
    body: bytes = b"",
    on_status: Callable[[], None] = lambda: None,
) -> Answer:
    """Send one request on a new connection and read the answer to its end."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return answer
    sent = {"Host": HOST, "Content-Length": str(len(body)), **(fields or {})}
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in sent.items())]
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.split("\r\n")
        answer.status = int(first.split(" ")[1])
        on_status()
        pairs = (line.partition(":") for line in rest if line)
        answer.fields = {name.lower(): value.strip() for name, _, value in pairs}
        if "chunked" in answer.fields.get("transfer-encoding", ""):
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        else:
            length = int(answer.fields.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
        answer.is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()
    return answer


class Program:
    """One of the project's programs as a process of its own."""

    def __init__(self, name: str, role: str, settings: Path, log: Path) -> None:
        self.name = name
        self._role = role
        self._settings = settings
        self.log = log
        self.address = ""
        self.ready = ""
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the program with the command of the deploy file."""
        paths = f"{ROOT}{os.pathsep}{ROOT / 'target' / 'deps'}"
        variables = {"PYTHONPATH": paths, "PISTACHIOGLADE_CONFIG": str(self._settings)}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "pistachioglade.serving", self._role),
                env=dict(os.environ) | variables,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Wait until the program reports itself ready."""
        while (await call(self.ready, "GET", "/v1/readiness")).status != 200:
            if self.process is None or self.process.returncode is not None:
                raise RuntimeError(f"{self.name} ended: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the program's log lines of one event."""
        texts = self.log.read_text(errors="replace").splitlines()
        lines = [json.loads(text) for text in texts if text.startswith("{")]
        return [line for line in lines if line.get("event") == event]

    async def end(self) -> None:
        """End the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Platform:
    """A small deployment: the store, engines and entries, all on loopback."""

    def __init__(self, record: Record, folder: Path, stale_s: float) -> None:
        self.record = record
        self._folder = folder
        self.store = Store(stale_s)
        self.programs: list[Program] = []
        self.instances: list[Instance] = []
        # Machines have addresses of their own, and ports are the same on all of them.
        self._net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self._ports = _free_ports(6)

    async def add_instance(self, instance: Instance) -> Instance:
        """Start an engine and list it in the store."""
        await instance.server.start()
        self.instances.append(instance)
        self.store.put("servers", instance.name, instance.entry())
        return instance

    def configure(self, version: int, routes: list[Any], services: list[Any]) -> None:
        """Write a configuration as the operator does."""
        limits = {
            "max-header-bytes": 16384,
            "max-body-bytes": 33554432,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        }
        value = {"version": version, "routes": routes, "services": services}
        self.store.put("config", "main", value | {"limits": limits})

    def settings(self, name: str, number: int, role: str) -> dict[str, str]:
        """Return the settings of a process, as the users' DEPLOY.md shows them."""
        host = f"{self._net}.{number}"
        front, ready, control, first, last, _ = self._ports
        return {
            "node-name": name,
            "role": role,
            "machine-class": "frontend",
            "serves": "frontend",
            "ip-address": host,
            "zone": "zone-a",
            "region": "region",
            "zones.zone-a": "region",
            "listen.frontend": f"{host}:{front}",
            "listen.ready": f"{host}:{ready}",
            "listen.control-plane": f"{host}:{control}",
            "internal-port-range": f"{first},{last}",
            "is-first-start": "true",
            "counts-toward-tolerance": "false",
            "limits.cpu-share": "0.817",
            "limits.cpu-cores": "1",
            "limits.memory-mb": "300",
            "limits.max-file-descriptors": "4100",
            "limits.link-mbps": "1000.0",
            "limits.disk-mb": "0",
            "discovery": "platform",
            "entry-point": "virtual_ip",
            "heartbeat-interval-ms": "1200",
            "contracts": "base,drain,config,cost,recover,samples,stream,engine,batch,"
            "platform",
            "bounds.contact-timeout-ms": "3000",
            "bounds.ack-timeout-ms": "4000",
            "bounds.drain-timeout-ms": "2000",
            "bounds.grace-period-s": "8",
            "bounds.loss-slack-ms": "200",
            "bounds.config-apply-ms": "2000",
            "bounds.rollback-slack-ms": "250",
            "bounds.finish-timeout-s": "10",
            "bounds.status-retention-s": "120",
            "bounds.cancel-timeout-ms": "3000",
            "bounds.settle-timeout-ms": "1000",
            "bounds.fencing-enforced": "true",
            "bounds.lease-duration-ms": "3000",
            "bounds.thaw-slack-ms": "300",
            "platform.address": self.store.server.address,
            "platform.form": "objects",
            "platform.writes-per-s": "400",
            "platform.reads-per-s": "2000",
            "platform.history-retention-s": "20",
            "platform.max-value-bytes": "1048576",
            "platform.min-ttl-ms": "1000",
        }

    async def add_entry(self, name: str) -> Program:
        """Start an entry; the caller waits until it is ready."""
        fields = self.settings(name, len(self.programs) + 1, "entry")
        path = self._folder / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        program = Program(name, "entry", path, self._folder / f"{name}.log")
        program.address = fields["listen.frontend"]
        program.ready = fields["listen.ready"]
        await program.start()
        self.programs.append(program)
        return program

    async def stop(self) -> None:
        """End all processes and servers."""
        for program in self.programs:
            await program.end()
        for instance in self.instances:
            instance.server.stop()
        self.store.server.stop()


def _free_ports(count: int) -> list[int]:
    """Return ports that are free now; the range for links is two successive ones."""
    while True:
        first = random.randrange(20_000, 30_000)
        ports = list(range(first, first + count))
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind(("0.0.0.0", port))
        except OSError:
            continue
        return ports


@contextlib.asynccontextmanager
async def platform(record: Record, stale_s: float = 0.0) -> AsyncIterator[Platform]:
    """Run a platform with an empty store."""
    with tempfile.TemporaryDirectory() as folder:
        folder = os.environ.get("KEEP_LOGS", folder)
        found = Platform(record, Path(folder), stale_s)
        await found.store.server.start()
        try:
            yield found
        finally:
            await found.stop()


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder: str, case: Callable[[Record], Awaitable[int]]) -> int:
    """Play a case for 110 seconds at most; return 2 if it couldn't run."""
    record = Record(Path(folder) / "record.txt")

    async def bounded() -> int:
        # A signal ends the case in order, with all processes that it has started.
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(110.0):
            return await case(record)

    try:
        result = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        record.add("could-not-run", error=repr(error))
        result = 2
    record.add("exit", status=result)
    record.close()
    return result
