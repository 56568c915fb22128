"""Orders of engine counts while their holder or the platform's API fails."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Final

import attrs
import pytest

from ...decisions import EngineLimits
from ...errors import ErrorKind, refuse
from ...http1 import Fields, Response, first_field
from ...leases import DUTY_LEASE_KIND, Duty, Lease, LeaseTerms
from ...messages import AskDuty, FetchDemand
from ...platform import names
from ...store.tests.conditional import ConditionalStore
from ...store.tests.scripted import now_s, run_virtual, until
from .. import ScaledUpstream, ScalingController

_LEASE_S: Final = 3.0
_LIMITS: Final = EngineLimits(1, 6, 6.0)
_SLOTS: Final = 6


@attrs.frozen
class _Order:
    at_s: float
    holder: str
    token: int
    domain: str
    count: int


class _Api:
    """The platform's API, which checks fencing tokens for each domain."""

    def __init__(self) -> None:
        self.is_silent = False
        self.status: int | None = None
        # Delays of following calls that get no answer and are carried out later.
        self.late_calls_s: list[float] = []
        self.orders: list[_Order] = []
        self.counts: dict[str, int] = {}
        self.calls = 0
        self._highest: dict[str, int] = {}
        self._late: set[asyncio.Task[int]] = set()

    async def request(self, fields: Fields, body: bytes) -> Response:
        self.calls += 1
        await asyncio.sleep(0.005)
        if self.is_silent:
            await asyncio.sleep(3600.0)
        if self.status is not None:
            return Response(self.status)
        if self.late_calls_s:
            task = asyncio.create_task(
                self._accept_late(fields, body, self.late_calls_s.pop(0))
            )
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(3600.0)
        return Response(self._accept(fields, body))

    async def _accept_late(self, fields: Fields, body: bytes, delay_s: float) -> int:
        await asyncio.sleep(delay_s)
        return self._accept(fields, body)

    def _accept(self, fields: Fields, body: bytes) -> int:
        sent = json.loads(body)
        domain, token = sent["zone"], int(first_field(fields, names.FENCING_TOKEN) or 0)
        if token < self._highest.get(domain, 0):
            return 409
        self._highest[domain] = token
        self.counts[domain] = sent["target-group-count"]
        holder = first_field(fields, names.DUTY_HOLDER) or ""
        self.orders.append(_Order(now_s(), holder, token, domain, self.counts[domain]))
        return 200


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
            self,  # type: ignore[arg-type]
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
        self.api = _Api()
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
        return self.nodes[self.api.orders[-1].holder]

    def stop(self) -> None:
        for node in self.nodes.values():
            node.task.cancel()

    def assert_safe(self) -> None:
        by_token: dict[tuple[str, int], str] = {}
        for order in self.api.orders:
            key = order.domain, order.token
            assert by_token.setdefault(key, order.holder) == order.holder
            assert _LIMITS.minimum <= order.count <= _LIMITS.maximum
        for domain in ("a", "b"):
            orders = [item for item in self.api.orders if item.domain == domain]
            for i, first in enumerate(orders):
                for j in range(i + 1, len(orders)):
                    for third in orders[j + 1 :]:
                        if first.holder == third.holder != orders[j].holder:
                            assert third.at_s - first.at_s >= _LEASE_S


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
    fleet.api.is_silent = True
    await asyncio.sleep(4.0)
    fleet.api.is_silent = False


async def _api_busy(fleet: _Fleet) -> None:
    fleet.api.status = 429
    await asyncio.sleep(4.0)
    fleet.api.status = None


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
        assert fleet.api.counts == {"a": 3}
        await fault(fleet)
        fleet.set_demand(44)
        # A lost entry's own demand is gone with it.
        await until(45.0)
        alive = [node for node in fleet.nodes.values() if not node.is_down]
        demand = sum(node.demand for node in alive)
        total = sum((fleet.upstreams[0].engines | fleet.api.counts).values())
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
