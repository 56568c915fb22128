"""A request while it arrives at the server."""

from __future__ import annotations

from collections.abc import Sequence
from io import BytesIO
from typing import Final

from ..decisions import Holding, MemoryUse, TransferProgress
from ._memory import Memory
from ._messages import Request, Response, first_field

#: Bytes that frame a field's name and value: colon, space, line end.
_FIELD_FRAMING_BYTES: Final = 4
#: Memory of a field's name and value as two texts in a pair, beside their bytes.
_FIELD_OBJECTS_BYTES: Final = 176
#: Memory of a head that is part of its connection's; only what exceeds it is charged.
_USUAL_HEAD_BYTES: Final = 8 * 1024


class IncomingRequest:
    """Collects the parts of one request and charges them to the memory budget."""

    def __init__(self, memory: Memory, now_s: float) -> None:
        self._target = b""
        self._fields: list[tuple[str, str]] = []
        # Unlike a list of parts, whose concatenation holds the body twice.
        self._body = BytesIO()
        # Size of the head and of the body so far, in bytes.
        self.head_bytes = 0
        self.body_bytes = 0
        # Whether the head hasn't arrived completely.
        self.is_in_head = True
        # Declared length of the body; 0 if there is none.
        self.declared_bytes = 0
        # Whether the body comes in chunks.
        self.is_chunked = False
        # Whether the client waits for an interim answer before it sends the body.
        self.expects_continue = False
        # What the body, and an unusually large head, hold of the memory budget.
        self.charge = memory.charge(MemoryUse.BODY)
        self._head_charge = memory.charge(MemoryUse.HEAD)
        # Whether the charge counts the declared length of the body.
        self.is_length_charged = False
        # Answer to the request if it is refused.
        self.refusal: Response | None = None
        # Monotonic time of the first byte, in seconds; None before.
        self.begun_s: float | None = None
        # Progress of the body; a head makes none.
        self.progress = TransferProgress(now_s)

    @property
    def has_body(self) -> bool:
        """Whether a body follows the head."""
        return self.declared_bytes > 0 or self.is_chunked

    @property
    def is_unbounded(self) -> bool:
        """Whether a head or body is being read whose size isn't known.

        A head of the usual size counts as known.
        """
        if self.begun_s is None or self.refusal is not None:
            return False
        if self.is_in_head:
            return self._head_charge.size_bytes > 0
        return not self.is_length_charged

    @property
    def held_bytes(self) -> int:
        """Memory that the request holds."""
        return self.charge.size_bytes + self._head_charge.size_bytes

    def holding(self, now_s: float) -> Holding:
        """Return what the request holds, and how long it hasn't got on."""
        return Holding(self.held_bytes, now_s - self.progress.since_s)

    def add_target(self, part: bytes) -> None:
        """Add a part of the target."""
        self._target += part
        self.head_bytes += len(part)

    def add_field(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailers aren't kept."""
        if not self.is_in_head:
            return
        self.head_bytes += len(name) + len(value) + _FIELD_FRAMING_BYTES
        self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def charge_head(self) -> None:
        """Charge what the head takes beyond the usual size."""
        size_bytes = self.head_bytes + len(self._fields) * _FIELD_OBJECTS_BYTES
        if size_bytes > _USUAL_HEAD_BYTES:
            self._head_charge.set(size_bytes - _USUAL_HEAD_BYTES)

    def end_head(self) -> None:
        """Read from the complete head what the body is like."""
        self.is_in_head = False
        fields = tuple(self._fields)
        length = first_field(fields, "content-length") or ""
        self.declared_bytes = int(length) if length.isdecimal() else 0
        self.is_chunked = first_field(fields, "transfer-encoding") is not None
        expects = (value for name, value in fields if name.lower() == "expect")
        self.expects_continue = any(item.lower() == "100-continue" for item in expects)

    def charge_length(self) -> None:
        """Charge the declared length of the body at once."""
        self.is_length_charged = self.declared_bytes > 0
        self.charge.set(self.declared_bytes)

    def charge_arrived(self) -> None:
        """Charge only what has arrived of the body."""
        self.is_length_charged = False
        self.charge.set(self.body_bytes)

    def add_body(self, parts: Sequence[bytes], now_s: float) -> bool:
        """Add parts of the body; return whether the client has got on with it."""
        self.body_bytes += self._body.write(b"".join(parts))
        if not self.is_length_charged:
            self.charge.set(self.body_bytes)
        return self.progress.record(self.body_bytes, self.held_bytes, now_s)

    def release(self) -> None:
        """Return everything to the budget."""
        self.charge.release()
        self._head_charge.release()

    def request(self, method: str, received_s: float, has_body: bool) -> Request:
        """Return the request, with or without what has arrived of its body."""
        return Request(
            method,
            self._target.decode("latin-1"),
            tuple(self._fields),
            self._body.getvalue() if has_body else b"",
            received_s,
        )
