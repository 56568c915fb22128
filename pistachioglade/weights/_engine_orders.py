"""Orders one engine to load the weight versions that trainers have named."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator, Mapping
from enum import Enum
from typing import Final

import attrs

from ..decisions import CALL_WINDOW_S, should_load
from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Pool, Response
from ..leases import Lease
from ..logs import logger
from ..platform import (
    EngineState,
    decode_engine_state,
    encode_weight_order,
    expected_instance_fields,
    is_misdirected,
    names,
)

#: Timeout of one call to the engine, in seconds.
_CALL_TIMEOUT_S: Final = CALL_WINDOW_S / 2
#: Status of an order whose fencing token is lower than one that the engine has seen.
_TOKEN_REFUSED_STATUS: Final = 412


class Progress(Enum):
    """State of an engine relative to the named versions, as found by one step."""

    # The engine needs no order.
    CURRENT = "current"
    # An order was sent or is being carried out, or none can be sent now.
    BEHIND = "behind"
    # The engine's state report is missing or malformed.
    UNREADABLE = "unreadable"
    # Another engine answers at the engine's address.
    ABSENT = "absent"
    # Another process sends the engine's orders.
    SUPERSEDED = "superseded"


@attrs.frozen
class OrderStep:
    """The outcome of one step."""

    # State that the step has found.
    progress: Progress
    # Time before which another step can't succeed, in seconds from now.
    wait_s: float = 0.0


class EngineOrders:
    """Reads one engine's state and orders the versions that it should load now."""

    def __init__(
        self,
        engine: Pool,
        holder: str,
        lease: Lease,
        rank: Callable[[], Awaitable[int]],
        skips_versions: bool,
        instance_id: str = "",
    ) -> None:
        self._engine = engine
        self._holder = holder
        self._lease = lease
        # Returns the engine's index among the engines of its upstream.
        self._rank = rank
        # Whether each engine skips every other version.
        self._skips_versions = skips_versions
        # Instance id that the engine must have; empty to accept any.
        self._instance_id = instance_id
        self._fields = (
            ("Host", f"{engine.host}:{engine.port}"),
            *(expected_instance_fields(instance_id) if instance_id else ()),
        )
        self._log = logger(__name__)
        self._named_versions: dict[str, int] = {}
        # Incarnation in the engine's last report; 0 before the first report.
        self._born_ms = 0

    def record_named_version(self, model: str, version: int) -> bool:
        """Record a version that a trainer has named; return whether it is newer."""
        if version <= self._named_versions.get(model, 0):
            return False
        self._named_versions[model] = version
        return True

    @property
    def named_versions(self) -> Mapping[str, int]:
        """Newest recorded version of each model."""
        return self._named_versions

    async def step(self) -> OrderStep:
        """Read the engine's state and send at most one order."""
        answer = await self._call("GET", names.ENGINE_STATE_PATH, b"")
        if isinstance(answer, Response) and is_misdirected(answer):
            return OrderStep(Progress.ABSENT)
        state = answer if isinstance(answer, Refusal) else decode_engine_state(answer)
        if isinstance(state, Refusal):
            self._log.warning("engine-unreadable", reason=state.reason)
            return OrderStep(Progress.UNREADABLE)
        if state.born_ms != self._born_ms:
            # A new incarnation needs no special handling, since each order names the
            # count of orders in the report that it answers.
            self._log.info("engine-run", born_ms=state.born_ms, orders=state.orders)
            self._born_ms = state.born_ms
        if not any(self._is_behind(state, model) for model in self._named_versions):
            return OrderStep(Progress.CURRENT)
        due = next(self._models_to_load(state, await self._rank()), None)
        if due is None:
            return OrderStep(Progress.CURRENT)
        if state.is_busy:
            return OrderStep(Progress.BEHIND)
        return await self._send_order(state, due)

    def _is_behind(self, state: EngineState, model: str) -> bool:
        wanted = self._named_versions[model]
        return state.versions.get(model, wanted) < wanted

    def _models_to_load(self, state: EngineState, rank: int) -> Iterator[str]:
        """Return the models whose named version the engine should load now."""
        models = sorted(state.versions)
        return (
            model
            for model, version in self._named_versions.items()
            if self._is_behind(state, model)
            and (
                not self._skips_versions
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

    async def _send_order(self, state: EngineState, model: str) -> OrderStep:
        fence = await self._lease.obtain_token()
        if isinstance(fence, Refusal):
            self._log.info("engine-lease-refused", reason=fence.reason)
            if fence.kind is ErrorKind.CONFLICT:
                return OrderStep(Progress.SUPERSEDED)
            return OrderStep(Progress.BEHIND, fence.retry_after_s or 0.0)
        version = self._named_versions[model]
        order = encode_weight_order(
            model, version, False, self._holder, fence, state.orders
        )
        answer = await self._call("POST", names.ENGINE_ORDER_PATH, order)
        if isinstance(answer, Response) and answer.status == _TOKEN_REFUSED_STATUS:
            self._lease.mark_lost()
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
