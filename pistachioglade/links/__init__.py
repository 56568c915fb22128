"""Links between the system's processes: CBOR frames over websockets."""

from ._client import Link, LinkPool
from ._identity import Identity
from ._server import LinkHandler, LinkServer, Peer
from ._traffic import Traffic

__all__ = [
    "Identity",
    "Link",
    "LinkHandler",
    "LinkPool",
    "LinkServer",
    "Peer",
    "Traffic",
]
