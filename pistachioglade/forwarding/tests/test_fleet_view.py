"""The list of instances around outages of the store."""

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
    ("returned_s", "removed_s", "at_s", "is_open"),
    [
        # No outage: gone at once.
        (None, 24.9, 24.9, False),
        (10.0, 24.9, 24.9, False),
        # It left the list in an outage, and may be back soon.
        (23.6, 23.7, 25.7, True),
        (23.6, 23.7, 25.81, False),
        # It left unannounced just behind an outage that this node alone had, and gets
        # nothing more 2 s later (DRAIN, jalrekha-ops trouble-1, seed 101): the last
        # call had failed at 23.5 s, and the next is answered 0.75 s later at most.
        (24.25, 24.909, 26.9, False),
    ],
)
def test_instances_that_leave_the_list_around_an_outage(
    returned_s: float | None, removed_s: float, at_s: float, is_open: bool
) -> None:
    async def work() -> None:
        now_s = 0.0
        outage = StoreOutage(returned_s=returned_s)
        view = FleetView(lambda: outage.age_s(now_s))
        view._now_s = lambda: now_s  # type: ignore[method-assign]
        view.take_instance(_ENTRY, False)
        now_s = removed_s
        view.take_instance(_ENTRY, True)
        now_s = at_s
        view.expire_lapsed()
        assert view.may_send_to("i-1") is is_open

    run(work)


def test_the_time_of_an_instance_that_is_in_use_unlisted_is_seen() -> None:
    async def work() -> None:
        now_s = 0.0
        view = FleetView(lambda: 0.0)
        view._now_s = lambda: now_s  # type: ignore[method-assign]
        view.take_instance(_ENTRY, False)
        assert view.longest_lapse_s == 0.0
        view.take_instance(_ENTRY, True)
        now_s = 1.5
        assert view.longest_lapse_s == 1.5
        view.take_instance(_ENTRY, False)
        assert view.longest_lapse_s == 0.0

    run(work)


@pytest.mark.parametrize(
    ("states", "is_open"),
    [
        (["ready", "resting"], False),
        (["ready", None], False),
        (["ready", "resting", "ready"], True),
        (["resting", "ready"], True),
        (["ready", "draining"], False),
        # What is known to leave stays out, whoever wrote the later entries.
        (["ready", "draining", "resting"], False),
        (["ready", "draining", "ready"], False),
        (["ready", "draining", "resting", "ready"], False),
    ],
)
def test_entries_that_another_writer_left(
    states: list[str | None], is_open: bool
) -> None:
    async def work() -> None:
        view = FleetView(lambda: None)
        other = instance_entry("lm")
        view.take_instance(Entry("i-2", 1, other, None), False)
        for revision, state in enumerate(states, 2):
            value = instance_entry("lm", state=state)
            view.take_instance(Entry("i-1", revision, value, None), False)
        assert view.may_send_to("i-1") is is_open
        assert view.may_send_to("i-2")
        assert ("i-1" in {item.id for item in view.open_instances("lm")}) is is_open
        view.take_instance(Entry("i-1", 9, None, None), True)
        assert not view.may_send_to("i-1")

    run(work)


def _run_of(born: Any, version: int, state: str = "ready") -> dict[str, Any]:
    models = [{"name": "m", "version": version}]
    value = instance_entry("lm", models=models, state=state)
    return value if born is None else value | {"born": born}


@pytest.mark.parametrize(
    ("entries", "version", "is_open"),
    [
        # The same run: the highest version that was seen counts.
        ([_run_of(5, 3), _run_of(5, 2)], 3, True),
        # It started again, and holds what it held at its start.
        ([_run_of(5, 3), _run_of(6, 1)], 1, True),
        # It announced its leaving, ended, and started again.
        ([_run_of(5, 3, "draining"), _run_of(6, 1)], 1, True),
        # What comes late from the earlier run is dropped, its leaving too.
        ([_run_of(6, 1), _run_of(5, 3)], 1, True),
        ([_run_of(6, 1), _run_of(5, 3, "draining")], 1, True),
        # An entry without a run, or with one that is no number, is another writer's.
        ([_run_of(5, 3), _run_of(None, 3)], 3, False),
        ([_run_of(5, 3), _run_of("6", 1)], 3, False),
        ([_run_of(5, 3), _run_of(None, 3), _run_of(5, 3)], 3, True),
        # Instances that never name their run.
        ([_run_of(None, 3), _run_of(None, 2)], 3, True),
        ([_run_of(None, 3), _run_of(5, 3)], 3, True),
    ],
)
def test_second_starts_under_one_id(
    entries: list[dict[str, Any]], version: int, is_open: bool
) -> None:
    async def work() -> None:
        view = FleetView(lambda: None)
        for revision, value in enumerate(entries, 1):
            view.take_instance(Entry("i-1", revision, value, None), False)
        assert view.records["i-1"].versions == {"m": version}
        assert view.may_send_to("i-1") is is_open

    run(work)


def test_a_second_start_forgets_conduct_and_ends_connections() -> None:
    async def work() -> None:
        view = FleetView(lambda: None)
        view.take_instance(Entry("i-1", 1, _run_of(5, 3), None), False)
        view.records["i-1"].failed(100.0)
        view.records["i-1"].told_load(7, 1, 100.0)
        pool = view.pools["i-1"]
        connection = ClientConnection()
        pool._busy.add(connection)
        view.take_instance(Entry("i-1", 2, _run_of(6, 1), None), False)
        assert connection.is_closed
        assert view.pools["i-1"] is not pool
        assert not view.records["i-1"].is_resting(100.0)
        assert view.records["i-1"].load(100.0) == 0

    run(work)
