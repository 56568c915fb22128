"""Brings one engine to the versions that trainers have named."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator, Mapping
from enum import Enum
from typing import Final

import attrs

from ..decisions import ORDER_WINDOW_S, should_load
from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Pool, Response
from ..logs import logger
from ..platform import (
    EngineState,
    decode_engine_state,
    encode_weight_order,
    expected_instance_fields,
    is_misdirected,
    names,
)
from ._order_lease import OrderLease

#: Time for one call to the engine.
_CALL_TIMEOUT_S: Final = ORDER_WINDOW_S / 2
#: Status of an order whose fencing token is lower than one that the engine has seen.
_FENCE_REFUSED: Final = 412


class Progress(Enum):
    """What a step has found."""

    # Nothing to order.
    CURRENT = "current"
    # An order is being carried out, or can't be given now.
    BEHIND = "behind"
    # The engine didn't tell its state.
    UNREADABLE = "unreadable"
    # Another engine answers at its address.
    ABSENT = "absent"
    # Another process orders it.
    SUPERSEDED = "superseded"


@attrs.frozen
class OrderStep:
    """The outcome of one step."""

    # What was found.
    progress: Progress
    # Time for which another step is of no use.
    wait_s: float = 0.0


class EngineOrders:
    """Reads one engine's state and orders the versions that are due there."""

    def __init__(
        self,
        engine: Pool,
        holder: str,
        lease: OrderLease,
        rank: Callable[[], Awaitable[int]],
        skips: bool,
        instance_id: str = "",
    ) -> None:
        self._engine = engine
        self._holder = holder
        self._lease = lease
        # Returns the engine's place among those of its upstream.
        self._rank = rank
        # Whether engines leave every other version out.
        self._skips = skips
        # Id that the engine must have; empty if any will do.
        self._instance_id = instance_id
        self._fields = (
            ("Host", f"{engine.host}:{engine.port}"),
            *(expected_instance_fields(instance_id) if instance_id else ()),
        )
        self._log = logger(__name__)
        self._wanted: dict[str, int] = {}
        # Incarnation of the engine that was last seen; 0 before any.
        self._born_ms = 0

    def want(self, model: str, version: int) -> bool:
        """Take a version that a trainer has named; return whether it is news."""
        if version <= self._wanted.get(model, 0):
            return False
        self._wanted[model] = version
        return True

    @property
    def wanted(self) -> Mapping[str, int]:
        """The named version of each model that this was told of."""
        return self._wanted

    async def step(self) -> OrderStep:
        """Bring the engine one step nearer to the named versions."""
        answer = await self._call("GET", names.ENGINE_STATE_PATH, b"")
        if isinstance(answer, Response) and is_misdirected(answer):
            return OrderStep(Progress.ABSENT)
        state = answer if isinstance(answer, Refusal) else decode_engine_state(answer)
        if isinstance(state, Refusal):
            self._log.warning("engine-unreadable", reason=state.reason)
            return OrderStep(Progress.UNREADABLE)
        if state.born_ms != self._born_ms:
            # Orders go by each report's own count: a new incarnation needs no more.
            self._log.info("engine-run", born_ms=state.born_ms, orders=state.orders)
            self._born_ms = state.born_ms
        if not any(self._is_behind(state, model) for model in self._wanted):
            return OrderStep(Progress.CURRENT)
        due = next(self._due(state, await self._rank()), None)
        if due is None:
            return OrderStep(Progress.CURRENT)
        if state.is_busy:
            return OrderStep(Progress.BEHIND)
        return await self._order(state, due)

    def _is_behind(self, state: EngineState, model: str) -> bool:
        wanted = self._wanted[model]
        return state.versions.get(model, wanted) < wanted

    def _due(self, state: EngineState, rank: int) -> Iterator[str]:
        """Return the models whose named version the engine loads now."""
        models = sorted(state.versions)
        return (
            model
            for model, version in self._wanted.items()
            if self._is_behind(state, model)
            and (
                not self._skips
                or should_load(rank, models, model, version, state.versions[model])
            )
        )

    async def _call(self, method: str, target: str, body: bytes) -> Response | Refusal:
        try:
            return await self._engine.request(
                method, target, self._fields, body, _CALL_TIMEOUT_S
            )
        except TimeoutError:
            reason = f"engine gave no answer in {_CALL_TIMEOUT_S} s"
            return refuse(ErrorKind.UPSTREAM_LOST, reason)

    async def _order(self, state: EngineState, model: str) -> OrderStep:
        fence = await self._lease.fence()
        if isinstance(fence, Refusal):
            self._log.info("engine-lease-refused", reason=fence.reason)
            if fence.kind is ErrorKind.CONFLICT:
                return OrderStep(Progress.SUPERSEDED)
            return OrderStep(Progress.BEHIND, fence.retry_after_s or 0.0)
        version = self._wanted[model]
        order = encode_weight_order(
            model, version, False, self._holder, fence, state.orders
        )
        answer = await self._call("POST", names.ENGINE_ORDER_PATH, order)
        if isinstance(answer, Response) and answer.status == _FENCE_REFUSED:
            self._lease.lost()
        self._log.info(
            "weights-ordered",
            engine=f"{self._engine.host}:{self._engine.port}",
            model=model,
            version=version,
            had=state.versions.get(model),
            orders_seen=state.orders,
            fence=fence,
            outcome=answer.reason if isinstance(answer, Refusal) else answer.status,
        )
        return OrderStep(Progress.BEHIND)
