"""Copies of the store's objects whose watches the store never answers.

Guards against requests that are handled by an old configuration: the store was silent
for 0.3 s, and each entry waited 11 s for the watch that it had sent in that time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, Final

import attrs
import pytest

from ...decisions import relays_of
from ...jobs import JOB_KIND
from ...metrics import Metrics
from ...platform import names
from ...store import Mirror, StoreClient
from ...store.tests.scripted import (
    Condition,
    ScriptedRoute,
    ScriptedStore,
    now_s,
    run_virtual,
    until,
)
from .._version_announcer import VersionAnnouncer
from .test_entry_mirrors import create_entry, follow_nobody
from .test_watch_relays import DRAIN_S, Fleet

#: The shortest bounds of all deployments, in seconds.
_BOUNDS_S: Final = {
    names.CONFIGURATION_KIND: 2.0,
    names.INSTANCE_KIND: 2.0,
    JOB_KIND: 3.0,
    names.VERSION_KIND: 2.0,
}
_KINDS: Final = tuple(_BOUNDS_S)


@attrs.define
class _Copy:
    """One mirrored kind of an entry, as the entry's own code builds the mirror."""

    store: ScriptedStore
    route: ScriptedRoute
    client: StoreClient
    mirror: Mirror
    tasks: list[asyncio.Task[None]]
    changes: int = 0

    def change(self) -> str:
        """Store an object; return its name."""
        self.changes += 1
        name = f"object-{self.changes}"
        self.store.put(self.mirror._kind, name, {"number": self.changes})
        return name

    async def wait_for(self, name: str, at_s: float) -> None:
        """Wait until a time, and check that the copy shows an object then."""
        await until(at_s)
        assert name in self.mirror.entries, (name, now_s())

    def start(self) -> None:
        probes = self.client.run_probes("entries", "me")
        self.tasks += [
            asyncio.create_task(self.mirror.run()),
            asyncio.create_task(probes),
        ]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


def _announcer_mirror(client: StoreClient) -> Mirror:
    view: Any = SimpleNamespace(configuration=None)
    unused: Any = None
    announcer = VersionAnnouncer(
        client, view, unused, unused, 1, lambda: (), unused, 2.0
    )
    announcer._is_announcer = lambda: True  # type: ignore[method-assign]
    return announcer.mirror


def _create_copy(kind: str) -> _Copy:
    entry = create_entry(follow_nobody)
    client = entry.client
    route = client._pool
    assert isinstance(route, ScriptedRoute)
    if kind == JOB_KIND:
        entry.owner.runs["running"] = SimpleNamespace()  # type: ignore[assignment]
    mirror = (
        _announcer_mirror(client)
        if kind == names.VERSION_KIND
        else entry.mirrors.by_kind[kind]
    )
    mirror._on_change = lambda _entry, _is_removed: None
    return _Copy(entry.store, route, client, mirror, [])


def _run(kind: str, case: Callable[[_Copy], Any]) -> None:
    async def work() -> None:
        copy = _create_copy(kind)
        copy.start()
        try:
            await case(copy)
        finally:
            copy.stop()

    run_virtual(work)


async def _fall_silent(copy: _Copy, silence_s: float) -> None:
    """Let the store answer no call for a time, nor those that it reads meanwhile."""
    copy.route.set_condition(Condition.UNANSWERED)
    await asyncio.sleep(silence_s)
    copy.route.set_condition(Condition.WORKING)


@pytest.mark.parametrize("silence_s", [0.1, 0.3, 1.0, 4.0])
@pytest.mark.parametrize("lead_tenths", range(0, 30, 4))
@pytest.mark.parametrize("kind", _KINDS)
def test_a_silence_of_the_store_delays_no_change_beyond_its_bound(
    kind: str, lead_tenths: int, silence_s: float
) -> None:
    """The store falls silent some time after a change, and changes follow."""

    async def case(copy: _Copy) -> None:
        await until(10.0)
        copy.change()
        await asyncio.sleep(lead_tenths / 10)
        await _fall_silent(copy, silence_s)
        for _ in range(3):
            stored_s = now_s()
            await copy.wait_for(copy.change(), stored_s + _BOUNDS_S[kind])

    _run(kind, case)


@pytest.mark.parametrize("pause_tenths", range(0, 20, 3))
@pytest.mark.parametrize("kind", _KINDS)
def test_a_second_silence_delays_no_change_beyond_its_bound(
    kind: str, pause_tenths: int
) -> None:
    """The watch that replaces a lost watch is lost, too."""

    async def case(copy: _Copy) -> None:
        await until(10.0)
        copy.change()
        await _fall_silent(copy, 0.3)
        await asyncio.sleep(pause_tenths / 10)
        await _fall_silent(copy, 0.3)
        stored_s = now_s()
        await copy.wait_for(copy.change(), stored_s + _BOUNDS_S[kind])

    _run(kind, case)


@pytest.mark.parametrize("silence_s", [0.1, 0.3])
@pytest.mark.parametrize("kind", _KINDS)
def test_an_entry_that_has_just_started_knows_of_changes_in_time(
    kind: str, silence_s: float
) -> None:
    """The first watch of a process, which follows its first list, is lost."""

    async def case(copy: _Copy) -> None:
        await copy.mirror.is_synced.wait()
        await _fall_silent(copy, silence_s)
        stored_s = now_s()
        await copy.wait_for(copy.change(), stored_s + _BOUNDS_S[kind])

    _run(kind, case)


@pytest.mark.parametrize("kind", _KINDS)
def test_a_single_lost_watch_delays_no_change_beyond_its_bound(kind: str) -> None:
    """Only one call is lost; probes and other calls are answered all the while."""

    async def case(copy: _Copy) -> None:
        await until(10.0)
        copy.route.lose_next_watch()
        copy.change()
        await asyncio.sleep(3.0)
        stored_s = now_s()
        await copy.wait_for(copy.change(), stored_s + _BOUNDS_S[kind])

    _run(kind, case)


@pytest.mark.parametrize("answer_s", [0.3, 0.7])
@pytest.mark.parametrize("kind", _KINDS)
def test_watches_of_a_slow_store_are_answered(kind: str, answer_s: float) -> None:
    """Guards against watches that are replaced each time before a slow answer."""

    async def case(copy: _Copy) -> None:
        await until(10.0)
        copy.route.answer_s = answer_s
        for _ in range(5):
            name = copy.change()
            await asyncio.sleep(6.0)
            assert name in copy.mirror.entries

    _run(kind, case)


@pytest.mark.parametrize("kind", _KINDS)
def test_a_calm_copy_makes_two_calls_in_its_bound(kind: str) -> None:
    """Guards the price: each watch that ends without a change costs a call."""

    async def case(copy: _Copy) -> None:
        await until(10.0)
        before = copy.route.watches
        await asyncio.sleep(60.0)
        assert copy.route.watches - before <= 2 * 60.0 / _BOUNDS_S[kind] + 1

    _run(kind, case)


@pytest.mark.parametrize("tenth", range(0, 20, 3))
@pytest.mark.parametrize("hit", ["relay", "relays", "all"])
def test_followers_of_a_relay_with_a_lost_watch_know_of_changes_in_time(
    hit: str, tenth: int
) -> None:
    """Only a relay's watch is lost; the store answers all others."""

    async def work() -> None:
        fleet = Fleet()
        await until(10.0)
        fleet.store.put(names.INSTANCE_KIND, "first", {})
        relays = relays_of(fleet.names)
        struck = {"relay": relays[:1], "relays": relays, "all": fleet.names}[hit]
        for name in struck:
            fleet.nodes[name].connection.lose_next_watch()
        await asyncio.sleep(tenth / 10)
        stored_s = now_s()
        fleet.store.put(names.INSTANCE_KIND, "second", {})
        await fleet.slowest_s("second", stored_s, DRAIN_S)
        fleet.stop()

    run_virtual(work)


def test_a_lost_watch_renews_those_without_a_bound() -> None:
    """Guards against other copies that wait on for watches of the same silence."""

    async def case(copy: _Copy) -> None:
        other = Mirror(copy.client, "other", lambda _entry, _is_removed: None)
        copy.tasks.append(asyncio.create_task(other.run()))
        await other.is_synced.wait()
        copy.store.put("other", "first", {})
        copy.change()
        await _fall_silent(copy, 0.3)
        copy.store.put("other", "second", {})
        await asyncio.sleep(_BOUNDS_S[names.CONFIGURATION_KIND])
        assert "second" in other.entries

    _run(names.CONFIGURATION_KIND, case)


def test_watches_without_an_answer_are_counted() -> None:
    async def case(copy: _Copy) -> None:
        metrics = Metrics()
        copy.client._metrics = metrics
        await until(10.0)
        copy.route.lose_next_watch()
        copy.change()
        await asyncio.sleep(5.0)
        lines = metrics.render().decode().splitlines()
        counts = [line for line in lines if 'outcome="given-up"' in line]
        assert any(line.endswith(" 1.0") for line in counts)

    _run(names.CONFIGURATION_KIND, case)
