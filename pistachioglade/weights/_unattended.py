"""Orders from an entry to engines whose own process of this service isn't live."""

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
    engine_rank,
    recently_listed,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Instance
from ..forwarding import FleetView
from ..http1 import Pool
from ..leases import ENGINE_LEASE_KIND, HolderStatus, Lease, LeaseTerms
from ..logs import logger
from ..messages import Acknowledged, EngineUnattended
from ..store import StoreClient
from ._engine_orders import EngineOrders, OrderStep, Progress

#: Time between two steps of an engine that loads weights, in seconds.
_POLL_INTERVAL_S: Final = 0.5
#: Longest pause after a refused lease, in seconds.
_MAX_PAUSE_S: Final = 6.0
#: Outcomes after which this entry stops ordering an engine.
_FINAL_OUTCOMES: Final = frozenset({Progress.ABSENT, Progress.SUPERSEDED})
#: Time without a newly named version after which an engine is dropped, in seconds.
_IDLE_TIMEOUT_S: Final = 60.0


@attrs.define(eq=False)
class _Engine:
    """An engine that this entry orders."""

    # The engine as listed when this entry began to order it.
    instance: Instance
    # Reads the engine's state and sends its orders.
    orders: EngineOrders
    # The lease on the engine's orders.
    lease: Lease
    # Connections to the engine.
    pool: Pool
    # Set when a step is due: a newer version was named, or the last step has not
    # brought the engine up to date.
    needs_step: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Held while an order may be in flight.
    step_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)


class FallbackEngineOrders:
    """Orders engines that have no live process of this service beside them.

    Each such engine is assigned to one entry, which orders the named versions.
    """

    def __init__(
        self,
        node: str,
        boot: str,
        store: StoreClient,
        view: FleetView,
        has_live_process: Callable[[Instance], Awaitable[bool]],
        assign_engine: Callable[[str, EngineUnattended], Awaitable[bool]],
        entry_for: Callable[[Instance], str],
        start_task: Callable[[str, Callable[[], Awaitable[None]]], None],
        lease_s: float,
        checks_fences: bool,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._node = node
        self._boot = boot
        self._store = store
        self._view = view
        # Returns whether the process beside an engine is live.
        self._has_live_process = has_live_process
        # Assigns an engine to another entry; returns whether that entry accepts it.
        self._assign_engine = assign_engine
        # Returns the entry that orders an engine according to the list of entries.
        self._entry_for = entry_for
        # Set when this process begins to stop.
        self._is_stopping = False
        # Starts a supervised task that may end.
        self._start_task = start_task
        self._lease_s = lease_s
        self._checks_fences = checks_fences
        self._skips_versions = policy.uses(Mechanism.SKIPPED_VERSIONS)
        self._log = logger(__name__)
        self._engines: dict[str, _Engine] = {}
        # Live holders of the leases on engines that were assigned to this entry, by
        # instance id.
        self._live_holders: dict[str, str] = {}
        # Monotonic time at which each engine was last listed, in seconds, by upstream
        # and address.
        self._last_listed_s: dict[str, dict[str, float]] = {}

    def accept_engine(self, message: EngineUnattended) -> Acknowledged | Refusal:
        """Start ordering an engine, or record a newly named version for it."""
        if self._is_stopping:
            return refuse(ErrorKind.LEAVING, "this entry stops")
        engine = self._engines.get(message.instance_id)
        if engine is None:
            instance = self._view.instances.get(message.instance_id)
            if instance is None or not self._view.accepts_requests(instance.id):
                return refuse(ErrorKind.NOT_FOUND, "an instance that isn't listed")
            engine = self._create_engine(instance)
            self._engines[instance.id] = engine
            self._log.info("engine-unattended", instance=instance.id)
            self._start_task("engine-orders", partial(self._run_orders, engine))
        if engine.orders.record_named_version(message.model, message.version):
            engine.needs_step.set()
        return Acknowledged()

    def _create_engine(self, instance: Instance) -> _Engine:
        address = f"{instance.host}:{instance.port}"
        lease = Lease(
            self._store,
            LeaseTerms(ENGINE_LEASE_KIND, address, self._lease_s, self._checks_fences),
            self._node,
            self._boot,
            partial(self._ask_holder, instance.id),
        )
        pool = Pool(instance.host, instance.port)
        rank = partial(self._find_rank, instance.upstream, address)
        orders = EngineOrders(
            pool, self._node, lease, rank, self._skips_versions, instance.id
        )
        return _Engine(instance, orders, lease, pool)

    async def _ask_holder(self, instance_id: str, holder: str) -> HolderStatus:
        return HolderStatus(await self._assign_to_holder(instance_id, holder))

    async def _assign_to_holder(self, instance_id: str, holder: str) -> bool:
        """Assign an engine to its lease's holder; return whether the holder accepts."""
        engine = self._engines.get(instance_id)
        is_accepted = engine is not None and await self._assign_to(engine, holder)
        if is_accepted:
            self._live_holders[instance_id] = holder
        return is_accepted

    async def _assign_to_last_holder(self, engine: _Engine) -> bool:
        """Assign an engine to the last known holder of its lease, without a store call.

        If there is none or it doesn't accept, acquire the lease now, since the first
        order after the acquisition has to wait. Return whether the holder accepts.
        """
        holder = self._live_holders.pop(engine.instance.id, None)
        if holder is not None and await self._assign_to_holder(
            engine.instance.id, holder
        ):
            return True
        if not await self._has_live_process(engine.instance):
            async with engine.step_lock:
                if not self._is_stopping:
                    await engine.lease.acquire()
        return False

    async def _assign_to(self, engine: _Engine, entry: str) -> bool:
        """Assign an engine and its named versions; return whether all were accepted."""
        accepted = [
            await self._assign_engine(
                entry, EngineUnattended(engine.instance.id, model, version)
            )
            for model, version in tuple(engine.orders.named_versions.items())
        ]
        return all(accepted)

    async def release_all(self) -> None:
        """Release all leases and assign the engines to other entries before a stop."""
        self._is_stopping = True
        await asyncio.gather(*map(self._release, tuple(self._engines.values())))

    async def _release(self, engine: _Engine) -> None:
        async with engine.step_lock:
            await engine.lease.release()
        entry = self._entry_for(engine.instance)
        if entry != self._node:
            await self._assign_to(engine, entry)

    async def _find_rank(self, upstream: str, address: str) -> int:
        """Return an engine's index in its upstream, by this entry's list."""
        listed = (
            f"{item.host}:{item.port}" for item in self._view.open_instances(upstream)
        )
        now_s = asyncio.get_running_loop().time()
        previous_s = self._last_listed_s.get(upstream, {})
        last_listed_s = recently_listed(previous_s, listed, now_s)
        self._last_listed_s[upstream] = last_listed_s
        return engine_rank(address, last_listed_s)

    async def _run_orders(self, engine: _Engine) -> None:
        """Order an engine until it leaves, is idle or is ordered by another process."""
        if self._engines.setdefault(engine.instance.id, engine) is not engine:
            return
        try:
            if await self._assign_to_last_holder(engine):
                return
            while await self._wait_for_version(engine):
                engine.needs_step.clear()
                async with engine.step_lock:
                    if self._is_stopping:
                        return
                    step = await engine.orders.step()
                if step.progress in _FINAL_OUTCOMES:
                    self._log.info(
                        "engine-left",
                        instance=engine.instance.id,
                        reason=step.progress.value,
                    )
                    return
                if step.progress is not Progress.CURRENT:
                    engine.needs_step.set()
                    await asyncio.sleep(_pause_s(step))
        finally:
            if self._engines.get(engine.instance.id) is engine:
                del self._engines[engine.instance.id]
            engine.pool.close_idle()

    async def _wait_for_version(self, engine: _Engine) -> bool:
        """Wait for a version to order; return False when this entry should stop.

        That is the case if no version was named for some time, the engine gets no new
        requests, or the process beside the engine is live again.
        """
        try:
            async with asyncio.timeout(_IDLE_TIMEOUT_S):
                await engine.needs_step.wait()
        except TimeoutError:
            return False
        if not self._view.accepts_requests(engine.instance.id):
            return False
        if await self._has_live_process(engine.instance):
            self._log.info("engine-attended-again", instance=engine.instance.id)
            return False
        return True


def _pause_s(step: OrderStep) -> float:
    return min(_MAX_PAUSE_S, max(_POLL_INTERVAL_S, step.wait_s))
