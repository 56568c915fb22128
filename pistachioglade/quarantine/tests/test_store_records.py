"""Tests of crash records that entries share through the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
import pytest

from ...errors import ErrorKind
from ...fleet import Instance
from ...http1 import Request
from ...platform import Entry
from ...store.tests.scripted import run_virtual
from ...store.tests.served import ServedStore, eventually, run, served_store
from .. import (
    CRASH_KIND,
    CrashLedger,
    CrashRecordStore,
    CrashReports,
    RequestGuard,
)
from .._store_records import decode_crashes


@attrs.define
class _Node:
    """One entry's ledger and its synchronization with the store."""

    ledger: CrashLedger
    records: CrashRecordStore
    # Crashes that the entry has reported to another entry.
    reports_sent: list[tuple[str, frozenset[str]]]

    def instances(self) -> set[str]:
        record = self.ledger.find("d")
        return set() if record is None else set(record.instances)


async def _no_changes(kind: str, revision: int) -> None:
    return None


@asynccontextmanager
async def _nodes(store: ServedStore, count: int) -> AsyncIterator[list[_Node]]:
    nodes = []
    tasks = []
    for _ in range(count):
        ledger = CrashLedger()
        reports_sent: list[tuple[str, frozenset[str]]] = []

        async def send(
            entry: str,
            digest: str,
            names: frozenset[str],
            reports_sent: list[Any] = reports_sent,
        ) -> bool:
            reports_sent.append((digest, names))
            return True

        records = CrashRecordStore(
            ledger, store.client(), _no_changes, lambda _digest: True
        )
        reports = CrashReports(ledger, lambda: {"other"}, send)
        nodes.append(_Node(ledger, records, reports_sent))
        tasks += [
            asyncio.create_task(records.mirror.run()),
            asyncio.create_task(records.run()),
            asyncio.create_task(reports.run()),
        ]
    try:
        for node in nodes:
            await node.records.mirror.is_synced.wait()
        yield nodes
    finally:
        for task in tasks:
            task.cancel()


def test_crashes_at_any_entry_are_known_to_all() -> None:
    async def work() -> None:
        async with served_store() as store, _nodes(store, 4) as nodes:
            for number, node in enumerate(nodes):
                node.ledger.record_crash("d", f"i-{number}", "r")
            expected = {f"i-{number}" for number in range(4)}
            await eventually(lambda: all(n.instances() == expected for n in nodes))
            assert all(node.ledger.quarantined_count == 1 for node in nodes)

    run(work)


def test_an_answer_at_one_entry_releases_a_request_at_all() -> None:
    async def work() -> None:
        async with served_store() as store, _nodes(store, 3) as nodes:
            for number, node in enumerate(nodes):
                node.ledger.record_crash("d", f"i-{number}", "r")
            await eventually(lambda: all(len(n.instances()) == 3 for n in nodes))
            nodes[1].ledger.record_answer("d")
            await eventually(lambda: not any(n.instances() for n in nodes))
            nodes[2].ledger.record_crash("d", "i-9", "r")
            await eventually(lambda: all(n.instances() == {"i-9"} for n in nodes))

    run(work)


def test_only_one_entry_claims_a_trial() -> None:
    async def work() -> None:
        async with served_store() as store, _nodes(store, 3) as nodes:
            nodes[0].ledger.record_crash("d", "i-1", "r")
            await eventually(lambda: all(n.instances() for n in nodes))
            claims = await asyncio.gather(*(n.records.claim_trial("d") for n in nodes))
            assert sorted(claims) == [False, False, True]

            def trials(node: _Node) -> int:
                record = node.ledger.find("d")
                return 0 if record is None else record.trials

            await eventually(lambda: all(trials(n) == 1 for n in nodes))

    run(work)


def test_one_trial_is_claimed_for_crashes_whose_reporter_has_ended() -> None:
    """A request whose crashes were only reported was refused for an hour."""

    async def work() -> None:
        async with served_store() as store, _nodes(store, 3) as nodes:
            for node in nodes:
                node.ledger.record_reported("d", ["i-1", "i-2", "i-3"])
            claims = await asyncio.gather(*(n.records.claim_trial("d") for n in nodes))
            assert sorted(claims) == [False, False, True]

            def trials(node: _Node) -> int:
                record = node.ledger.find("d")
                return 0 if record is None else record.trials

            await eventually(lambda: all(trials(n) == 1 for n in nodes))

    run(work)


def test_claims_in_an_outage_make_few_calls_to_the_store() -> None:
    """Each attempt waited for a claim of its own while the store was down."""

    async def work() -> None:
        async with served_store() as store, _nodes(store, 1) as nodes:
            node = nodes[0]
            node.ledger.record_reported("d", ["i-1", "i-2", "i-3"])
            store.standin.faults.down = True
            calls = len(store.calls)
            claims = await asyncio.gather(
                *(node.records.claim_trial("d") for _ in range(20))
            )
            assert not any(claims)
            writes = [call for call in store.calls[calls:] if call.startswith("PO")]
            assert 1 <= len(writes) <= 5, writes

    run(work)


def test_a_refusal_without_a_claim_says_when_to_return() -> None:
    """Refusals of a due trial run named 30 s while another attempt could claim it."""

    async def work() -> None:
        ledger = CrashLedger()
        request = Request("POST", "/a", (("Host", "h"),), b"", 0.0)
        guard = RequestGuard(ledger, request, "r")
        ledger.record_crash(guard.digest, "i-1", "r")
        ledger.record_reported(guard.digest, ["i-2", "i-3"])

        async def fail(digest: str) -> bool:
            return False

        ledger.claim_trial = fail
        await asyncio.sleep(31.0)
        spare = [Instance(name, "app", "h", 1, "", 8, False) for name in ("a", "b")]
        refusal = await guard.admit(lambda: spare)
        assert refusal is not None and refusal.kind is ErrorKind.QUARANTINED
        assert refusal.retry_after_s == 2.0

    run_virtual(work)


def test_no_trial_is_claimed_without_the_store() -> None:
    async def work() -> None:
        async with served_store() as store, _nodes(store, 1) as nodes:
            nodes[0].ledger.record_crash("d", "i-1", "r")
            await eventually(lambda: nodes[0].ledger.unwritten() == [])
            store.standin.faults.down = True
            assert not await nodes[0].records.claim_trial("d")

    run(work)


def test_crashes_in_an_outage_are_broadcast_once_and_written_afterwards() -> None:
    async def work() -> None:
        async with served_store() as store, _nodes(store, 2) as nodes:
            store.standin.faults.down = True
            nodes[0].ledger.record_crash("d", "i-1", "r")
            await eventually(lambda: bool(nodes[0].reports_sent))
            await asyncio.sleep(1.5)
            assert nodes[0].reports_sent == [("d", frozenset({"i-1"}))]
            store.standin.faults.down = False
            await eventually(lambda: nodes[1].instances() == {"i-1"})

    run(work)


def test_crashes_during_a_failing_write_are_broadcast_before_it_ends() -> None:
    """Other entries ran a request that was quarantined half a second before."""

    async def work() -> None:
        async with served_store() as store, _nodes(store, 1) as nodes:
            node = nodes[0]
            store.standin.faults.down = True
            node.ledger.record_crash("d", "i-1", "r")
            await eventually(lambda: bool(node.reports_sent))
            for name in ("i-2", "i-3"):
                node.ledger.record_crash("d", name, "r")
            # One turn of the event loop, in which no write can end.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert node.reports_sent[-1] == ("d", frozenset({"i-1", "i-2", "i-3"}))

    run(work)


def test_writes_recover_from_lost_answers() -> None:
    async def work() -> None:
        async with served_store() as store, _nodes(store, 2) as nodes:
            store.dropped_answers = 2
            nodes[0].ledger.record_crash("d", "i-1", "r")
            nodes[1].ledger.record_crash("d", "i-2", "r")
            await eventually(lambda: all(len(n.instances()) == 2 for n in nodes))
            await eventually(lambda: not any(n.ledger.unwritten() for n in nodes))

    run(work)


_MALFORMED_VALUES: list[Any] = [
    None,
    7,
    "i-1",
    {},
    {"instances": "i-1", "trials": 0},
    {"instances": [3], "trials": 0},
    {"instances": ["i-1"], "trials": -1},
    {"instances": ["i-1"], "trials": True},
    {"instances": ["i-1"]},
]


@pytest.mark.parametrize("value", _MALFORMED_VALUES)
def test_a_malformed_record_is_overwritten(value: Any) -> None:
    async def work() -> None:
        async with served_store() as store:
            await store.client().create(CRASH_KIND, "d", value, 1.0)
            async with _nodes(store, 2) as nodes:
                assert not any(node.instances() for node in nodes)
                nodes[0].ledger.record_crash("d", "i-2", "r")
                await eventually(lambda: nodes[1].instances() == {"i-2"})

    run(work)


def test_the_instances_read_from_a_record_are_bounded() -> None:
    names = [f"i-{number}" for number in range(1000)]
    read = decode_crashes(Entry("d", 1, {"instances": names, "trials": 0}, None))
    assert len(getattr(read, "instances", ())) == 64


def test_a_record_with_too_many_instances_is_written_once() -> None:
    async def work() -> None:
        async with served_store() as store, _nodes(store, 2) as nodes:
            for number in range(100):
                nodes[number % 2].ledger.record_crash("d", f"i-{number}", "r")
            await eventually(lambda: not any(n.ledger.unwritten() for n in nodes))
            await asyncio.sleep(0.2)
            # A record that never matches the ledger would be rewritten endlessly.
            calls = len(store.calls)
            await asyncio.sleep(1.0)
            assert len(store.calls) == calls
            assert all(node.ledger.quarantined_count == 1 for node in nodes)

    run(work)
