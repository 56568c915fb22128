"""Client of the weight store, which limits the transfer rate."""

from __future__ import annotations

from typing import Final
from urllib.parse import quote

from ..errors import ErrorKind, Refusal, refuse
from ._http import HttpSession

#: Size of the chunks in which weights are copied, in bytes.
CHUNK_BYTES: Final = 256 * 1024
_CALL_TIMEOUT_S: Final = 30.0


class WeightStore:
    """A blocking client of the weight store."""

    def __init__(self, base_url: str) -> None:
        self._http = HttpSession(base_url)

    def chunk(self, model: str, version: int, number: int) -> bytes | Refusal:
        """Return one chunk of a version's weights."""
        start = number * CHUNK_BYTES
        path = f"/weights/{quote(model)}/{version}"
        reply = self._http.request(
            "GET",
            path,
            _CALL_TIMEOUT_S,
            headers={"Range": f"bytes={start}-{start + CHUNK_BYTES - 1}"},
        )
        if isinstance(reply, Refusal):
            return reply
        if reply.status not in (200, 206):
            reason = f"weight store answered {reply.status}"
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, reason)
        return reply.body
