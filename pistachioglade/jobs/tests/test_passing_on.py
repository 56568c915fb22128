"""What the samples of a job lose when it passes on to another entry."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest

from ...decisions import Mechanism, Policy
from ...forwarding import FleetView, Forwarder
from ...links import Identity, LinkPool
from ...metrics import Metrics
from ...platform import Entry, names
from ...standins._fleet_instance import FleetInstance
from ...store.tests.served import eventually, run, served_store
from .. import JobLedger, JobOwner, JobReader, Submission, encode_submission
from .._job_run import JobRun
from .._sample_scheduler import SampleScheduler
from .test_scheduler import _entry, run_of

_ROUTE = {
    "name": "jobs",
    "host": "h",
    "path-prefix": "/",
    "type": "rollout",
    "service": "lm",
}


@attrs.frozen
class Scene:
    """An entry that runs a job of one sample, at an engine of 50 events a second."""

    owner: JobOwner
    ledger: JobLedger
    engine: FleetInstance

    def events(self) -> int:
        """Return the events that the next owner would get now, without asking."""
        owner = self.owner
        found = owner.runs.get("job") or owner._handed_over["job"]
        return sum(len(record.parts) for record in found.texts().texts)

    def pass_on(self) -> None:
        """Give the job to another entry."""
        value = {"owner": "other@h:2", "earlier": "me@h:1", "is_alive": True}
        self.ledger.take(Entry("job.owner", 9, value, None), False)
        assert "job" not in self.owner.runs


def play(case: Callable[[Scene], Awaitable[None]], policy: Policy) -> None:
    async def work() -> None:
        async with served_store() as store:
            client = store.client()
            view = FleetView(lambda: None)
            engine = FleetInstance("engine", "lm", ("m",), events=500, event_s=0.02)
            await engine.start()
            view.take_instance(Entry("engine", 1, engine.entry(), None), False)
            configuration = {"version": 1, "routes": [_ROUTE]}
            view.take_configuration(
                Entry(names.CONFIGURATION_NAME, 1, configuration, None), False
            )
            ledger = JobLedger()
            links = LinkPool(Identity("me", ""))
            reader = JobReader("me@h:1", ledger, client, links, lambda _job: False)
            forwarder = Forwarder(view, "a")
            owner = JobOwner(
                "me@h:1",
                "boot",
                view,
                ledger,
                client,
                forwarder,
                reader,
                Metrics(),
                policy,
            )
            owner.enable()
            fields = {"model": "m", "items": [{"id": "i0", "path": "/"}]}
            submission = Submission("me@h:1", "boot", "h", "/", 0.0, fields)
            ledger.take(Entry("job", 1, encode_submission(submission), None), False)
            await eventually(lambda: "job" in owner.runs)
            scene = Scene(owner, ledger, engine)
            await eventually(lambda: scene.events() >= 3)
            await case(scene)
            engine.stop()

    run(work)


def test_samples_run_on_until_the_next_owner_asks_for_their_texts() -> None:
    """Before: 0.2 to 0.35 s of each running sample was lost at a planned stop."""

    async def case(scene: Scene) -> None:
        before = scene.events()
        scene.pass_on()
        # What the next owner takes to read the job.
        await asyncio.sleep(0.2)
        made = scene.owner.texts("job")
        assert len(made.texts[0].parts) > before + 2
        await eventually(lambda: scene.engine.running == 0)
        assert scene.owner.texts("job") == made

    play(case, Policy())


def test_they_stop_by_themselves_where_nobody_asks() -> None:
    async def case(scene: Scene) -> None:
        scene.pass_on()
        await eventually(lambda: scene.engine.running == 0)
        assert scene.owner.texts("job").texts

    play(case, Policy())


def test_they_stop_with_the_job() -> None:
    async def case(scene: Scene) -> None:
        scene.pass_on()
        scene.ledger.take(Entry("job.end", 10, {}, None), False)
        run_on = scene.owner._handed_over.get("job")
        assert run_on is None
        await eventually(lambda: scene.engine.running == 0)

    play(case, Policy())


def test_without_it_they_stop_at_once() -> None:
    async def case(scene: Scene) -> None:
        before = scene.events()
        scene.pass_on()
        await asyncio.sleep(0.2)
        assert len(scene.owner.texts("job").texts[0].parts) <= before + 1

    play(case, Policy(frozenset({Mechanism.RUNNING_ON})))


@pytest.mark.parametrize("is_catching_up", [True, False])
def test_what_has_begun_elsewhere_goes_before_new_samples(is_catching_up: bool) -> None:
    """Eight jobs passed on; the one with most new samples filled the engines first."""

    async def work() -> None:
        view = FleetView(lambda: None)
        runs: dict[str, JobRun] = {}
        scheduler = SampleScheduler(
            view, Forwarder(view, "a"), Metrics(), runs, lambda: is_catching_up
        )
        runs["job"] = run_of(JobLedger(), 4)
        begun = runs["job"].samples["i3"]
        begun.text.parts, begun.text.last_event = ["x"], 0
        view.take_instance(_entry("one"), False)
        # One that hasn't would get a single sample, whatever is catching up.
        view.records["one"].answered()
        scheduler.is_enabled = True
        scheduler.start_waiting_samples()
        running = {
            name
            for name, sample in runs["job"].samples.items()
            if sample.running_at is not None
        }
        assert "i3" in running
        assert len(running) == (1 if is_catching_up else 2)
        runs["job"].stop()

    run(work)
