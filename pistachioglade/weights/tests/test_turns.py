"""Tests of orders from several processes to one engine, in virtual time.

They guard against two faults: orders of two holders that alternate within a lease, and
engines without a process of this service beside them that get no weights. A fleet with
entries and storage nodes only had 0 orders and 0 loads, and from the third version on
no step could run there.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from itertools import count, pairwise, product
from typing import Any

import attrs
import pytest

from ...http1 import Response
from ...leases import ENGINE_LEASE_KIND, HolderStatus, Lease, LeaseTerms
from ...platform import names
from ...store.tests.conditional import ConditionalStore
from ...store.tests.scripted import now_s, run_virtual, until
from .. import EngineOrders, OrderStep, Progress

LEASE_S = 3.0
#: Time between two named versions, in seconds.
VERSION_INTERVAL_S = 2.0
#: Duration of each simulation, in seconds.
DURATION_S = 40.0


@attrs.frozen
class Order:
    """An order that an engine has accepted."""

    # Virtual time of arrival, in seconds.
    at_s: float
    # Node that sent the order.
    holder: str
    # Fencing token of the order.
    fence: int
    # Ordered version.
    version: int


class Engine:
    """Stand-in for the connection pool of one engine and for the engine itself."""

    host = "10.0.0.9"
    port = 80

    def __init__(self, checks_fences: bool) -> None:
        self._checks_fences = checks_fences
        self._fence = 0
        self._busy_until_s = 0.0
        self.version = 1
        self.orders: list[Order] = []

    async def request(
        self, method: str, path: str, fields: Any, body: bytes, timeout_s: float
    ) -> Response:
        await asyncio.sleep(0.003)
        if path == names.ENGINE_STATE_PATH:
            return Response(200, (), json.dumps(self._report()).encode())
        return Response(self._accept(json.loads(body)))

    def _report(self) -> dict[str, Any]:
        return {
            "models": [{"name": "m", "version": self.version}],
            "busy": now_s() < self._busy_until_s,
            "sequence": len(self.orders),
        }

    def _accept(self, order: dict[str, Any]) -> int:
        if self._checks_fences and order["fencing-token"] < self._fence:
            return 412
        if now_s() < self._busy_until_s or order["expect"] != len(self.orders):
            return 409
        self._fence = order["fencing-token"]
        self._busy_until_s = now_s() + 0.9
        self.version = order["version"]
        accepted = Order(now_s(), order["holder"], self._fence, self.version)
        self.orders.append(accepted)
        return 202


class Holder:
    """A process that orders the engine while ``is_running`` is set."""

    def __init__(
        self,
        node: str,
        engine: Engine,
        store: ConditionalStore,
        is_beside: bool,
        checks: bool,
        ask_holder: Callable[[str], Awaitable[HolderStatus]] | None = None,
    ) -> None:
        self._ask_holder = ask_holder
        self._node = node
        self._engine = engine
        self._store = store
        self._is_beside = is_beside
        self._checks = checks
        self._boots = count()
        self.is_running = True
        self.start()

    def start(self) -> None:
        """Start or restart the process, with a new lease object."""
        terms = LeaseTerms(
            ENGINE_LEASE_KIND, "10.0.0.9:80", LEASE_S, self._checks, self._is_beside
        )
        self._lease = Lease(
            self._store,  # type: ignore[arg-type]
            terms,
            self._node,
            f"boot-{next(self._boots)}",
            self._ask_holder,
        )
        self._orders = EngineOrders(
            self._engine,  # type: ignore[arg-type]
            self._node,
            self._lease,
            self._rank,
            skips_versions=False,
        )

    async def release(self) -> None:
        await self._lease.release()

    async def _rank(self) -> int:
        return 0

    async def run(self) -> None:
        while True:
            if self.is_running:
                self._orders.record_named_version(
                    "m", 1 + int(now_s() / VERSION_INTERVAL_S)
                )
                step = await self._orders.step()
            else:
                step = OrderStep(Progress.CURRENT)
            await asyncio.sleep(max(0.2, min(1.0, step.wait_s)))


def assert_order_spacing(orders: list[Order]) -> None:
    """Check that tokens ascend and that changes of holder are a lease apart."""
    for earlier, later in pairwise(orders):
        assert later.fence >= earlier.fence, (earlier, later)
        if later.holder != earlier.holder:
            assert later.fence > earlier.fence, (earlier, later)
            assert later.at_s - earlier.at_s >= LEASE_S, (earlier, later)


async def _finish(tasks: list[asyncio.Task[None]]) -> None:
    await until(DURATION_S)
    for task in tasks:
        assert not task.done()
        task.cancel()


def test_an_engine_without_a_process_beside_it_gets_its_weights() -> None:
    async def work() -> None:
        engine, store = Engine(True), ConditionalStore()
        entry = Holder("entry", engine, store, is_beside=False, checks=True)
        await _finish([asyncio.create_task(entry.run())])
        assert engine.version >= DURATION_S / VERSION_INTERVAL_S
        assert_order_spacing(engine.orders)

    run_virtual(work)


def test_the_process_beside_an_engine_calls_the_store_once() -> None:
    async def work() -> None:
        engine, store = Engine(True), ConditionalStore()
        beside = Holder("beside", engine, store, is_beside=True, checks=True)
        await _finish([asyncio.create_task(beside.run())])
        assert engine.version >= DURATION_S / VERSION_INTERVAL_S
        assert store.calls == 1

    run_virtual(work)


#: Times at which the process beside the engine stops and returns: a stop at each tenth
#: of the time between two versions, and absences shorter and longer than a lease.
_ABSENCES = [
    (
        10.0 + tenth / 10 * VERSION_INTERVAL_S,
        10.0 + tenth / 10 * VERSION_INTERVAL_S + away_s,
    )
    for tenth, away_s in product(range(10), (0.3, 1.0, 3.0, 5.2, 7.0, 12.0))
]


@pytest.mark.parametrize("is_killed", [True, False])
@pytest.mark.parametrize("checks", [True, False])
def test_holders_of_one_engine_are_a_lease_apart(checks: bool, is_killed: bool) -> None:
    """The process beside the engine is killed or frozen, and returns later."""

    async def simulate(stopped_s: float, back_s: float) -> None:
        engine, store = Engine(checks), ConditionalStore()
        beside = Holder("beside", engine, store, is_beside=True, checks=checks)
        entry = Holder("entry", engine, store, is_beside=False, checks=checks)
        entry.is_running = False
        tasks = [asyncio.create_task(item.run()) for item in (beside, entry)]
        await until(stopped_s)
        beside.is_running = False
        # Time until the announcer's probe detects the change.
        await asyncio.sleep(0.5)
        entry.is_running = True
        await until(max(back_s, now_s()))
        if is_killed:
            beside.start()
        beside.is_running = True
        await asyncio.sleep(0.5)
        entry.is_running = False
        await _finish(tasks)
        assert_order_spacing(engine.orders)
        assert engine.version >= DURATION_S / VERSION_INTERVAL_S, (stopped_s, back_s)

    for stopped_s, back_s in _ABSENCES:
        run_virtual(
            lambda stopped_s=stopped_s, back_s=back_s: simulate(stopped_s, back_s)
        )


@pytest.mark.parametrize("lost_answers", [0, 1, 2])
def test_orders_of_two_entries_are_a_lease_apart(lost_answers: int) -> None:
    """Two entries with different lists order one engine; the lease decides."""

    async def simulate(begin_s: float, both_s: float) -> None:
        engine, store = Engine(False), ConditionalStore()
        first = Holder("first", engine, store, is_beside=False, checks=False)
        second = Holder("second", engine, store, is_beside=False, checks=False)
        second.is_running = False
        tasks = [asyncio.create_task(item.run()) for item in (first, second)]
        await until(begin_s)
        second.is_running = True
        store.lost_answers = lost_answers
        await asyncio.sleep(both_s)
        first.is_running = False
        await _finish(tasks)
        assert_order_spacing(engine.orders)
        assert engine.version >= DURATION_S / VERSION_INTERVAL_S, (begin_s, both_s)

    for tenth, both_s in product(range(10), (0.0, 0.7, 4.0)):
        begin_s = 10.0 + tenth / 10 * VERSION_INTERVAL_S
        run_virtual(lambda begin_s=begin_s, both_s=both_s: simulate(begin_s, both_s))


def test_a_frozen_holder_keeps_an_engine_that_does_not_check_fencing_tokens() -> None:
    """Nothing would stop a resumed holder, so no other process takes its lease."""

    async def work() -> None:
        engine, store = Engine(False), ConditionalStore()
        beside = Holder("beside", engine, store, is_beside=True, checks=False)
        entry = Holder("entry", engine, store, is_beside=False, checks=False)
        entry.is_running = False
        tasks = [asyncio.create_task(item.run()) for item in (beside, entry)]
        await until(10.1)
        beside.is_running, entry.is_running = False, True
        await _finish(tasks)
        assert {order.holder for order in engine.orders} == {"beside"}

    run_virtual(work)


@pytest.mark.parametrize("lost_answers", [0, 1])
def test_a_released_lease_is_taken_over_without_the_full_wait(
    lost_answers: int,
) -> None:
    """Guards against a wait of 5 s for each entry in a rolling stop of entries."""

    async def simulate(begin_s: float) -> None:
        engine, store = Engine(False), ConditionalStore()
        first = Holder("first", engine, store, is_beside=False, checks=False)
        second = Holder("second", engine, store, is_beside=False, checks=False)
        second.is_running = False
        tasks = [asyncio.create_task(item.run()) for item in (first, second)]
        await until(begin_s)
        first.is_running = False
        # A step in progress ends within this time.
        await asyncio.sleep(0.2)
        store.lost_answers = lost_answers
        await first.release()
        second.is_running = True
        await asyncio.sleep(LEASE_S + 2.5)
        if not lost_answers:
            assert engine.orders[-1].holder == "second"
        await _finish(tasks)
        assert_order_spacing(engine.orders)

    for tenth in range(10):
        begin_s = 10.0 + tenth / 10 * VERSION_INTERVAL_S
        run_virtual(lambda begin_s=begin_s: simulate(begin_s))


@pytest.mark.parametrize("is_alive", [True, False])
def test_a_lease_is_taken_over_only_from_a_dead_holder(is_alive: bool) -> None:
    """Guards against live entries that take over one engine from each other.

    Entries with different lists of entries did so, and each takeover cost 5 s.
    """

    async def work() -> None:
        engine, store = Engine(True), ConditionalStore()
        first = Holder("first", engine, store, is_beside=False, checks=True)
        asked: list[str] = []

        async def ask_holder(holder: str) -> HolderStatus:
            asked.append(holder)
            return HolderStatus(is_alive)

        second = Holder("second", engine, store, False, True, ask_holder)
        second.is_running = False
        tasks = [asyncio.create_task(item.run()) for item in (first, second)]
        await until(10.0)
        second.is_running = True
        first.is_running = is_alive
        await _finish(tasks)
        assert set(asked) == {"first"}
        assert engine.orders[-1].holder == ("first" if is_alive else "second")
        assert_order_spacing(engine.orders)

    run_virtual(work)


def test_a_restarted_holder_orders_without_a_wait() -> None:
    """Guards against a wait of 5 s for weights after all processes restarted."""

    async def work() -> None:
        engine, store = Engine(True), ConditionalStore()
        first = Holder("first", engine, store, is_beside=False, checks=True)
        second = Holder("second", engine, store, is_beside=False, checks=True)
        second.is_running = False
        tasks = [asyncio.create_task(item.run()) for item in (first, second)]
        await until(5.0)
        first.is_running, second.is_running = False, True
        await until(20.5)
        second.start()
        before = len(engine.orders)
        await asyncio.sleep(2.5)
        assert len(engine.orders) > before
        await _finish(tasks)
        assert_order_spacing(engine.orders)

    run_virtual(work)
