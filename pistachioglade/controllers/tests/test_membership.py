"""Membership over fake links: joining, partitions, suspicion, refutation."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from ...backing import Instance
from ...blackboard import Blackboard
from ...config import NodeSettings
from ...errors import ErrorKind, refuse
from ...messages import (
    BucketRecords,
    Digest,
    MemberChanges,
    MemberRecord,
    MemberState,
    NodeRole,
    RootOffer,
)
from .._membership import MembershipController


class FakeNetwork:
    """Links by address; an address that is down does not answer."""

    def __init__(self) -> None:
        self.nodes: dict[str, MembershipController] = {}
        self.down: set[str] = set()

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        node = self.nodes.get(address)
        if node is None or address in self.down:
            return refuse(ErrorKind.LINK_NOT_OPEN, "down")
        if isinstance(message, Digest):
            return node.answer_digest(message)
        if isinstance(message, BucketRecords | MemberChanges):
            node.merge_records(message.records)
        return RootOffer(0)

    def addresses(self) -> tuple[str, ...]:
        return ()

    async def close_link(self, address: str) -> None:
        return None


class FakeRoot:
    """A root that never changes."""

    generation = 0

    async def fetch_from_peer(self, address: str, generation: int) -> None:
        return None


class FakeList:
    """An instance list with given addresses."""

    def __init__(self, addresses: list[str]) -> None:
        self.instances = tuple(Instance(item, item, False) for item in addresses)

    def read(self) -> tuple[Instance, ...]:
        return self.instances


def create_node(
    network: FakeNetwork, name: str, listed: FakeList
) -> MembershipController:
    settings = NodeSettings(
        name,
        "a",
        name,
        "",
        "",
        "",
        suspect_after_s=0.3,
        dead_after_s=0.3,
        digest_interval_s=0.1,
        join_interval_s=0.2,
    )
    own = MemberRecord(name, 1, 1, MemberState.ALIVE, NodeRole.AGENT, name, "a")
    node = MembershipController(
        settings,
        own,
        Blackboard(),
        network,
        FakeRoot(),
        listed,  # type: ignore[arg-type]
    )
    network.nodes[name] = node
    return node


def states(node: MembershipController) -> dict[str, MemberState]:
    return {record.node: record.state for record in node._table.records()}


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.02)


def run(scenario: Callable[[FakeNetwork, FakeList], Awaitable[None]]) -> None:
    listed = FakeList([f"n{number}" for number in range(6)])
    asyncio.run(asyncio.wait_for(scenario(FakeNetwork(), listed), 60))  # type: ignore


def test_partitions_that_formed_at_the_start_merge() -> None:
    async def scenario(network: FakeNetwork, listed: FakeList) -> None:
        nodes = [create_node(network, f"n{number}", listed) for number in range(6)]
        left, right = nodes[:3], nodes[3:]
        for partition in (left, right):
            for node in partition:
                node.merge_records([peer.own for peer in partition])
        tasks = [asyncio.create_task(node.run()) for node in nodes]
        await wait_until(lambda: all(len(states(node)) == 6 for node in nodes))
        for task in tasks:
            task.cancel()

    run(scenario)


def test_a_silent_member_is_declared_dead_and_is_alive_after_its_return() -> None:
    async def scenario(network: FakeNetwork, listed: FakeList) -> None:
        nodes = [create_node(network, f"n{number}", listed) for number in range(4)]
        tasks = [asyncio.create_task(node.run()) for node in nodes]
        await wait_until(lambda: all(len(states(node)) == 4 for node in nodes))
        network.down.add("n2")
        tasks[2].cancel()
        await wait_until(lambda: states(nodes[0])["n2"] is MemberState.DEAD)
        network.down.clear()
        tasks[2] = asyncio.create_task(nodes[2].run())
        await wait_until(
            lambda: all(states(node)["n2"] is MemberState.ALIVE for node in nodes)
        )
        for task in tasks:
            task.cancel()

    run(scenario)
