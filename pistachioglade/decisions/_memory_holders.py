"""Decides which clients return memory when there is no room for a request.

Expected load: some hundred clients that stop just short of the end of their bodies, or
that send or read a byte now and then, beside ordinary clients whose bodies and answers
take a second at most.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, TypeVar

import attrs

T = TypeVar("T")

#: Fraction of what a client holds whose transfer counts as progress.
_PROGRESS_FRACTION: Final = 1 / 16
#: Fewest bytes that count as progress.
_LEAST_PROGRESS_BYTES: Final = 4096
#: Time without progress from which a client may have to return what it holds, in
#: seconds. Ordinary clients send or read a sixteenth of a body much faster.
_LONGEST_STALL_S: Final = 1.0


@attrs.define
class TransferProgress:
    """How far a client has got with a body that it sends or an answer that it reads."""

    # Monotonic time of the last progress, in seconds.
    since_s: float
    # Bytes transferred by then.
    bytes_then: int = 0

    def record(self, transferred_bytes: int, held_bytes: int, now_s: float) -> bool:
        """Record what was transferred so far; return whether this is progress."""
        needed = max(_LEAST_PROGRESS_BYTES, int(held_bytes * _PROGRESS_FRACTION))
        if transferred_bytes - self.bytes_then < needed:
            return False
        self.since_s, self.bytes_then = now_s, transferred_bytes
        return True


@attrs.frozen
class Holding:
    """Memory that a client holds."""

    # Size in bytes.
    held_bytes: int
    # Time without progress, in seconds.
    stalled_s: float

    @property
    def is_stalled(self) -> bool:
        """Whether the client may have to return the memory."""
        return self.held_bytes > 0 and self.stalled_s > _LONGEST_STALL_S

    @property
    def cost(self) -> float:
        """Memory and the time for which it was held in vain, in byte-seconds."""
        return self.held_bytes * self.stalled_s


def stalled_holders(holders: Iterable[tuple[T, Holding]]) -> list[T]:
    """Return those that may have to return memory, the most costly ones first."""
    stalled = [item for item in holders if item[1].is_stalled]
    stalled.sort(key=lambda item: item[1].cost, reverse=True)
    return [holder for holder, _ in stalled]
