"""Callers of an entry that is cut off from the store together with its neighbours."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest

from ...decisions import Mechanism, Policy
from ...errors import ErrorKind, Refusal, refuse
from ...forwarding import FleetView
from ...jobs import JOB_KIND
from ...links import Identity, LinkPool
from ...messages import Probe, ProbeAnswer, RelayAnswer, RelayCall
from ...platform import Entry, StoreCall
from ...store import StoreClient
from ...store.tests.served import eventually, run, served_store
from .._members import Members
from .._store_ways import StoreRelays

#: Names of the entry under test, of all ten entries, and of the third of them that is
#: cut off from the store: the entry under test and the two entries before it.
_ME = "e-3"
_NAMES = tuple(f"e-{number}" for number in range(10))
_CUT_OFF = frozenset({"e-1", "e-2", _ME})


@attrs.frozen
class _Scene:
    """A cut-off entry's client and relays, and the client that its relays use."""

    own_client: StoreClient
    relay_client: StoreClient
    store_relays: StoreRelays


def _links(relay_client: StoreClient) -> LinkPool:
    """Return links to entries, of which only some reach the store."""
    links = LinkPool(Identity(_ME, ""))

    async def call(address: str, message: Any, timeout_s: float) -> Any:
        if isinstance(message, Probe):
            return ProbeAnswer("b", 0.1, address not in _CUT_OFF)
        assert isinstance(message, RelayCall)
        if address in _CUT_OFF:
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "cut off as well")
        sent = StoreCall(message.method, message.target, message.body)
        answer = await relay_client.call_directly(sent, message.timeout_s)
        assert not isinstance(answer, Refusal)
        return RelayAnswer(answer.status, answer.body)

    links.call = call  # type: ignore[method-assign]
    return links


def _run_case(case: Callable[[_Scene], Awaitable[None]], policy: Policy) -> None:
    async def work() -> None:
        async with served_store() as near, served_store() as far:
            # ``far`` is the real store. ``near`` stands for a connection to the store
            # that carries no data.
            near.is_silent = True
            own_client, relay_client = near.client(), far.client()
            members = Members(_ME, _ME, 1.0, "b", own_client, FleetView(lambda: None))
            for revision, name in enumerate(_NAMES, 1):
                value = {"address": name, "boot": "b", "capacity": 1.0}
                members.mirror.apply_newer(Entry(name, revision, value, None))
            store_relays = StoreRelays(
                members, own_client, _links(relay_client), policy
            )
            own_client.relays = store_relays.relays
            # The answer of the ring neighbour to a probe.
            store_relays.record_answer("e-2", ProbeAnswer("b", 5.0, False))
            searching = asyncio.create_task(store_relays.run())
            await case(_Scene(own_client, relay_client, store_relays))
            searching.cancel()

    run(work)


async def _read_and_write(scene: _Scene) -> tuple[Entry | Refusal, Entry | Refusal]:
    """Read a job that the entry doesn't know, and write another job."""
    await scene.relay_client.create(JOB_KIND, "job", {"items": []}, 5.0)
    await scene.own_client.probe(JOB_KIND, "-", 0.2)
    assert not scene.own_client.is_directly_reachable
    # A refused caller retries half a second later.
    await asyncio.sleep(0.5)
    read = await scene.own_client.read(JOB_KIND, "job")
    written = await scene.own_client.create(JOB_KIND, "new", {"items": [1]}, 1.5)
    return read, written


def test_callers_of_a_cut_off_entry_are_served_through_any_relay() -> None:
    """Guards against reads and submissions that get 503 for 9 to 12 s.

    The only relay known was the entry before, which was cut off too.
    """

    async def case(scene: _Scene) -> None:
        read, written = await _read_and_write(scene)
        assert isinstance(read, Entry)
        assert read.value == {"items": []}
        assert isinstance(written, Entry)
        found = await scene.relay_client.read(JOB_KIND, "new")
        assert isinstance(found, Entry)

    _run_case(case, Policy())


def test_callers_of_a_cut_off_entry_are_refused_without_relays() -> None:
    async def case(scene: _Scene) -> None:
        read, written = await _read_and_write(scene)
        assert isinstance(read, Refusal)
        assert isinstance(written, Refusal)

    _run_case(case, Policy(frozenset({Mechanism.ANY_RELAY})))


def test_the_search_for_relays_ends_once_the_store_answers_again() -> None:
    async def work() -> None:
        async with served_store() as store:
            client = store.client()
            asked: list[str] = []
            links = LinkPool(Identity(_ME, ""))

            async def call(address: str, message: Any, timeout_s: float) -> Any:
                asked.append(address)
                return refuse(ErrorKind.LINK_NOT_OPEN, "nobody")

            links.call = call  # type: ignore[method-assign]
            members = Members(_ME, _ME, 1.0, "b", client, FleetView(lambda: None))
            value = {"address": "e-1", "boot": "b", "capacity": 1.0}
            members.mirror.apply_newer(Entry("e-1", 1, value, None))
            searching = asyncio.create_task(StoreRelays(members, client, links).run())
            await client.probe(JOB_KIND, "-", 1.0)
            await asyncio.sleep(0.1)
            assert asked == []
            store.standin.faults.down = True
            await client.probe(JOB_KIND, "-", 1.0)
            await eventually(lambda: len(asked) >= 2)
            store.standin.faults.down = False
            await client.probe(JOB_KIND, "-", 1.0)
            count = len(asked)
            await asyncio.sleep(1.0)
            assert len(asked) <= count + 1
            searching.cancel()

    run(work)


@pytest.mark.parametrize("status", [200, 404])
def test_a_relayed_call_returns_the_answer_of_the_store(status: int) -> None:
    async def case(scene: _Scene) -> None:
        await scene.relay_client.create(JOB_KIND, "job", {"n": 1}, 5.0)
        await scene.own_client.probe(JOB_KIND, "-", 0.2)
        await eventually(lambda: bool(scene.store_relays.relays()))
        found = await scene.own_client.read(
            JOB_KIND, "job" if status == 200 else "none"
        )
        if status == 200:
            assert isinstance(found, Entry)
            assert json.dumps(found.value) == '{"n": 1}'
        else:
            assert isinstance(found, Refusal)
            assert found.kind is ErrorKind.NOT_FOUND

    _run_case(case, Policy())
