"""The store's stand-in on a virtual clock: no halt of the process delays an answer."""

from __future__ import annotations

import asyncio
import json
from typing import Final
from urllib.parse import parse_qs, unquote, urlsplit

from ...http1 import Fields, Response
from ...standins._object_api import ObjectApiStandin
from ...standins._wsgi import StandinRequest
from .. import StoreClient

#: Virtual time in which the store answers, in seconds.
_ANSWER_S: Final = 0.004


class VirtualStore:
    """Connects clients to the stand-in by calls; watches aren't served."""

    host = "store"
    port = 1

    def __init__(self) -> None:
        self.standin = ObjectApiStandin()

    async def request(
        self, method: str, target: str, fields: Fields, body: bytes, timeout_s: float
    ) -> Response:
        """Make one call like a connection pool."""
        assert "watch=" not in target
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(_ANSWER_S)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = tuple(unquote(part) for part in parts.path.strip("/").split("/"))
        asked = StandinRequest(method, path, query, body, {})
        answer = self.standin.handle(asked)
        return Response(answer.status, (), json.dumps(answer.body).encode())

    def client(self) -> StoreClient:
        client = StoreClient(self.host, self.port)
        client._pool = self  # type: ignore[assignment]
        return client
