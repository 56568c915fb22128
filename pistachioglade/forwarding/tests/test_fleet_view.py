"""Tests of the fleet view: store outages, entries of other writers and restarts."""

from __future__ import annotations

from typing import Any

import pytest

from ...decisions import StoreOutage
from ...http1._client import ClientConnection
from ...platform import Entry
from ...standins._instance_entry import instance_entry
from ...store.tests.served import run
from .. import FleetView

_ENTRY = Entry("i-1", 1, instance_entry("lm", slots=2), None)


@pytest.mark.parametrize(
    ("ended_s", "removed_s", "at_s", "is_open"),
    [
        # Without a recent outage the instance is removed at once.
        (None, 24.9, 24.9, False),
        (10.0, 24.9, 24.9, False),
        # The instance left the list around an outage and may soon be listed again.
        (23.6, 23.7, 25.7, True),
        (23.6, 23.7, 25.81, False),
        # The instance left unannounced just after an outage that only this node saw,
        # and must get no requests 2 s later. This node's last call to the store failed
        # at 23.5 s, and the next is answered at most 0.75 s later, at 24.25 s.
        (24.25, 24.909, 26.9, False),
    ],
)
def test_instances_unlisted_around_an_outage_stay_open_for_a_grace_period(
    ended_s: float | None, removed_s: float, at_s: float, is_open: bool
) -> None:
    async def work() -> None:
        now_s = 0.0
        outage = StoreOutage(ended_s=ended_s)
        view = FleetView(lambda: outage.age_s(now_s))
        view._now_s = lambda: now_s  # type: ignore[method-assign]
        view.apply_instance(_ENTRY, False)
        now_s = removed_s
        view.apply_instance(_ENTRY, True)
        now_s = at_s
        view.expire_lapsed()
        assert view.accepts_requests("i-1") is is_open

    run(work)


def test_longest_lapse_is_the_time_of_use_while_unlisted() -> None:
    async def work() -> None:
        now_s = 0.0
        view = FleetView(lambda: 0.0)
        view._now_s = lambda: now_s  # type: ignore[method-assign]
        view.apply_instance(_ENTRY, False)
        assert view.longest_unlisted_s == 0.0
        view.apply_instance(_ENTRY, True)
        now_s = 1.5
        assert view.longest_unlisted_s == 1.5
        view.apply_instance(_ENTRY, False)
        assert view.longest_unlisted_s == 0.0

    run(work)


@pytest.mark.parametrize(
    ("states", "is_open"),
    [
        (["ready", "resting"], False),
        (["ready", None], False),
        (["ready", "resting", "ready"], True),
        (["resting", "ready"], True),
        (["ready", "draining"], False),
        # An instance that is shutting down stays closed, whoever writes later entries.
        (["ready", "draining", "resting"], False),
        (["ready", "draining", "ready"], False),
        (["ready", "draining", "resting", "ready"], False),
    ],
)
def test_unreadable_and_draining_entries_close_an_instance(
    states: list[str | None], is_open: bool
) -> None:
    async def work() -> None:
        view = FleetView(lambda: None)
        other = instance_entry("lm")
        view.apply_instance(Entry("i-2", 1, other, None), False)
        for revision, state in enumerate(states, 2):
            value = instance_entry("lm", state=state)
            view.apply_instance(Entry("i-1", revision, value, None), False)
        assert view.accepts_requests("i-1") is is_open
        assert view.accepts_requests("i-2")
        assert ("i-1" in {item.id for item in view.open_instances("lm")}) is is_open
        view.apply_instance(Entry("i-1", 9, None, None), True)
        assert not view.accepts_requests("i-1")

    run(work)


def _entry_value(born: Any, version: int, state: str = "ready") -> dict[str, Any]:
    models = [{"name": "m", "version": version}]
    value = instance_entry("lm", models=models, state=state)
    return value if born is None else value | {"born": born}


@pytest.mark.parametrize(
    ("entries", "version", "is_open"),
    [
        # Same run: the highest version seen counts.
        ([_entry_value(5, 3), _entry_value(5, 2)], 3, True),
        # Restart: the versions of the new run count.
        ([_entry_value(5, 3), _entry_value(6, 1)], 1, True),
        # Restart after an announced shutdown.
        ([_entry_value(5, 3, "draining"), _entry_value(6, 1)], 1, True),
        # A late entry of the earlier run is ignored, even one that announces shutdown.
        ([_entry_value(6, 1), _entry_value(5, 3)], 1, True),
        ([_entry_value(6, 1), _entry_value(5, 3, "draining")], 1, True),
        # An entry whose run is missing or not a number is unreadable.
        ([_entry_value(5, 3), _entry_value(None, 3)], 3, False),
        ([_entry_value(5, 3), _entry_value("6", 1)], 3, False),
        ([_entry_value(5, 3), _entry_value(None, 3), _entry_value(5, 3)], 3, True),
        # Instances that never name their run.
        ([_entry_value(None, 3), _entry_value(None, 2)], 3, True),
        ([_entry_value(None, 3), _entry_value(5, 3)], 3, True),
    ],
)
def test_entries_are_matched_to_the_run_of_an_instance(
    entries: list[dict[str, Any]], version: int, is_open: bool
) -> None:
    async def work() -> None:
        view = FleetView(lambda: None)
        for revision, value in enumerate(entries, 1):
            view.apply_instance(Entry("i-1", revision, value, None), False)
        assert view.records["i-1"].versions == {"m": version}
        assert view.accepts_requests("i-1") is is_open

    run(work)


def test_a_restart_discards_the_record_and_closes_connections() -> None:
    async def work() -> None:
        view = FleetView(lambda: None)
        view.apply_instance(Entry("i-1", 1, _entry_value(5, 3), None), False)
        view.records["i-1"].record_failure(100.0)
        view.records["i-1"].record_load_report(7, 1, 100.0)
        pool = view.pools["i-1"]
        connection = ClientConnection()
        pool._busy.add(connection)
        view.apply_instance(Entry("i-1", 2, _entry_value(6, 1), None), False)
        assert connection.is_closed
        assert view.pools["i-1"] is not pool
        assert not view.records["i-1"].is_in_cooldown(100.0)
        assert view.records["i-1"].load(100.0) == 0

    run(work)
