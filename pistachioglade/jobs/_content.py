"""What a submission asks for: decoded, and as the text that other entries get."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections.abc import Callable, Mapping
from typing import Any, Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Job
from ..http1 import Charge
from ..messages import MAX_FRAME_BYTES
from ..platform.submissions import decode_in_steps, decode_now

#: Longest text that is kept to be sent to another entry, in bytes: that of a frame,
#: less the rest of the message. Longer ones are read from the store.
MAX_SENT_BYTES: Final = MAX_FRAME_BYTES // 2
_DIGEST_DIGITS: Final = 16

#: Sets the memory that a job holds; returns whether there is room for it.
Reserve = Callable[[int], bool]


@attrs.frozen
class JobContent:
    """The content of a submission."""

    # The decoded job, or why it can't be decoded.
    job: Job | Refusal
    # JSON text of the trainer's fields; None if it is too long to be sent.
    text: bytes | None
    # Memory that the content holds, in bytes.
    held_bytes: int


def digest_of(text: bytes | memoryview) -> str:
    """Return the digest by which the parts of a submission are named."""
    return hashlib.sha256(text).hexdigest()[:_DIGEST_DIGITS]


def reserving(charge: Charge, has_room: Callable[[int], bool]) -> Reserve:
    """Return what charges a growing job as long as there is room.

    ``has_room`` tells whether there is room for more bytes than are charged already.
    """

    def reserve(size_bytes: int) -> bool:
        if not has_room(size_bytes - charge.size_bytes):
            return False
        charge.set(size_bytes)
        return True

    return reserve


async def decode_content(
    job_id: str, host: str, path: str, text: bytes, reserve: Reserve
) -> JobContent | Refusal:
    """Decode a submission; other work of the event loop goes on meanwhile."""
    sent = _sent_text(text)
    own_bytes = 0 if sent is None else len(sent)
    steps = decode_in_steps(
        job_id, host, path, text, lambda size_bytes: reserve(own_bytes + size_bytes)
    )
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return _content(end.value, sent)
        await asyncio.sleep(0)


def content_of_fields(
    job_id: str, host: str, path: str, fields: Mapping[str, Any]
) -> JobContent:
    """Return the content of fields that came with a record, as older builds send it."""
    try:
        text = json.dumps(fields).encode()
    except (TypeError, ValueError, RecursionError) as error:
        refusal = refuse(ErrorKind.UNREADABLE, f"submission: {error!s:.120}")
        return JobContent(refusal, None, 0)
    decoded = decode_now(job_id, host, path, text, lambda _: True)
    content = _content(decoded, _sent_text(text))
    return JobContent(content, None, 0) if isinstance(content, Refusal) else content


def _sent_text(text: bytes) -> bytes | None:
    return text if len(text) <= MAX_SENT_BYTES else None


def _content(
    decoded: tuple[Job, int] | Refusal, sent: bytes | None
) -> JobContent | Refusal:
    if isinstance(decoded, Refusal):
        return decoded
    job, held_bytes = decoded
    return JobContent(job, sent, held_bytes + (len(sent) if sent else 0))
