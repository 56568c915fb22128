"""The addresses at which an entry is called: by callers, and by readiness probes."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..decisions import connection_bounds
from ..fleet import Configuration
from ..http1 import Handler, HttpServer, Reply, Request, Response, ServerLimits
from ..logs import logger
from ..metrics import Metrics, create_probe_server
from ..platform import ProcessSettings, names
from ._client_ends import ClientEnds
from ._descriptors import max_descriptors
from ._entry_memory import EntryMemory


class EntryServers:
    """Runs the two servers of an entry within its memory and descriptors."""

    def __init__(
        self,
        handle: Handler,
        is_ready: Callable[[], bool],
        memory: EntryMemory,
        metrics: Metrics,
        settings: ProcessSettings,
    ) -> None:
        self._log = logger(__name__)
        self._memory = memory
        self._is_ready = is_ready
        self.callers = HttpServer(handle, ServerLimits(), memory.memory)
        self.callers.on_ended = ClientEnds("callers", metrics).record
        probes = connection_bounds(max_descriptors(settings), None).probes
        self.readiness = create_probe_server(
            self._answer_readiness,
            settings.max_probe_connections or probes,
            settings.max_probe_body_bytes,
        )
        self.readiness.on_ended = ClientEnds("readiness", metrics).record

    async def start(self, settings: ProcessSettings) -> None:
        """Listen for probes and callers; the memory for requests is set in between."""
        assert settings.callers is not None and settings.readiness is not None
        await self.readiness.start(settings.readiness.host, settings.readiness.port)
        self._memory.start(settings, self.callers)
        self.apply(settings)
        await self.callers.start(settings.callers.host, settings.callers.port)

    def apply(self, settings: ProcessSettings) -> None:
        """Set the bounds that the settings in force allow."""
        self._memory.apply(settings)
        bounds = connection_bounds(max_descriptors(settings), self._memory.free_bytes)
        most = settings.max_caller_connections or bounds.callers
        if most != self.callers.max_connections:
            self.callers.max_connections = most
            self._log.info(
                "connection-bound",
                callers=most,
                descriptors=max_descriptors(settings),
                free_bytes=self._memory.free_bytes,
            )

    def apply_limits(self, configuration: Configuration | None) -> None:
        """Set the limits on callers that a configuration names."""
        if configuration is not None:
            limits = attrs.asdict(configuration.limits)
            self.callers.limits = ServerLimits(**limits)

    def close_timed_out(self, now_s: float) -> None:
        """Close the callers' connections whose time is over."""
        self.callers.close_timed_out(now_s)

    async def _answer_readiness(self, request: Request, reply: Reply) -> None:
        is_readiness_path = request.path == names.READINESS_PATH
        status = (200 if self._is_ready() else 503) if is_readiness_path else 404
        reply.send(Response(status))
