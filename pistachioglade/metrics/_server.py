"""The HTTP endpoint of the metrics."""

from __future__ import annotations

from typing import Final

from ..http1 import HttpServer, Reply, Request, Response, ServerLimits
from ._metrics import Metrics

#: Environment variable with the port, set by the deploy file. Without the variable,
#: metrics are not served.
METRICS_PORT_VARIABLE: Final = "PISTACHIOGLADE_METRICS_PORT"
METRICS_PATH: Final = "/metrics"
_TYPE: Final = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)


async def serve_metrics(metrics: Metrics, host: str, port: int) -> HttpServer:
    """Start a server that answers scrapes of the metrics and return it."""

    async def answer(request: Request, reply: Reply) -> None:
        if request.path == METRICS_PATH:
            reply.send(Response(200, _TYPE, metrics.render()))
        else:
            reply.send(Response(404))

    server = HttpServer(answer, ServerLimits())
    await server.start(host, port)
    return server
