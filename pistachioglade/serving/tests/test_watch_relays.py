"""Entries that follow relays of the store's changes, while relays are lost.

Guards against the cost of entries that all watch the list of instances themselves: with
sixty entries, half of what a calm day of the large deployment paid for the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs
import pytest

from ...decisions import RELAY_GATHER_FRACTION, relays_of
from ...errors import ErrorKind, Refusal, refuse
from ...links import Peer
from ...messages import ChangePage, FetchChanges
from ...platform import Entry, names
from ...store import Mirror, StoreClient
from ...store.tests.scripted import (
    Condition,
    ScriptedRoute,
    ScriptedStore,
    now_s,
    run_virtual,
    until,
)
from .._entry_messages import EntryMessages
from .._watch_relays import WatchRelays

#: Time for which a leaving instance serves: the shortest of all deployments.
DRAIN_S: Final = 2.0
NODES: Final = 20
KIND: Final = names.INSTANCE_KIND


@attrs.define
class _Members:
    """The list of entries, as one entry knows it."""

    node: str
    names: tuple[str, ...]
    is_leaving: bool = False

    def address_of_node(self, node: str) -> str:
        return node


class _CountingConnection(ScriptedRoute):
    """A connection to the store that counts the calls which are paid in full."""

    paid = 0

    async def request(self, method: str, target: str, *more: Any) -> Any:
        self.paid += "allow-stale" not in target
        return await super().request(method, target, *more)


class FleetNode:
    """An entry's copy of the instances, and its connections to store and entries."""

    def __init__(self, name: str, fleet: Fleet, policy: Any, kind: str) -> None:
        self.name = name
        self._fleet = fleet
        self.is_down = False
        self.connection = _CountingConnection(fleet.store)
        self.client = StoreClient("store", 1)
        self.client._pool = self.connection  # type: ignore[assignment]
        self.members = _Members(name, fleet.names)
        self.relays = WatchRelays(
            self.members,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            self.client,
            DRAIN_S,
            *policy,
        )
        self.mirror = Mirror(
            self.client,
            kind,
            self._record_change,
            batch_window_s=self._gather_s,
            follow=self._follow,
            bound_s=lambda: DRAIN_S,
        )
        self.relays.mirrors = {kind: self.mirror}
        self.messages = EntryMessages()
        self.messages.register(FetchChanges, self.relays.answer)
        # Time at which this entry first saw each object, in seconds, by name.
        self.seen_s: dict[str, float] = {}
        self.tasks = [
            asyncio.create_task(self.mirror.run()),
            asyncio.create_task(
                self.client.run_probes(
                    "entries", name, lambda: self.relays.store_check_interval_s
                )
            ),
        ]

    def _gather_s(self) -> float:
        fraction = RELAY_GATHER_FRACTION if self.relays.is_relay else 0.6
        return fraction * DRAIN_S

    async def _follow(self, kind: str, revision: int) -> Any:
        return await self.relays.fetch_changes(kind, revision)

    def _record_change(self, entry: Entry, is_removed: bool) -> None:
        if is_removed:
            self.seen_s[f"{entry.name} gone"] = now_s()
        else:
            self.seen_s.setdefault(entry.name, now_s())

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Call another entry, in place of a link pool."""
        other = self._fleet.nodes[address]
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(0.002)
                if other.is_down or self.is_down:
                    await asyncio.sleep(3600)
                return await other.messages.answer(message, Peer(self.name))
        except TimeoutError:
            return refuse(ErrorKind.DEADLINE_EXCEEDED, "no answer")

    def lose(self) -> None:
        """Stop without notice, as a machine that loses power."""
        self.is_down = True
        for task in self.tasks:
            task.cancel()


class Fleet:
    """All entries of one store."""

    def __init__(
        self, policy: tuple[Any, ...] = (), kind: str = KIND, size: int = NODES
    ) -> None:
        self.store = ScriptedStore()
        self.names = tuple(f"entry-{number:02d}" for number in range(size))
        self.nodes = {name: FleetNode(name, self, policy, kind) for name in self.names}
        self.relays = [self.nodes[name] for name in relays_of(self.names)]

    @property
    def alive(self) -> list[FleetNode]:
        return [node for node in self.nodes.values() if not node.is_down]

    @property
    def paid(self) -> int:
        return sum(node.connection.paid for node in self.nodes.values())

    async def slowest_s(self, name: str, since_s: float, limit_s: float) -> float:
        """Return the time until the last live entry has seen a change."""
        await until(since_s + limit_s)
        missing = [node.name for node in self.alive if name not in node.seen_s]
        assert not missing, (name, missing)
        return max(node.seen_s[name] for node in self.alive) - since_s

    def stop(self) -> None:
        for node in self.nodes.values():
            node.lose()


def _run_case(case: Callable[[Fleet], Awaitable[None]], *policy: Any) -> None:
    async def work() -> None:
        fleet = Fleet(policy)
        try:
            await case(fleet)
        finally:
            fleet.stop()

    run_virtual(work)


def test_a_change_reaches_all_entries_with_few_calls() -> None:
    async def case(fleet: Fleet) -> None:
        await until(5.0)
        before = fleet.paid
        slowest = [0.0]
        for number in range(40):
            at_s = now_s()
            fleet.store.put(KIND, f"i-{number}", {})
            slowest.append(await fleet.slowest_s(f"i-{number}", at_s, 1.0))
        assert max(slowest) < RELAY_GATHER_FRACTION * DRAIN_S + 0.1
        # Each of two relays makes at most one call for a change. The rest are watches
        # that end without a change.
        assert fleet.paid - before < 2 * 40 + NODES

    _run_case(case)


def test_an_object_that_is_removed_and_created_again_stays() -> None:
    async def case(fleet: Fleet) -> None:
        fleet.store.put(KIND, "i", {"run": 1})
        await until(5.0)
        fleet.store.remove(KIND, "i")
        fleet.store.put(KIND, "i", {"run": 2})
        await until(8.0)
        for node in fleet.alive:
            assert node.mirror.entries["i"].value == {"run": 2}
        fleet.store.remove(KIND, "i")
        await until(11.0)
        assert not any(node.mirror.entries for node in fleet.alive)

    _run_case(case)


@pytest.mark.parametrize("tenth", range(0, 20, 3))
@pytest.mark.parametrize("lost", [1, 2])
def test_lost_relays_delay_no_change_beyond_the_drain_time(
    lost: int, tenth: int
) -> None:
    """One or all relays fall silent just before a change."""

    async def case(fleet: Fleet) -> None:
        await until(10.0 + tenth / 10)
        for relay in fleet.relays[:lost]:
            relay.lose()
        at_s = now_s()
        fleet.store.put(KIND, "i", {})
        slowest_s = await fleet.slowest_s("i", at_s, DRAIN_S)
        assert slowest_s < DRAIN_S
        # The next change arrives through the remaining relay or from the store.
        at_s = now_s()
        fleet.store.put(KIND, "j", {})
        await fleet.slowest_s("j", at_s, DRAIN_S)

    _run_case(case)


@pytest.mark.parametrize("condition", [Condition.SILENT, Condition.REFUSED])
@pytest.mark.parametrize("tenth", range(0, 20, 3))
def test_a_relay_cut_off_from_the_store_delays_no_change_beyond_the_drain_time(
    tenth: int, condition: Condition
) -> None:
    """Only the relay is cut off; its followers still have to see changes in time."""

    async def case(fleet: Fleet) -> None:
        await until(10.0 + tenth / 10)
        relay = fleet.relays[0]
        relay.connection.set_condition(condition)
        at_s = now_s()
        fleet.store.put(KIND, "i", {})
        await until(at_s + DRAIN_S)
        others = [node for node in fleet.alive if node is not relay]
        assert all("i" in node.seen_s for node in others)

    _run_case(case)


def test_a_follower_whose_revision_is_unknown_lists_anew() -> None:
    async def case(fleet: Fleet) -> None:
        await until(5.0)
        for relay in fleet.relays:
            relay.mirror.log.reset(fleet.store.revision + 1)
        fleet.store.put(KIND, "i", {})
        fleet.store.put(KIND, "j", {})
        await until(8.0)
        assert all("j" in node.seen_s for node in fleet.alive)

    _run_case(case)


def test_an_entry_that_is_no_relay_refuses_followers() -> None:
    async def case(fleet: Fleet) -> None:
        await until(2.0)
        follower = next(node for node in fleet.alive if node not in fleet.relays)
        answer = await follower.relays.answer(FetchChanges(KIND, 0, 0.1))
        assert isinstance(answer, Refusal)
        leaving = fleet.relays[0]
        assert isinstance(
            await leaving.relays.answer(FetchChanges(KIND, 1, 0.1)), ChangePage
        )
        leaving.members.is_leaving = True
        answer = await leaving.relays.answer(FetchChanges(KIND, 1, 0.1))
        assert isinstance(answer, Refusal)

    _run_case(case)
