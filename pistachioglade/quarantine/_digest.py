"""Request digest, which identifies the same request sent under different ids."""

from __future__ import annotations

import hashlib
from typing import Final

from ..http1 import Request

_DIGEST_BYTES: Final = 16

#: A request's method, target and length of the body. Requests with one digest have one
#: outline.
RequestOutline = tuple[str, str, int]


def request_outline(request: Request) -> RequestOutline:
    """Return a request's outline, which needs no hash of the body."""
    return request.method, request.target, len(request.body)


def request_digest(request: Request, account: str = "") -> str:
    """Return a hex digest of a request's method, host, target, account and body.

    ``account`` is the name of the client account; the Authorization field counts too.
    Fields that can differ each time the request is sent, such as the attempt id, the
    deadline and the account's key, are excluded.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    parts = (
        request.method,
        (request.field("Host") or "").lower(),
        request.target,
        request.field("Authorization") or "",
        # Without an account the digest is that of builds which know no accounts.
        *((account,) if account else ()),
    )
    # Length prefixes prevent different parts from concatenating to the same bytes.
    for part in parts:
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(request.body)
    return digest.hexdigest()
