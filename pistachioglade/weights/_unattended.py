"""Orders to engines that have no live process of ours beside them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import attrs

from ..decisions import (
    FULL_POLICY,
    Mechanism,
    Policy,
    rank_of,
    remembered_places,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Instance
from ..forwarding import FleetView
from ..http1 import Pool
from ..logs import logger
from ..messages import Acknowledged, EngineUnattended
from ..store import StoreClient
from ._engine_orders import EngineOrders, OrderStep, Progress
from ._order_lease import OrderLease

#: Time between two looks at an engine that loads weights.
_LOOK_S: Final = 0.5
#: Longest pause behind a refused lease.
_LONGEST_PAUSE_S: Final = 6.0
#: What ends this entry's part.
_ENDS: Final = frozenset({Progress.ABSENT, Progress.SUPERSEDED})
#: Time without a named version after which an engine is forgotten.
_FORGET_S: Final = 60.0


@attrs.define(eq=False)
class _Engine:
    """An engine that this entry orders."""

    # The engine as the list of instances has it.
    instance: Instance
    # Its orders.
    orders: EngineOrders
    # The lease on them.
    lease: OrderLease
    # Connections to it.
    pool: Pool
    # Set when a version was named.
    has_news: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Held while an order may be under way.
    step_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)


class UnattendedEngines:
    """Orders the engines that this entry is told to attend."""

    def __init__(
        self,
        node: str,
        boot: str,
        store: StoreClient,
        view: FleetView,
        is_attended: Callable[[Instance], Awaitable[bool]],
        tell: Callable[[str, EngineUnattended], Awaitable[bool]],
        attendant_of: Callable[[Instance], str],
        start: Callable[[str, Callable[[], Awaitable[None]]], None],
        lease_s: float,
        checks_fences: bool,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._node = node
        self._boot = boot
        self._store = store
        self._view = view
        # Asks the process beside an engine whether it lives.
        self._is_attended = is_attended
        # Tells another entry of an engine; returns whether it attends it.
        self._tell = tell
        # Returns the entry that attends an engine by the list of entries.
        self._attendant_of = attendant_of
        # Set once the process stops.
        self._is_leaving = False
        # Starts supervised work that may end.
        self._start = start
        self._lease_s = lease_s
        self._checks_fences = checks_fences
        self._skips = policy.uses(Mechanism.SKIPPED_VERSIONS)
        self._log = logger(__name__)
        self._engines: dict[str, _Engine] = {}
        # Entries that hold engines which this one was told to attend.
        self._holders: dict[str, str] = {}
        # When each engine of an upstream was last listed, by upstream and address.
        self._places_s: dict[str, dict[str, float]] = {}

    def take(self, message: EngineUnattended) -> Acknowledged | Refusal:
        """Attend an engine from now on, for a version that a trainer has named."""
        if self._is_leaving:
            return refuse(ErrorKind.LEAVING, "this entry stops")
        engine = self._engines.get(message.instance_id)
        if engine is None:
            instance = self._view.instances.get(message.instance_id)
            if instance is None or not self._view.may_send_to(instance.id):
                return refuse(ErrorKind.NOT_FOUND, "an instance that isn't listed")
            engine = self._engine_of(instance)
            self._engines[instance.id] = engine
            self._log.info("engine-unattended", instance=instance.id)
            self._start("engine-orders", partial(self._attend, engine))
        if engine.orders.want(message.model, message.version):
            engine.has_news.set()
        return Acknowledged()

    def _engine_of(self, instance: Instance) -> _Engine:
        address = f"{instance.host}:{instance.port}"
        lease = OrderLease(
            self._store,
            address,
            self._node,
            self._boot,
            False,
            self._lease_s,
            self._checks_fences,
            partial(self._is_held, instance.id),
        )
        pool = Pool(instance.host, instance.port)
        rank = partial(self._rank, instance.upstream, address)
        orders = EngineOrders(pool, self._node, lease, rank, self._skips, instance.id)
        return _Engine(instance, orders, lease, pool)

    async def _is_held(self, instance_id: str, holder: str) -> bool:
        """Leave an engine to the entry that holds its lease, if that one lives."""
        engine = self._engines.get(instance_id)
        is_held = engine is not None and await self._pass_on(engine, holder)
        if is_held:
            self._holders[instance_id] = holder
        return is_held

    async def _is_held_elsewhere(self, engine: _Engine) -> bool:
        """Leave an engine to the entry that held it a moment ago, without the store.

        Else take its lease now, since the first order under it has to wait.
        """
        holder = self._holders.pop(engine.instance.id, None)
        if holder is not None and await self._is_held(engine.instance.id, holder):
            return True
        if not await self._is_attended(engine.instance):
            async with engine.step_lock:
                if not self._is_leaving:
                    await engine.lease.take()
        return False

    async def _pass_on(self, engine: _Engine, entry: str) -> bool:
        """Tell another entry all that is wanted of an engine."""
        told = [
            await self._tell(
                entry, EngineUnattended(engine.instance.id, model, version)
            )
            for model, version in tuple(engine.orders.wanted.items())
        ]
        return all(told)

    async def leave(self) -> None:
        """Release all leases and pass the engines on, as at a planned stop."""
        self._is_leaving = True
        await asyncio.gather(*map(self._let_go, tuple(self._engines.values())))

    async def _let_go(self, engine: _Engine) -> None:
        async with engine.step_lock:
            await engine.lease.release()
        entry = self._attendant_of(engine.instance)
        if entry != self._node:
            await self._pass_on(engine, entry)

    async def _rank(self, upstream: str, address: str) -> int:
        """Return an engine's place in its upstream, as this entry lists it."""
        listed = (
            f"{item.host}:{item.port}" for item in self._view.open_instances(upstream)
        )
        now_s = asyncio.get_running_loop().time()
        known_s = self._places_s.get(upstream, {})
        places_s = remembered_places(known_s, listed, now_s)
        self._places_s[upstream] = places_s
        return rank_of(address, places_s)

    async def _attend(self, engine: _Engine) -> None:
        """Order an engine until it leaves, nothing is named or its process is back."""
        if self._engines.setdefault(engine.instance.id, engine) is not engine:
            return
        try:
            if await self._is_held_elsewhere(engine):
                return
            while await self._has_work(engine):
                engine.has_news.clear()
                async with engine.step_lock:
                    if self._is_leaving:
                        return
                    step = await engine.orders.step()
                if step.progress in _ENDS:
                    self._log.info(
                        "engine-left",
                        instance=engine.instance.id,
                        reason=step.progress.value,
                    )
                    return
                if step.progress is not Progress.CURRENT:
                    engine.has_news.set()
                    await asyncio.sleep(_pause_s(step))
        finally:
            if self._engines.get(engine.instance.id) is engine:
                del self._engines[engine.instance.id]
            engine.pool.close_idle()

    async def _has_work(self, engine: _Engine) -> bool:
        """Wait for a version to order; False once this entry isn't needed any more."""
        try:
            async with asyncio.timeout(_FORGET_S):
                await engine.has_news.wait()
        except TimeoutError:
            return False
        if not self._view.may_send_to(engine.instance.id):
            return False
        if await self._is_attended(engine.instance):
            self._log.info("engine-attended-again", instance=engine.instance.id)
            return False
        return True


def _pause_s(step: OrderStep) -> float:
    return min(_LONGEST_PAUSE_S, max(_LOOK_S, step.wait_s))
