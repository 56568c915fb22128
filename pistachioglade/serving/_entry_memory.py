"""The memory budget of an entry: its size from the settings, logs and gauges."""

from __future__ import annotations

from ..decisions import MEGABYTE_BYTES, Mechanism, MemoryUse, Policy, budget_bytes
from ..errors import ErrorKind, Execution
from ..http1 import HttpServer, Memory, Request, resident_bytes
from ..logs import logger
from ..metrics import Metrics
from ..platform import ProcessSettings, request_id_of


class EntryMemory:
    """Sets the budget of the entry's requests and reports its use."""

    def __init__(self, metrics: Metrics, policy: Policy) -> None:
        self._metrics = metrics
        self._is_bounded = policy.uses(Mechanism.MEMORY_BUDGET)
        self._log = logger(__name__)
        # Resident memory of the process before its first request, in bytes.
        self._own_bytes = 0
        # Memory of the machine, in bytes; None if it isn't bounded.
        self._memory_bytes: int | None = None
        # The budget; without bound until the process has measured its own size.
        self.memory = Memory()

    @property
    def free_bytes(self) -> int | None:
        """Memory beside the process's own size; None if it isn't bounded."""
        return (
            None if self._memory_bytes is None else self._memory_bytes - self._own_bytes
        )

    def start(self, settings: ProcessSettings, callers: HttpServer) -> None:
        """Measure the process's own size, before it serves, and set the budget."""
        self._own_bytes = resident_bytes()
        callers.on_refused = self._record_refusal
        self.apply(settings)

    def apply(self, settings: ProcessSettings) -> None:
        """Set the budget that the settings in force allow."""
        if not self._is_bounded:
            return
        memory_mb = settings.memory_mb
        self._memory_bytes = None if memory_mb is None else memory_mb * MEGABYTE_BYTES
        limit_bytes = budget_bytes(settings.memory_mb, self._own_bytes)
        if limit_bytes != self.memory.budget.limit_bytes:
            self._log.info(
                "memory-budget",
                limit_bytes=limit_bytes,
                memory_mb=settings.memory_mb,
                own_bytes=self._own_bytes,
            )
            self.memory.set_limit(limit_bytes)

    def _record_refusal(self, request: Request) -> None:
        """Log and count a request that was refused for lack of memory."""
        budget = self.memory.budget
        self._log.info(
            "request-refused",
            request=request_id_of(request.fields),
            path=request.path,
            kind=ErrorKind.OVERLOADED.value,
            reason="the memory for requests is in use",
            declared_bytes=request.field("content-length"),
            used_bytes=budget.used_bytes,
            limit_bytes=budget.limit_bytes,
            execution=Execution.NOT_RUN.value,
        )
        self._metrics.record_refusal("memory")

    def register_gauges(self) -> None:
        """Register the gauges of the budget."""
        memory, register = self.memory, self._metrics.register_gauge
        register(
            "pistachioglade_memory_budget_bytes",
            "Memory that requests may hold; 0 without a bound.",
            lambda: memory.budget.limit_bytes or 0,
        )
        register(
            "pistachioglade_memory_refusals",
            "Requests refused since the memory for requests was in use.",
            lambda: memory.refused,
        )
        for use in MemoryUse:
            register(
                f"pistachioglade_memory_{use.value}_bytes",
                f"Memory that requests hold: {use.value}.",
                lambda use=use: memory.budget.used_by[use],  # type: ignore[misc]
            )
