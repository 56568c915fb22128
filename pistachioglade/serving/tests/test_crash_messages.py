"""Crash records that entries send each other over links while the store is down."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import attrs

from soak._relay import Relay, RelayMode
from tests.ports import reserve_port

from ...forwarding import FleetView, Forwarder
from ...jobs import JobLedger, JobOwner, JobReader
from ...links import Identity, LinkPool, LinkServer
from ...metrics import Metrics
from ...platform import Entry
from ...quarantine import CrashLedger, CrashRecordStore, CrashReports
from ...store.tests.served import ServedStore, eventually, run, served_store
from .._entry_messages import EntryMessages
from .._members import Members
from .._peers import Peers

_DIGEST = "d"
#: Time within which an entry that can be reached again learns of crashes, in seconds:
#: a few times the interval of probes between entries.
_REPETITION_S = 3.0


@attrs.define
class _Node:
    """One entry's crash records, behind a relay that can lose its messages."""

    name: str
    ledger: CrashLedger
    members: Members
    records: CrashRecordStore
    # Relay in front of the node's link server.
    relay: Relay

    def crash_count(self) -> int:
        record = self.ledger.find(_DIGEST)
        return 0 if record is None else len(record.instances)

    def list_node(self, other: _Node) -> None:
        """List an entry here, as the watch of the list of entries does."""
        address = f"127.0.0.1:{other.relay.port}"
        value = {"address": address, "boot": "b", "capacity": 1.0}
        self.members.mirror.apply_newer(Entry(other.name, 1, value, None))


async def _no_changes(kind: str, revision: int) -> None:
    return None


@asynccontextmanager
async def _node(store: ServedStore, name: str) -> AsyncIterator[_Node]:
    client, view, ledger = store.client(), FleetView(lambda: None), CrashLedger()
    identity = Identity(name, "")
    links, jobs = LinkPool(identity), JobLedger()
    port = reserve_port()
    relay = Relay(port)
    address = f"127.0.0.1:{await relay.start()}"
    members = Members(name, address, 1.0, "b", client, view)
    own_name = members.own_name
    reader = JobReader(own_name, jobs, client, links, lambda _job: False)
    owner = JobOwner(
        own_name, "b", view, jobs, client, Forwarder(view, "a"), reader, Metrics()
    )
    peers = Peers(members, view, "b", client, links, jobs, owner, ledger)
    messages = EntryMessages()
    peers.register_messages(messages)
    server = LinkServer(identity, messages.answer)
    await server.start(f"127.0.0.1:{port}")
    records = CrashRecordStore(ledger, client, _no_changes, lambda _digest: True)
    reports = CrashReports(ledger, members.names_that_may_serve, peers.report_crashes)
    tasks = [
        asyncio.create_task(records.mirror.run()),
        asyncio.create_task(records.run()),
        asyncio.create_task(reports.run()),
    ]
    try:
        await records.mirror.is_synced.wait()
        yield _Node(name, ledger, members, records, relay)
    finally:
        for task in tasks:
            task.cancel()
        await links.close()
        await server.close()
        relay.stop()


@asynccontextmanager
async def _nodes(store: ServedStore, *names: str) -> AsyncIterator[list[_Node]]:
    """Run entries that are listed at each other."""
    async with AsyncExitStack() as stack:
        nodes = [await stack.enter_async_context(_node(store, name)) for name in names]
        for node in nodes:
            for other in nodes:
                node.list_node(other)
        yield nodes


def _record_crashes(node: _Node, count: int = 3) -> None:
    for number in range(count):
        node.ledger.record_crash(_DIGEST, f"i-{number}", "r")


async def _wait_for_crashes(node: _Node, timeout_s: float) -> int:
    """Return the number of crashes that a node knows at the latest after a time."""
    try:
        async with asyncio.timeout(timeout_s):
            await eventually(lambda: node.crash_count() >= 3)
    except TimeoutError:
        pass
    return node.crash_count()


def test_crashes_are_reported_again_after_a_lost_link() -> None:
    """Guards against a report that is sent once, over a link that is lost just then.

    The other entry learnt of the crashes only once the store was back.
    """

    async def work() -> None:
        async with served_store() as store, _nodes(store, "a", "b", "c") as nodes:
            first, second, third = nodes
            store.standin.faults.down = True
            second.relay.set_mode(RelayMode.RESET)
            _record_crashes(first)
            await asyncio.sleep(1.0)
            second.relay.set_mode(RelayMode.OPEN)
            known = await _wait_for_crashes(second, _REPETITION_S)
            assert third.crash_count() == 3
            assert known == 3

    run(work)


def test_crashes_are_reported_again_after_a_silent_link() -> None:
    """Guards against a report that is sent once, while a link is silent."""

    async def work() -> None:
        async with served_store() as store, _nodes(store, "a", "b") as nodes:
            first, second = nodes
            store.standin.faults.down = True
            _record_crashes(first, 2)
            await eventually(lambda: second.crash_count() == 2)
            second.relay.set_mode(RelayMode.SILENT)
            _record_crashes(first)
            await asyncio.sleep(1.0)
            # The silent connection is lost with what was sent over it.
            second.relay.reset()
            second.relay.set_mode(RelayMode.OPEN)
            assert await _wait_for_crashes(second, _REPETITION_S) == 3

    run(work)


def test_an_entry_that_is_listed_later_is_told_of_crashes() -> None:
    """Guards against reports only to the entries that are listed at that moment."""

    async def work() -> None:
        async with (
            served_store() as store,
            _node(store, "a") as first,
            _node(store, "b") as second,
        ):
            store.standin.faults.down = True
            _record_crashes(first)
            await asyncio.sleep(0.2)
            first.list_node(second)
            second.list_node(first)
            assert await _wait_for_crashes(second, _REPETITION_S) == 3

    run(work)


def test_an_entry_whose_listing_was_removed_is_told_of_crashes() -> None:
    """Guards against reports only to listed entries.

    An entry that had stood still was no longer listed and ended three more instances.
    """

    async def work() -> None:
        async with served_store() as store, _nodes(store, "a", "b") as nodes:
            first, second = nodes
            first.members.mirror.apply_newer(Entry(second.name, 2, None, None))
            store.standin.faults.down = True
            _record_crashes(first)
            assert await _wait_for_crashes(second, _REPETITION_S) == 3

    run(work)


def test_an_answer_in_an_outage_releases_a_request_at_all_entries() -> None:
    """Guards against a quarantine that outlives its request's answer.

    Reported crashes were cleared only with a stored record. The entry that had seen
    the crashes wrote none after the outage, since an answer had cleared them there, so
    that the others kept the request quarantined.
    """

    async def work() -> None:
        async with served_store() as store, _nodes(store, "a", "b") as nodes:
            first, second = nodes
            store.standin.faults.down = True
            _record_crashes(first)
            await eventually(lambda: second.crash_count() == 3)
            first.ledger.record_answer(_DIGEST)
            await asyncio.sleep(0.5)
            store.standin.faults.down = False
            async with asyncio.timeout(6.0):
                await eventually(lambda: second.crash_count() == 0)

    run(work)


def test_crashes_reported_by_a_lost_entry_are_written_by_another() -> None:
    """Guards against crashes that no entry writes to the store after an outage.

    The entry that had seen the crashes was lost. No trial run could be claimed at the
    others without a stored record, so that they kept the request quarantined.
    """

    async def work() -> None:
        async with served_store() as store, _nodes(store, "b", "c") as nodes:
            first, second = nodes
            async with _node(store, "a") as lost:
                lost.list_node(first)
                store.standin.faults.down = True
                _record_crashes(lost)
                await eventually(lambda: first.crash_count() == 3)
            # The last write of the lost entry ends before the store is back.
            await asyncio.sleep(1.0)
            store.standin.faults.down = False
            known = await _wait_for_crashes(second, _REPETITION_S)
            record = first.ledger.find(_DIGEST)
            assert record is not None
            assert (known, record.stored is not None) == (3, True)

    run(work)


def test_the_answer_to_a_report_names_crashes_that_its_sender_lacks() -> None:
    """Guards against an entry that reaches another one, which can't reach it.

    The entry ended three instances of its own before it quarantined the request.
    """

    async def work() -> None:
        async with served_store() as store, _nodes(store, "a", "b") as nodes:
            first, second = nodes
            store.standin.faults.down = True
            second.relay.set_mode(RelayMode.RESET)
            _record_crashes(first)
            second.ledger.record_crash(_DIGEST, "i-9", "r")
            await _wait_for_crashes(second, _REPETITION_S)
            assert second.crash_count() == first.crash_count() == 4

    run(work)
