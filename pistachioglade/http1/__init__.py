"""HTTP/1.1 over asyncio and httptools: a server, and pooled client connections."""

from ._client import ClientConnection, Exchange, open_connection
from ._messages import (
    Fields,
    Request,
    Response,
    ResponseHead,
    end_to_end,
    first_field,
)
from ._pool import CONNECT_TIMEOUT_S, Pool
from ._server import Handler, HttpServer, Reply, ServerLimits

__all__ = [
    "CONNECT_TIMEOUT_S",
    "ClientConnection",
    "Exchange",
    "Fields",
    "Handler",
    "HttpServer",
    "Pool",
    "Reply",
    "Request",
    "Response",
    "ResponseHead",
    "ServerLimits",
    "end_to_end",
    "first_field",
    "open_connection",
]
