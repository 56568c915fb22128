"""A configuration at entries whose store falls silent just before the change.

Guards against requests that an entry answers by a configuration of before: a relay of
changes whose store had fallen silent took a version 3.2 s after its acknowledgement.
"""

from __future__ import annotations

import asyncio
from typing import Final

import pytest

from ...decisions import FULL_POLICY, Mechanism, Policy, relays_of
from ...errors import ErrorKind, Refusal, refuse
from ...http1 import Response
from ...messages import FetchNewer
from ...platform import Entry, StoreCall, names
from ...store.tests.scripted import Condition, now_s, run_virtual, until
from .._configuration_check import ConfigurationCheck
from .test_watch_relays import Fleet, FleetNode

KIND: Final = names.CONFIGURATION_KIND
NAME: Final = names.CONFIGURATION_NAME
#: Time within which a configuration has to be in force: the shortest of all
#: deployments.
BOUND_S: Final = 2.0


class _CheckedFleet(Fleet):
    """Entries that check each other's configurations."""

    def __init__(self, size: int, policy: Policy = FULL_POLICY) -> None:
        super().__init__((), KIND, size)
        for node in self.nodes.values():
            check = ConfigurationCheck(
                node.members,  # type: ignore[arg-type]
                node,  # type: ignore[arg-type]
                node.client,
                node.mirror,
                BOUND_S,
                policy,
            )
            node.messages.register(FetchNewer, check.answer)
            node.tasks.append(asyncio.create_task(check.run()))

    def silence(self, nodes: list[FleetNode], condition: Condition) -> None:
        for node in nodes:
            node.connection.set_condition(condition)

    def relay_reads(self, nodes: list[FleetNode]) -> None:
        """Let another entry relay the nodes' reads; their watches get no answer."""
        healthy = next(node for node in self.alive if node not in nodes)

        async def relay(call: StoreCall, timeout_s: float) -> Response | Refusal:
            if call.is_watch:
                await asyncio.sleep(timeout_s)
                return refuse(ErrorKind.UPSTREAM_LOST, "no answer")
            return await healthy.client.call_directly(call, timeout_s)

        for node in nodes:
            node.client.relays = lambda: (relay,)

    def revisions(self) -> list[int]:
        return [node.mirror.entries[NAME].revision for node in self.alive]


def _third(fleet: Fleet, with_relays: bool) -> list[FleetNode]:
    """Return a third of the entries, with or without the relays."""
    relays = set(relays_of(fleet.names))
    order = sorted(fleet.names, key=lambda name: (name in relays) != with_relays)
    return [fleet.nodes[name] for name in order[: len(fleet.names) // 3]]


@pytest.mark.parametrize("size", [4, 25])
@pytest.mark.parametrize("with_relays", [True, False])
@pytest.mark.parametrize("condition", [Condition.SILENT, Condition.REFUSED])
@pytest.mark.parametrize("lead_tenths", range(0, 16, 3))
@pytest.mark.parametrize("has_relayed_reads", [True, False])
def test_a_change_is_in_force_in_time_at_entries_without_the_store(
    size: int,
    with_relays: bool,
    condition: Condition,
    lead_tenths: int,
    has_relayed_reads: bool,
) -> None:
    """The store is lost to a third, some time before the change."""

    async def work() -> None:
        fleet = _CheckedFleet(size)
        fleet.store.put(KIND, NAME, {"version": 1})
        await until(10.0 + lead_tenths / 20)
        cut_off = _third(fleet, with_relays)
        fleet.silence(cut_off, condition)
        if has_relayed_reads:
            fleet.relay_reads(cut_off)
        await asyncio.sleep(lead_tenths / 10)
        fleet.store.put(KIND, NAME, {"version": 2})
        await until(now_s() + BOUND_S)
        late = [
            node.name for node in fleet.alive if node.mirror.entries[NAME].revision < 3
        ]
        assert not late
        fleet.stop()

    run_virtual(work)


def test_an_older_configuration_never_replaces_a_newer_one() -> None:
    async def work() -> None:
        fleet = _CheckedFleet(4)
        fleet.store.put(KIND, NAME, {"version": 1})
        await until(5.0)
        node = fleet.alive[0]
        node.mirror.add_relayed(Entry(NAME, 1, {"version": 0}, None))
        assert node.mirror.entries[NAME].value == {"version": 1}
        await until(15.0)
        assert set(fleet.revisions()) == {2}
        fleet.stop()

    run_virtual(work)


def test_without_the_check_an_entry_keeps_the_configuration_of_before() -> None:
    async def work() -> None:
        without = Policy(frozenset({Mechanism.CONFIGURATION_CHECK}))
        fleet = _CheckedFleet(25, without)
        fleet.store.put(KIND, NAME, {"version": 1})
        await until(10.0)
        fleet.silence(_third(fleet, True), Condition.SILENT)
        fleet.store.put(KIND, NAME, {"version": 2})
        await until(now_s() + BOUND_S)
        assert min(fleet.revisions()) == 2
        fleet.stop()

    run_virtual(work)
