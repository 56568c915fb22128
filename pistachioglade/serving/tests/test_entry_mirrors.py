"""An owner learns of a job's end and of another owner from the store itself."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, Final

import attrs
import pytest

from ...errors import Refusal
from ...forwarding import FleetView, Forwarder
from ...http1 import Response
from ...jobs import (
    JOB_KIND,
    JobLedger,
    JobOwner,
    JobReader,
    RecordSource,
    Submission,
    encode_submission,
)
from ...links import Identity, LinkPool
from ...metrics import Metrics
from ...platform import Entry, EntryChanges, names
from ...store import StoreClient
from ...store.tests.scripted import (
    ScriptedRoute,
    ScriptedStore,
    now_s,
    run_virtual,
    until,
)
from .._entry_mirrors import EntryMirrors, MirrorBounds

_ROUTE: Final = {
    "name": "jobs",
    "host": "h",
    "path-prefix": "/",
    "type": "rollout",
    "service": "lm",
}
#: The bound for an end to take effect, in seconds.
_CANCEL_TIMEOUT_S: Final = 3.0
_BOUNDS: Final = MirrorBounds(2.0, 2.0, _CANCEL_TIMEOUT_S)


class _StaleStore(ScriptedStore):
    """Shows nothing to watches that may be stale; other calls are current."""

    def __init__(self) -> None:
        super().__init__()
        # Whether each watch of jobs might be stale.
        self.stale_watches: list[bool] = []

    async def answer(self, method: str, target: str) -> Response:
        if JOB_KIND not in target or "watch=" not in target:
            return await super().answer(method, target)
        is_stale = "allow-stale=1" in target
        self.stale_watches.append(is_stale)
        if is_stale:
            await asyncio.Event().wait()
        return await super().answer(method, target)


@attrs.frozen
class _Entry:
    """One entry that follows the store's jobs."""

    store: _StaleStore
    client: StoreClient
    ledger: JobLedger
    owner: JobOwner
    mirrors: EntryMirrors

    def accept_job(self) -> None:
        """Accept a job here, as its first owner."""
        fields = {"items": [{"id": "i0", "path": "/"}]}
        submission = Submission("me@h:1", "b", "h", "/", 4e9, fields)
        value = encode_submission(submission)
        self.store.put(JOB_KIND, "job", value)
        entry = Entry("job", self.store.revision, value, None)
        self.ledger.apply_entry(entry, False, RecordSource.WRITE)


async def _silent_relay(kind: str, revision: int) -> EntryChanges | Refusal | None:
    """Wait for a relay whose own watch shows no changes."""
    await asyncio.Event().wait()
    return None


async def follow_nobody(kind: str, revision: int) -> EntryChanges | Refusal | None:
    return None


def create_entry(follow: Any) -> _Entry:
    store = _StaleStore()
    client = StoreClient("store", 1)
    client._pool = ScriptedRoute(store)  # type: ignore[assignment]
    view = FleetView(lambda: None)
    configuration = {"version": 1, "routes": [_ROUTE]}
    view.apply_configuration(
        Entry(names.CONFIGURATION_NAME, 1, configuration, None), False
    )
    ledger = JobLedger()
    links = LinkPool(Identity("me", ""))
    reader = JobReader("me@h:1", ledger, client, links, lambda _job: False)
    owner = JobOwner(
        "me@h:1", "b", view, ledger, client, Forwarder(view, "a"), reader, Metrics()
    )
    relays: Any = SimpleNamespace(fetch_changes=follow, is_relay=False)
    mirrors = EntryMirrors(client, view, ledger, owner, relays, lambda: _BOUNDS)
    return _Entry(store, client, ledger, owner, mirrors)


@pytest.mark.parametrize("follow", [follow_nobody, _silent_relay])
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("job.end", {}),
        ("job.owner", {"owner": "other@h:2", "earlier": "me@h:1", "is_alive": True}),
    ],
)
def test_an_owner_learns_of_changes_that_nobody_announces(
    follow: Any, name: str, value: Any
) -> None:
    """Guards against samples that run on after an end or beside another owner.

    The entry that acknowledged the end died before it announced the end, and the
    owner's watch was seconds late.
    """

    async def work() -> None:
        entry = create_entry(follow)
        watching = asyncio.create_task(entry.mirrors.jobs.run())
        await entry.mirrors.jobs.is_synced.wait()
        entry.owner.enable()
        # The watch that is in progress when the run begins may be stale.
        await until(1.0)
        entry.accept_job()
        await until(1.1)
        assert "job" in entry.owner.runs
        await until(5.0)
        entry.store.put(JOB_KIND, name, value)
        stored_s = now_s()
        while "job" in entry.owner.runs and now_s() < stored_s + 60.0:
            await asyncio.sleep(0.01)
        assert now_s() - stored_s < _CANCEL_TIMEOUT_S
        watching.cancel()

    run_virtual(work)


def test_an_entry_without_jobs_watches_at_the_lower_price() -> None:
    """Guards against full prices for entries that no change of a job concerns."""

    async def work() -> None:
        entry = create_entry(follow_nobody)
        watching = asyncio.create_task(entry.mirrors.jobs.run())
        await until(30.0)
        assert entry.store.stale_watches
        assert all(entry.store.stale_watches)
        watching.cancel()

    run_virtual(work)
