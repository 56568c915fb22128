"""Callers of a soak: lookups, billed calls, streams and configuration probes."""

from __future__ import annotations

import asyncio
import hashlib
from itertools import count
from typing import Final

import attrs

from pistachioglade.errors import Refusal
from pistachioglade.forwarding import EventDecoder
from pistachioglade.http1 import Fields, Pool, Response
from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import event_data
from tests.serving import HOST, LOOKUP

from ._world import ACCOUNT, EVENTS, KEYS, Program, World, key_of_version

#: Time for which a caller waits for an answer, in seconds.
_CALL_TIMEOUT_S: Final = 4.0
#: Path prefixes of the requests, as often as they are listed.
_PATHS: Final = (LOOKUP, LOOKUP, "/billed/", "/stream/", "/resumable/")
#: Range of the pause between two calls of one caller, in seconds.
_PAUSE_S: Final = (0.02, 0.15)
#: Range of the time before a late reader reads an answer, in seconds.
_READ_DELAY_S: Final = (0.5, 2.5)
#: Statuses that guarantee that the request has not run and will not run.
_NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
#: Number of the newest configuration versions that a probe requests.
_PROBED_VERSIONS: Final = 3


@attrs.frozen
class Asked:
    """A request that was sent, with its outcome."""

    # Request id.
    id: str
    # Path prefix of the request.
    path: str
    # Status of the answer; None if no answer came.
    status: int | None


class Caller:
    """Sends one request after the other over pooled connections."""

    def __init__(self, world: World, name: str, account: str = ACCOUNT) -> None:
        self._world = world
        self._name = name
        self._account = account
        world.accounts[name] = account
        self._numbers = count(1)
        self._pools: dict[str, Pool] = {}
        # All requests sent; their runs are checked at the end.
        self.asked: list[Asked] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        rand = self._world.random
        while True:
            await self.call(self._world.choose_entry(), rand.choice(_PATHS))
            await asyncio.sleep(rand.uniform(*_PAUSE_S))

    async def call(self, program: Program, path: str) -> int | None:
        """Send one request; return the status of its answer, None without one."""
        request_id = f"{self._name}-{next(self._numbers)}"
        process = program.process
        pool = self._pools.setdefault(process.name, Pool("127.0.0.1", process.port))
        body = request_id.encode()
        sent = (
            ("Host", HOST),
            (names.ATTEMPT_ID, request_id),
            (names.KEY, KEYS[self._account]),
            (names.DEADLINE_MS, str(int(_CALL_TIMEOUT_S * 1000))),
        )
        status: int | None = None
        try:
            answer = await self._request(pool, f"{path}x", sent, body)
        except TimeoutError:
            self._world.counts["unanswered"] += 1
        else:
            if isinstance(answer, Response):
                status = answer.status
                self._check_answer(path, request_id, answer)
            else:
                self._world.counts["cut off"] += 1
        self.asked.append(Asked(request_id, path, status))
        return status

    async def _request(
        self, pool: Pool, target: str, fields: Fields, body: bytes
    ) -> Response | Refusal:
        """Run one exchange; raise TimeoutError when the caller gives up."""
        return await pool.request("POST", target, fields, body, _CALL_TIMEOUT_S)

    def _check_answer(self, path: str, request_id: str, answer: Response) -> None:
        world = self._world
        world.counts[f"{path} {answer.status}"] += 1
        what = f"{path} {request_id} at {answer.status}"
        if answer.status == 200:
            is_stream = path in ("/stream/", "/resumable/")
            digest = hashlib.sha256(request_id.encode()).hexdigest().encode()
            is_whole = (
                _is_whole_stream(request_id, answer.body)
                if is_stream
                else answer.body == digest
            )
            if not is_whole:
                world.record_violation(
                    f"{what}: not its whole answer: {answer.body[:80]!r}"
                )
            if answer.field(names.SIGNATURE) != f"sig-{request_id}":
                world.record_violation(f"{what}: without its signature")
        elif answer.status in _NOT_RUN_STATUSES:
            if answer.field("retry-after") is None:
                world.record_violation(f"{what}: does not say when to come back")
        elif answer.status not in (500, 502, 504):
            world.record_violation(f"{what}: denied")

    def check_runs(self) -> None:
        """Check the number of runs of each request, after all requests have ended."""
        world = self._world
        for asked in self.asked:
            runs = world.count_runs(asked.id)
            what = f"{asked.path} {asked.id} answered {asked.status}"
            is_once = asked.path in ("/billed/", "/stream/")
            if is_once and runs > 1:
                world.record_violation(f"{what}: ran {runs} times")
            if asked.status in _NOT_RUN_STATUSES and is_once and runs:
                world.record_violation(f"{what}: ran all the same")
            if asked.status == 200 and not runs:
                world.record_violation(f"{what}: never ran")


def _is_whole_stream(request_id: str, body: bytes) -> bool:
    """Whether a stream has each event once; weight versions may change within it."""
    events = EventDecoder().feed(body)
    if events is None:
        return False
    found = [(event.number, event.data) for event in events]
    expected = [(number, event_data(request_id, number)) for number in range(EVENTS)]
    return found == expected


class LateReader(Caller):
    """A caller that reads its answers late."""

    async def _request(
        self, pool: Pool, target: str, fields: Fields, body: bytes
    ) -> Response | Refusal:
        delay_s = self._world.random.uniform(*_READ_DELAY_S)
        async with asyncio.timeout(_CALL_TIMEOUT_S + delay_s):
            connection = await pool.acquire()
            if isinstance(connection, Refusal):
                return connection
            try:
                exchange = connection.start("POST", target, fields, body)
                connection.pause()
                await asyncio.sleep(delay_s)
                connection.resume()
                return await exchange.read_response()
            except BaseException:
                connection.close()
                raise
            finally:
                pool.release(connection)


class ConfigurationProbe:
    """Probes which configuration version each entry serves; it must never decrease."""

    def __init__(self, world: World) -> None:
        self._world = world
        # Newest version seen, by entry name and incarnation.
        self._seen: dict[tuple[str, int], int] = {}

    async def run(self) -> None:
        """Probe entries until cancelled."""
        while True:
            await asyncio.sleep(0.2)
            await self.probe(self._world.choose_entry())

    async def probe(self, program: Program) -> int:
        """Return the newest version that an entry serves; 0 if none was confirmed."""
        incarnation = (program.process.name, program.incarnation)
        before = self._seen.get(incarnation, 0)
        served = 0
        newest = self._world.configuration
        for version in range(max(1, newest - _PROBED_VERSIONS), newest + 1):
            if await self._is_served(program, version):
                served = version
                if version < before and incarnation[1] == program.incarnation:
                    self._world.record_violation(
                        f"{incarnation} serves version {version} after {before}"
                    )
        if incarnation[1] == program.incarnation:
            self._seen[incarnation] = max(before, served)
        return served

    async def _is_served(self, program: Program, version: int) -> bool:
        pool = Pool("127.0.0.1", program.process.port)
        # The version's own key: neither route nor key may come back.
        sent = (
            ("Host", HOST),
            (names.ATTEMPT_ID, f"probe-{version}"),
            (names.KEY, key_of_version(version)),
        )
        try:
            answer = await pool.request("GET", f"/only-{version}/x", sent, b"", 2.0)
        except TimeoutError:
            return False
        finally:
            pool.close()
        return not isinstance(answer, Refusal) and answer.status == 200
