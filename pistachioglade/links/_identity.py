"""Authentication between the system's own processes."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..messages import PROTOCOL_VERSION

_NODE_HEADER: Final = "Pistachioglade-Node"
_VERSION_HEADER: Final = "Pistachioglade-Protocol"
_AUTH_HEADER: Final = "Authorization"


@attrs.frozen
class Identity:
    """A node's id and the secret that all nodes of a deployment share."""

    # Node id.
    node: str
    # Shared secret, read from a file.
    secret: str = attrs.field(repr=False)

    def _proof(self, node: str) -> str:
        code = hmac.new(self.secret.encode(), node.encode(), hashlib.sha256)
        return f"Bearer {code.hexdigest()}"

    def headers(self) -> dict[str, str]:
        """Return the headers of the request that opens a link."""
        return {
            _NODE_HEADER: self.node,
            _VERSION_HEADER: str(PROTOCOL_VERSION),
            _AUTH_HEADER: self._proof(self.node),
        }

    def verify(self, headers: Mapping[str, str]) -> str | Refusal:
        """Return the node id of the peer that sent ``headers``, or a refusal."""
        node = headers.get(_NODE_HEADER, "")
        proof = headers.get(_AUTH_HEADER, "")
        if not hmac.compare_digest(proof.encode(), self._proof(node).encode()):
            return refuse(ErrorKind.UNAUTHENTICATED, "the peer's proof is wrong")
        version = headers.get(_VERSION_HEADER, "")
        if version != str(PROTOCOL_VERSION):
            reason = f"protocol version {version!r:.20}, here {PROTOCOL_VERSION}"
            return refuse(ErrorKind.BAD_REQUEST, reason)
        return node
