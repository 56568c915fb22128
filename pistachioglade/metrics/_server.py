"""The HTTP endpoint of the metrics, and what servers for probes have in common."""

from __future__ import annotations

from typing import Final

from ..http1 import Handler, HttpServer, Memory, Reply, Request, Response, ServerLimits
from ._metrics import Metrics

#: Environment variable with the port, set by the deploy file. Without the variable,
#: metrics are not served.
METRICS_PORT_VARIABLE: Final = "PISTACHIOGLADE_METRICS_PORT"
METRICS_PATH: Final = "/metrics"
_TYPE: Final = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)
#: Memory for the requests of probes, which have short heads and no bodies.
_PROBE_MEMORY_BYTES: Final = 4 * 1024 * 1024
#: Time between two checks for probes whose time is over, in seconds.
_CHECK_INTERVAL_S: Final = 1.0


def create_probe_server(
    handler: Handler, max_connections: int, max_body_bytes: int
) -> HttpServer:
    """Return a server for short requests, with memory and connections of its own."""
    return HttpServer(
        handler,
        ServerLimits(max_body_bytes=max_body_bytes),
        Memory(_PROBE_MEMORY_BYTES),
        max_connections,
        _CHECK_INTERVAL_S,
    )


async def serve_metrics(
    metrics: Metrics, host: str, port: int, max_connections: int, max_body_bytes: int
) -> HttpServer:
    """Start a server that answers scrapes of the metrics and return it."""

    async def answer(request: Request, reply: Reply) -> None:
        if request.path == METRICS_PATH:
            reply.send(Response(200, _TYPE, metrics.render()))
        else:
            reply.send(Response(404))

    server = create_probe_server(answer, max_connections, max_body_bytes)
    await server.start(host, port)
    return server
