"""Reward calls of sound items after a burst of crashes.

Guards against items that are never scored: a reward call during which three instances
had ended was refused for 30 s, then for 120 s and 600 s, then for an hour.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs
import pytest

from ...decisions._crash_quarantine import QUARANTINE_CRASHES
from ...errors import ErrorKind, Refusal, refuse
from ...fleet import RewardCall
from ...forwarding import FleetView, Forwarder, _forward
from ...http1 import Request, Response
from ...metrics import Metrics
from ...platform import Entry, names
from ...quarantine import CrashLedger, request_digest
from ...quarantine._ledger import StoredCrashes
from ...standins._instance_entry import instance_entry
from ...store.tests.scripted import now_s, run_virtual
from .. import JobLedger
from .._job_run import JobRun
from .._sample import Sample
from .._sample_scheduler import SampleScheduler
from .test_scheduler import run_of

#: Longest time for which a part of an item may be at no instance while all is calm, in
#: seconds.
_OWED_S: Final = 5.0
_HOST: Final = "h"
_PATH: Final = "/reward/score"
_BODY: Final = b"equal"
_REWARD_ROUTE: Final = {
    "name": "reward",
    "host": _HOST,
    "path-prefix": "/reward/",
    "type": "idempotent",
    "service": "app",
    "timeout-ms": 2000,
    "target-latency-ms": 200,
    "max-attempts": 3,
}


@attrs.define
class _Upstream:
    """A plain upstream whose instances end while they run a call, or answer it."""

    view: FleetView
    is_crashing: bool = False
    # Times at which calls reached an instance, in seconds.
    reached_s: list[float] = attrs.field(factory=list)
    starts: int = 0

    def start_instance(self) -> None:
        self.starts += 1
        value = instance_entry("app", slots=4)
        self.view.apply_instance(Entry(f"i-{self.starts}", 1, value, None), False)

    async def call(self, view: Any, handle: Any, *_more: Any) -> Response | Refusal:
        """Run a call in place of ``call_instance``."""
        self.reached_s.append(now_s())
        await asyncio.sleep(0.02)
        if not self.is_crashing:
            return Response(200, ((names.SIGNATURE, "sig"),), b"")
        view.apply_instance(Entry(handle.id, 1, None, None), True)
        self.start_instance()
        return refuse(ErrorKind.CONNECTION_LOST, "the instance ended")


@attrs.define
class _Stage:
    """An owner whose items have complete texts and wait for their scores."""

    upstream: _Upstream
    ledger: CrashLedger
    scheduler: SampleScheduler
    forwarder: Forwarder
    runs: dict[str, JobRun]

    def score(self, count: int) -> list[asyncio.Task[str | None]]:
        """Score a number of items whose calls differ in their ids only."""
        job = self.runs["job"]
        rewards = (
            RewardCall(f"reward-{number}", _HOST, _PATH, _BODY)
            for number in range(count)
        )
        samples = (
            Sample(attrs.evolve(item, reward=reward))
            for item, reward in zip(job.job.items, rewards, strict=False)
        )
        return [
            asyncio.create_task(self.scheduler._score(job, sample))
            for sample in samples
        ]


@pytest.fixture
def create_stage(monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[..., _Stage]]:
    def create(instances: int = 3, items: int = 1) -> _Stage:
        view = FleetView(lambda: None)
        configuration = {
            "version": 1,
            "routes": [_REWARD_ROUTE],
            "services": [{"name": "app", "max-connections": 90}],
        }
        view.apply_configuration(
            Entry(names.CONFIGURATION_NAME, 1, configuration, None), False
        )
        upstream = _Upstream(view)
        for _ in range(instances):
            upstream.start_instance()
        monkeypatch.setattr(_forward, "call_instance", upstream.call)
        ledger = CrashLedger()
        forwarder = Forwarder(view, "a", crashes=ledger)
        runs: dict[str, JobRun] = {}
        scheduler = SampleScheduler(view, forwarder, Metrics(), runs)
        runs["job"] = run_of(JobLedger(), items)
        runs["job"].give_up_s = 3600.0
        return _Stage(upstream, ledger, scheduler, forwarder, runs)

    yield create


async def _crash(stage: _Stage, crashes: int) -> None:
    """Let instances crash until a number of crashes, then be sound."""
    begun = stage.upstream.starts
    stage.upstream.is_crashing = True
    while stage.upstream.starts < begun + crashes:
        await asyncio.sleep(0.01)
    stage.upstream.is_crashing = False


@pytest.mark.parametrize("items", [1, 12])
@pytest.mark.parametrize("instances", [1, 2, 5])
@pytest.mark.parametrize("crashes", [2, 3, 5, 9])
def test_a_reward_call_is_sent_again_soon_after_a_burst_of_crashes(
    create_stage: Callable[..., _Stage], crashes: int, instances: int, items: int
) -> None:
    """Also where one instance is left, and where many items have equal calls."""

    async def work() -> None:
        stage = create_stage(instances, items)
        scores = stage.score(items)
        await _crash(stage, crashes)
        await asyncio.wait(scores, timeout=_OWED_S)
        assert [task.done() and task.result() for task in scores] == ["sig"] * items
        stage.runs["job"].stop()

    run_virtual(work)


def test_a_reward_call_is_sent_again_soon_after_each_of_many_bursts(
    create_stage: Callable[..., _Stage],
) -> None:
    """Guards against pauses that grow with each further burst."""

    async def work() -> None:
        stage = create_stage(4, 1)
        (score,) = stage.score(1)
        for _ in range(6):
            await _crash(stage, 1)
            stage.upstream.is_crashing = True
            await asyncio.sleep(_OWED_S)
            assert now_s() - stage.upstream.reached_s[-1] < _OWED_S
        stage.upstream.is_crashing = False
        await asyncio.wait((score,), timeout=_OWED_S)
        assert score.done() and score.result() == "sig"

    run_virtual(work)


@pytest.mark.parametrize("trials", [0, 3])
def test_a_record_of_the_store_holds_no_reward_call_back(
    create_stage: Callable[..., _Stage], trials: int
) -> None:
    """A new owner reads the record; no trial run can be claimed without the store."""

    async def work() -> None:
        stage = create_stage(3, 1)

        async def claim(_digest: str) -> bool:
            return False

        stage.ledger.claim_trial = claim
        request = Request("POST", _PATH, (("Host", _HOST),), _BODY, 0.0)
        crashed = frozenset({"a", "b", "c", "d"})
        stage.ledger.apply_stored(
            request_digest(request, ""), StoredCrashes(crashed, trials, 1)
        )
        scores = stage.score(1)
        await asyncio.wait(scores, timeout=_OWED_S)
        assert scores[0].done() and scores[0].result() == "sig"

    run_virtual(work)


def test_a_reward_call_that_goes_on_crashing_is_sent_once_in_a_while(
    create_stage: Callable[..., _Stage],
) -> None:
    """Guards the other requests of an upstream, whatever the number of equal calls."""

    async def work() -> None:
        stage = create_stage(6, 12)
        stage.upstream.is_crashing = True
        scores = stage.score(12)
        await asyncio.sleep(1.0)
        # The calls of all items were in flight before the first instance ended.
        begun = len(stage.upstream.reached_s)
        await asyncio.sleep(30.0)
        assert len(stage.upstream.reached_s) - begun <= 30.0 / 4.0
        for task in scores:
            task.cancel()

    run_virtual(work)


def test_an_equal_request_of_a_caller_stays_quarantined(
    create_stage: Callable[..., _Stage],
) -> None:
    """Guards the bound on the instances that a caller's request ends."""

    async def work() -> None:
        stage = create_stage(6, 1)
        stage.upstream.is_crashing = True
        configuration = stage.upstream.view.configuration
        assert configuration is not None
        (route,) = configuration.routes
        for number in range(60):
            request = Request("POST", _PATH, (("Host", _HOST),), _BODY, now_s())
            call = stage.forwarder.create_call(request, f"attempt-{number}", route)
            await stage.forwarder.forward(call)
            await asyncio.sleep(0.4)
        assert len(stage.upstream.reached_s) == QUARANTINE_CRASHES

    run_virtual(work)
