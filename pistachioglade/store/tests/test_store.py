"""The client and the mirror against a store that loses, refuses or delays calls."""

from __future__ import annotations

import asyncio

from ...errors import ErrorKind, Refusal, refuse
from ...http1 import Response
from ...platform import Entry, StoreCall
from .. import Mirror
from .served import ServedStore, eventually, run, served_store


def test_a_create_whose_answer_is_lost_is_retried_and_takes_effect_once() -> None:
    async def work() -> None:
        async with served_store() as store:
            store.dropped_answers = 2
            created = await store.client().create("jobs", "a", {"writer": 1}, 5.0)
            assert isinstance(created, Entry)
            assert created.value == {"writer": 1}
            assert sum(call.startswith("POST") for call in store.calls) == 3

    run(work)


def test_two_creates_of_one_name_both_return_the_first_object() -> None:
    async def work() -> None:
        async with served_store() as store:
            first = await store.client().create("jobs", "a", {"writer": 1}, 5.0)
            second = await store.client().create("jobs", "a", {"writer": 2}, 5.0)
            assert first == second

    run(work)


def test_a_create_without_any_answer_is_uncertain() -> None:
    async def work() -> None:
        async with served_store() as store:
            store.dropped_answers = 100
            created = await store.client().create("jobs", "a", {}, 0.5)
            assert isinstance(created, Refusal)
            assert created.kind is ErrorKind.PLATFORM_UNCERTAIN
            assert not created.did_not_run

    run(work)


def test_a_create_that_is_always_refused_did_not_run() -> None:
    async def work() -> None:
        async with served_store() as store:
            store.standin.faults.down = True
            created = await store.client().create("jobs", "a", {}, 0.5)
            assert isinstance(created, Refusal)
            assert created.kind is ErrorKind.PLATFORM_UNAVAILABLE
            assert created.did_not_run

    run(work)


def test_a_replace_of_an_outdated_revision_is_a_conflict() -> None:
    async def work() -> None:
        async with served_store() as store:
            client = store.client()
            created = await client.create("jobs", "a", {"n": 1}, 5.0)
            assert isinstance(created, Entry)
            await client.replace("jobs", "a", {"n": 2}, created.revision)
            late = await client.replace("jobs", "a", {"n": 3}, created.revision)
            assert isinstance(late, Refusal)
            assert late.kind is ErrorKind.CONFLICT
            found = await client.read("jobs", "a")
            assert isinstance(found, Entry)
            assert found.value == {"n": 2}

    run(work)


def test_a_refused_call_is_relayed_by_a_peer() -> None:
    async def work() -> None:
        async with served_store() as store, served_store() as other:
            client = store.client()
            store.standin.faults.down = True
            peer = other.client()
            client.relays = lambda: (peer.call_directly,)
            created = await client.create("jobs", "a", {}, 5.0)
            assert isinstance(created, Entry)
            assert not client.is_directly_reachable

    run(work)


def test_a_write_that_may_have_run_is_not_relayed() -> None:
    async def work() -> None:
        async with served_store() as store:
            client = store.client()
            relayed: list[StoreCall] = []

            async def relay(call: StoreCall, _timeout_s: float) -> Response | Refusal:
                relayed.append(call)
                return refuse(ErrorKind.LINK_NOT_OPEN, "no peer")

            client.relays = lambda: (relay,)
            store.dropped_answers = 1
            answer = await client.replace("jobs", "a", {}, 7)
            assert isinstance(answer, Refusal)
            assert answer.kind is ErrorKind.PLATFORM_UNCERTAIN
            assert not relayed

    run(work)


class _RecordedMirror:
    """Runs a mirror and records the changes that it reports."""

    def __init__(self, store: ServedStore, hold_s: float = 10.0) -> None:
        self.changes: list[tuple[str, bool]] = []
        self.client = store.client()
        self.mirror = Mirror(
            self.client,
            "jobs",
            lambda entry, is_removed: self.changes.append((entry.name, is_removed)),
            hold_s,
        )
        self.task = asyncio.get_running_loop().create_task(self.mirror.run())

    def stop(self) -> None:
        self.task.cancel()


def test_a_mirror_reads_all_pages_and_then_applies_changes() -> None:
    async def work() -> None:
        async with served_store() as store:
            writer = store.client()
            for number in range(120):
                await writer.create("jobs", f"{number:03d}", {}, 5.0)
            recorded = _RecordedMirror(store)
            await recorded.mirror.is_synced.wait()
            assert len(recorded.mirror.entries) == 120
            await writer.create("jobs", "new", {}, 5.0)
            await writer.delete("jobs", "007")
            await eventually(lambda: ("007", True) in recorded.changes)
            assert "new" in recorded.mirror.entries
            assert "007" not in recorded.mirror.entries
            recorded.stop()

    run(work)


def test_a_mirror_lists_again_when_the_history_is_gone() -> None:
    async def work() -> None:
        async with served_store() as store:
            writer = store.client()
            await writer.create("jobs", "a", {}, 5.0)
            recorded = _RecordedMirror(store)
            await recorded.mirror.is_synced.wait()
            store.standin.faults.down = True
            await asyncio.sleep(0.05)
            store.standin.faults.down = False
            await writer.delete("jobs", "a")
            await writer.create("jobs", "b", {}, 5.0)
            store.standin._forget_history()
            await eventually(lambda: list(recorded.mirror.entries) == ["b"])
            assert ("a", True) in recorded.changes
            recorded.stop()

    run(work)


def test_a_watch_sent_during_an_outage_is_resent_after_it() -> None:
    """A watch of 10 s, sent in an outage of 2.7 s, delayed a configuration."""

    async def work() -> None:
        async with served_store() as store:
            recorded = _RecordedMirror(store, hold_s=3600.0)
            beat = asyncio.get_running_loop().create_task(
                recorded.client.run_probes("jobs", "-")
            )
            await recorded.mirror.is_synced.wait()
            store.is_silent = True
            # The watch in progress ends with a change; the next one is never answered.
            await asyncio.to_thread(store.standin._create, "jobs", _creation("during"))
            await eventually(lambda: not recorded.client.is_directly_reachable)
            store.is_silent = False
            await asyncio.to_thread(store.standin._create, "jobs", _creation("after"))
            await eventually(lambda: "after" in recorded.mirror.entries)
            beat.cancel()
            recorded.stop()

    run(work)


def test_an_urgent_mirror_fetches_current_changes_without_waiting_for_more() -> None:
    """A new owner of jobs announced a version to engines only after a long pause."""

    async def work() -> None:
        async with served_store() as store:
            writer = store.client()
            is_stale_allowed = True
            mirror = Mirror(
                store.client(),
                "jobs",
                lambda _entry, _is_removed: None,
                hold_s=3600.0,
                batch_window_s=lambda: 3600.0,
                may_be_stale=lambda: is_stale_allowed,
            )
            task = asyncio.create_task(mirror.run())
            await mirror.is_synced.wait()
            await writer.create("jobs", "first", {}, 5.0)
            await eventually(lambda: "first" in mirror.entries)
            await writer.create("jobs", "second", {}, 5.0)
            is_stale_allowed = False
            mirror.fetch_now()
            await eventually(lambda: "second" in mirror.entries)
            watches = [call for call in store.calls if "watch=" in call]
            assert "allow-stale" in watches[0]
            assert "allow-stale" not in watches[-1]
            task.cancel()

    run(work)


def _creation(name: str):  # type: ignore[no-untyped-def]
    import json

    from ...standins._wsgi import StandinRequest

    body = json.dumps({"metadata": {"name": name}, "specification": {}}).encode()
    return StandinRequest("POST", ("v1", "objects", "jobs"), {}, body, {})


def test_a_mirror_keeps_the_newest_revision_of_an_object() -> None:
    async def work() -> None:
        async with served_store() as store:
            writer = store.client()
            recorded = _RecordedMirror(store)
            await recorded.mirror.is_synced.wait()
            created = await writer.create("jobs", "a", {"n": 1}, 5.0)
            assert isinstance(created, Entry)
            newer = await writer.replace("jobs", "a", {"n": 2}, created.revision)
            assert isinstance(newer, Entry)
            recorded.mirror.apply_newer(newer)
            recorded.mirror.apply_newer(created)
            assert recorded.mirror.entries["a"].value == {"n": 2}
            recorded.stop()

    run(work)
