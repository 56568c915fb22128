"""HTTP/1.1 over asyncio and httptools: a server, and pooled client connections."""

from ._client import ClientConnection, open_connection
from ._exchange import CloseReason, Exchange
from ._memory import Charge, Memory, resident_bytes
from ._messages import (
    Fields,
    Request,
    Response,
    ResponseHead,
    end_to_end,
    first_field,
)
from ._pool import CONNECT_TIMEOUT_S, ConnectionObserver, Pool
from ._reply import Handler, Reply, ServerLimits
from ._server import ClientEnd, HttpServer

__all__ = [
    "CONNECT_TIMEOUT_S",
    "Charge",
    "ClientConnection",
    "ClientEnd",
    "CloseReason",
    "ConnectionObserver",
    "Exchange",
    "Fields",
    "Handler",
    "HttpServer",
    "Memory",
    "Pool",
    "Reply",
    "Request",
    "Response",
    "ResponseHead",
    "ServerLimits",
    "end_to_end",
    "first_field",
    "open_connection",
    "resident_bytes",
]
