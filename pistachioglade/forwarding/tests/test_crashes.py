"""Tests of the quarantine of lookups and streams at one entry."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest

from ...decisions import _crash_quarantine
from ...errors import ErrorKind, Refusal
from ...fleet import Route, RouteKind, Share
from ...http1 import Fields, Request, Response
from ...platform import Entry, names
from ...quarantine import CrashLedger, CrashReports
from ...standins._fleet_instance import FleetInstance
from ...store.tests.served import run
from .. import FleetView, Forwarder, StreamEnd, StreamForwarder

_ROUTE = Route(
    name="lookup",
    host="case.example",
    prefix="/",
    kind=RouteKind.IDEMPOTENT,
    shares=(Share("app", 1.0),),
    timeout_s=2.0,
    aim_s=0.3,
    max_attempts=1,
    priority=1,
    is_resumable=False,
    run_aim_s=None,
    retention_s=None,
    is_single_version=False,
)


class _Upstream:
    """Instances that crash on a request to ``/fatal``, and the view that lists them."""

    def __init__(self, models: tuple[str, ...]) -> None:
        self.view = FleetView(lambda: None)
        self.instances: list[FleetInstance] = []
        self._models = models

    async def add(self, is_fatal: bool = True) -> FleetInstance:
        number = len(self.instances)
        instance = FleetInstance(f"app-{number}", "app", self._models)
        instance.crash_paths = {"/fatal"} if is_fatal else set()
        await instance.start()
        instance.on_crash = lambda: self._remove(instance)
        self.instances.append(instance)
        entry = Entry(instance.id, number + 1, instance.entry(), None)
        self.view.apply_instance(entry, False)
        return instance

    def _remove(self, instance: FleetInstance) -> None:
        entry = Entry(instance.id, 0, instance.entry(), None)
        self.view.apply_instance(entry, True)

    def runs(self) -> int:
        return sum(instance.runs.total() for instance in self.instances)


#: Sends the request once and returns its answer, or None for a complete stream.
_Send = Callable[[], Awaitable[Response | Refusal | None]]


class _Sink:
    def begin(self, status: int, fields: Fields) -> None:
        pass

    async def write(self, part: bytes) -> None:
        pass

    def finish(self) -> None:
        pass


def _request() -> Request:
    fields = (("Host", "case.example"), (names.ATTEMPT_ID, "r"))
    return Request("POST", "/fatal", fields, b"", asyncio.get_running_loop().time())


def _lookup(
    upstream: _Upstream, crashes: CrashLedger | None = None, timeout_s: float = 2.0
) -> _Send:
    forwarder = Forwarder(upstream.view, "a", crashes=crashes)
    route = attrs.evolve(_ROUTE, timeout_s=timeout_s)

    async def send() -> Response | Refusal | None:
        return await forwarder.forward(forwarder.create_call(_request(), "r", route))

    return send


def _stream(
    upstream: _Upstream, crashes: CrashLedger | None = None, timeout_s: float = 2.0
) -> _Send:
    forwarder = StreamForwarder(upstream.view, "a", crashes=crashes)
    route = attrs.evolve(_ROUTE, kind=RouteKind.STREAMING, timeout_s=timeout_s)
    calls = Forwarder(upstream.view, "a")

    async def send() -> Response | Refusal | None:
        answer = await forwarder.forward(
            calls.create_call(_request(), "r", route), _Sink()
        )
        return None if answer is StreamEnd.COMPLETE else answer  # type: ignore[return-value]

    return send


_SENDERS = {"lookup": (_lookup, ()), "stream": (_stream, ("m",))}


@pytest.mark.parametrize("kind", _SENDERS)
def test_a_request_is_quarantined_after_three_crashes(kind: str) -> None:
    async def work() -> None:
        sender, models = _SENDERS[kind]
        upstream = _Upstream(models)
        for _ in range(6):
            await upstream.add()
        send = sender(upstream)
        answers = [await send() for _ in range(10)]
        kinds = [answer.kind for answer in answers if isinstance(answer, Refusal)]
        assert kinds == [ErrorKind.UPSTREAM_LOST] * 3 + [ErrorKind.QUARANTINED] * 7
        assert upstream.runs() == 3
        last = answers[-1]
        assert isinstance(last, Refusal) and last.did_not_run and last.retry_after_s

    run(work)


@pytest.mark.parametrize("kind", _SENDERS)
def test_a_request_that_stops_crashing_is_served_again(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_crash_quarantine, "_TRIAL_PAUSES_S", (0.3, 0.3, 0.3))

    async def work() -> None:
        sender, models = _SENDERS[kind]
        upstream = _Upstream(models)
        for number in range(5):
            await upstream.add(is_fatal=number < 3)
        send = sender(upstream)
        answers = [await send() for _ in range(4)]
        kinds = [answer.kind for answer in answers if isinstance(answer, Refusal)]
        assert kinds == [ErrorKind.UPSTREAM_LOST] * 3 + [ErrorKind.QUARANTINED]
        await asyncio.sleep(0.35)
        answers = [await send() for _ in range(3)]
        assert not any(isinstance(answer, Refusal) for answer in answers)

    run(work)


@pytest.mark.parametrize("kind", _SENDERS)
def test_a_run_that_began_before_the_first_crash_counts_as_running(kind: str) -> None:
    """A request ran beside an earlier run of it, and both could end an instance."""

    async def work() -> None:
        sender, models = _SENDERS[kind]
        upstream = _Upstream(models)
        slow = await upstream.add(is_fatal=False)
        slow.faults.silent = 1
        send = sender(upstream)
        earlier = asyncio.create_task(send())
        while not slow.runs.total():
            await asyncio.sleep(0.01)
        for _ in range(5):
            await upstream.add()
        answers = [await send() for _ in range(3)]
        earlier.cancel()
        kinds = [answer.kind for answer in answers if isinstance(answer, Refusal)]
        assert kinds == [ErrorKind.UPSTREAM_LOST] * 2 + [ErrorKind.QUARANTINED]

    run(work)


@pytest.mark.parametrize("kind", _SENDERS)
def test_a_failed_request_is_answered_when_other_entries_know_of_its_crash(
    kind: str,
) -> None:
    """A caller that retried at once ended instances at entries that knew of none."""

    async def work() -> None:
        sender, models = _SENDERS[kind]
        upstream = _Upstream(models)
        await upstream.add()
        ledger = CrashLedger()
        known: list[frozenset[str]] = []

        async def report(entry: str, digest: str, instances: frozenset[str]) -> bool:
            await asyncio.sleep(0.1)
            known.append(instances)
            return True

        reports = CrashReports(ledger, lambda: {"other"}, report)
        repeating = asyncio.create_task(reports.run())
        answer = await sender(upstream, ledger)()
        repeating.cancel()
        assert isinstance(answer, Refusal) and answer.kind is ErrorKind.UPSTREAM_LOST
        assert known == [frozenset({"app-0@0"})]

    run(work)


@pytest.mark.parametrize("kind", _SENDERS)
def test_a_trial_run_is_kept_until_an_instance_begins_it(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A claimed trial was used up by a try at an instance that refused connections."""
    monkeypatch.setattr(_crash_quarantine, "_TRIAL_PAUSES_S", (0.3, 30.0, 30.0))

    async def work() -> None:
        sender, models = _SENDERS[kind]
        upstream = _Upstream(models)
        for _ in range(5):
            await upstream.add()
        send = sender(upstream)
        for _ in range(3):
            await send()
        for instance in upstream.instances:
            instance.stop()
        await asyncio.sleep(0.35)
        refused = await send()
        assert isinstance(refused, Refusal) and refused.did_not_run
        await upstream.add(is_fatal=False)
        answers = [await send() for _ in range(3)]
        assert not all(isinstance(answer, Refusal) for answer in answers), answers

    run(work)


@pytest.mark.parametrize("kind", _SENDERS)
def test_a_failed_request_is_answered_before_its_deadline(kind: str) -> None:
    """A request that failed at once was answered at its deadline, as a timeout."""

    async def work() -> None:
        sender, models = _SENDERS[kind]
        upstream = _Upstream(models)
        await upstream.add()
        ledger = CrashLedger()

        async def report(entry: str, digest: str, instances: frozenset[str]) -> bool:
            await asyncio.sleep(5.0)
            return False

        reports = CrashReports(ledger, lambda: {"other"}, report)
        repeating = asyncio.create_task(reports.run())
        answer = await sender(upstream, ledger, 0.4)()
        repeating.cancel()
        assert isinstance(answer, Refusal) and answer.kind is ErrorKind.UPSTREAM_LOST

    run(work)
