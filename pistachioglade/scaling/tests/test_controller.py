"""Orders of engine counts while their holder or the platform's API fails."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

import pytest

from ...decisions import EngineLimits
from ...errors import ErrorKind, refuse
from ...http1 import Fields, Response
from ...leases import DUTY_LEASE_KIND, Duty, Lease, LeaseTerms, PlatformApi
from ...leases.tests.fenced_api import FencedApi, be_busy, be_silent
from ...messages import AskDuty, FetchDemand
from ...platform import names
from ...store.tests.conditional import ConditionalStore
from ...store.tests.scripted import run_virtual, until
from .. import ScaledUpstream, ScalingController

_LEASE_S: Final = 3.0
_LIMITS: Final = EngineLimits(1, 6, 6.0)
_SLOTS: Final = 6


class _Node:
    """An entry with its part in the duty."""

    host = "api"
    port = 1

    def __init__(self, node: str, fleet: _Fleet) -> None:
        self.node = node
        self._fleet = fleet
        self.is_down = False
        self.reaches_api = True
        self.demand = 0
        terms = LeaseTerms(
            DUTY_LEASE_KIND, "scaling", _LEASE_S, True, may_call_at_once=True
        )
        lease = Lease(fleet.store, terms, node, "b")  # type: ignore[arg-type]
        self.duty = Duty("scaling", self, self, lease)  # type: ignore[arg-type]
        self.controller = ScalingController(
            self,
            self,  # type: ignore[arg-type]
            PlatformApi(self),  # type: ignore[arg-type]
            self.duty,
            lambda: fleet.upstreams,
            lambda: {"lm": self.demand},
        )
        self.task = asyncio.create_task(self.controller.run())

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(sorted(self._fleet.listed))

    @property
    def domains(self) -> dict[str, str]:
        return dict.fromkeys(self.names, "")

    def address_of_node(self, node: str) -> str:
        return node if node in self._fleet.listed else ""

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        await asyncio.sleep(0.002)
        other = self._fleet.nodes.get(address)
        if other is None or other.is_down:
            return refuse(ErrorKind.LINK_NOT_OPEN, "nobody")
        if isinstance(message, AskDuty):
            return other.duty.answer()
        assert isinstance(message, FetchDemand)
        return other.controller.answer(message)

    async def request(
        self, method: str, path: str, fields: Fields, body: bytes, timeout_s: float
    ) -> Response:
        assert (method, path) == ("POST", names.SCALING_PATH)
        async with asyncio.timeout(timeout_s):
            if not self.reaches_api:
                await asyncio.sleep(3600.0)
            return await self._fleet.api.request(fields, body)


class _Fleet:
    def __init__(self, scaled: bool = True) -> None:
        self.store = ConditionalStore()
        self.api = FencedApi(lambda body: body["zone"])
        engines = {"a": 2, "b": 2}
        self.upstreams = (
            (ScaledUpstream("lm", _LIMITS, _SLOTS, engines),) if scaled else ()
        )
        nodes = [f"entry-{number}" for number in range(4)]
        self.listed = set(nodes)
        self.nodes: dict[str, _Node] = {}
        for node in nodes:
            self.nodes[node] = _Node(node, self)

    def set_demand(self, total: int) -> None:
        for node in self.nodes.values():
            node.demand = total // len(self.nodes)

    @property
    def holder(self) -> _Node:
        return self.nodes[self.api.accepted[-1].holder]

    def stop(self) -> None:
        for node in self.nodes.values():
            node.task.cancel()

    @property
    def counts(self) -> dict[str, int]:
        """The engines that were last ordered, by failure domain."""
        orders = [call.body for call in self.api.accepted]
        return {order["zone"]: order["target-group-count"] for order in orders}

    def assert_safe(self) -> None:
        for call in self.api.accepted:
            count = call.body["target-group-count"]
            assert _LIMITS.minimum <= count <= _LIMITS.maximum
        self.api.assert_turns(_LEASE_S)


Fault = Callable[[_Fleet], Awaitable[None]]


async def _nothing(fleet: _Fleet) -> None:
    pass


async def _holder_lost(fleet: _Fleet) -> None:
    holder = fleet.holder
    holder.is_down = True
    holder.task.cancel()
    await asyncio.sleep(2.0)
    fleet.listed.discard(holder.node)


async def _holder_without_api(fleet: _Fleet) -> None:
    fleet.holder.reaches_api = False


async def _api_silent(fleet: _Fleet) -> None:
    await be_silent(fleet.api)


async def _api_busy(fleet: _Fleet) -> None:
    await be_busy(fleet.api)


async def _late_calls(fleet: _Fleet) -> None:
    fleet.api.late_calls_s += [3.0, 6.0]


async def _store_answers_lost(fleet: _Fleet) -> None:
    fleet.store.lost_answers = 3


@pytest.mark.parametrize(
    "fault",
    [
        _nothing,
        _holder_lost,
        _holder_without_api,
        _api_silent,
        _api_busy,
        _late_calls,
        _store_answers_lost,
    ],
)
def test_the_platform_ends_with_the_engines_that_the_demand_needs(fault: Fault) -> None:
    async def work() -> None:
        fleet = _Fleet()
        fleet.set_demand(24)
        await until(6.0)
        # Two engines a domain are there; the fifth is ordered.
        assert fleet.counts == {"a": 3}
        await fault(fleet)
        fleet.set_demand(44)
        # A lost entry's own demand is gone with it.
        await until(45.0)
        alive = [node for node in fleet.nodes.values() if not node.is_down]
        demand = sum(node.demand for node in alive)
        total = sum((fleet.upstreams[0].engines | fleet.counts).values())
        assert total * _SLOTS * 0.8 >= demand
        assert total <= 10
        fleet.stop()
        fleet.assert_safe()

    run_virtual(work)


def test_an_upstream_without_limits_costs_no_call() -> None:
    async def work() -> None:
        fleet = _Fleet(scaled=False)
        fleet.set_demand(100)
        await until(30.0)
        fleet.stop()
        assert fleet.store.calls == fleet.api.calls == 0

    run_virtual(work)


def test_a_demand_that_stays_costs_no_further_order() -> None:
    async def work() -> None:
        fleet = _Fleet()
        fleet.set_demand(24)
        await until(10.0)
        calls = fleet.api.calls
        await until(60.0)
        fleet.stop()
        assert fleet.api.calls == calls

    run_virtual(work)
