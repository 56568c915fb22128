"""Knows which requests were refused at this or another entry, and may return.

Expected load: bursts in which entries refuse some hundred requests per second, whose
callers return once, at another entry of their failure domain.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

#: Time for which a refused request may return: callers wait up to a third of their
#: remaining time, and the deadlines of lookups and reward calls are at most 2 s.
_MAX_AGE_S: Final = 2.0
#: Number of requests that are known at once. A failure domain refuses fewer within
#: that time, unless an entry reports false digests.
_MAX_KNOWN: Final = 4096
#: Form of a request's digest.
_DIGEST: Final = re.compile(r"[0-9a-f]{32}")


class ReturningRequests:
    """Digests of refused requests, each of which counts once."""

    def __init__(self) -> None:
        # Monotonic time of the refusal in seconds, by digest; the oldest first.
        self._refused_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._refused_s)

    def record(self, digests: Iterable[str], now_s: float) -> None:
        """Record refused requests; values that are no digests are ignored."""
        self._expire(now_s)
        for digest in digests:
            if isinstance(digest, str) and _DIGEST.fullmatch(digest):
                self._refused_s.pop(digest, None)
                self._refused_s[digest] = now_s
                if len(self._refused_s) > _MAX_KNOWN:
                    del self._refused_s[next(iter(self._refused_s))]

    def take(self, digest: str, now_s: float) -> bool:
        """Whether a request with this digest was refused lately; forget it."""
        refused_s = self._refused_s.pop(digest, None)
        return refused_s is not None and now_s - refused_s <= _MAX_AGE_S

    def _expire(self, now_s: float) -> None:
        while self._refused_s:
            oldest = next(iter(self._refused_s))
            if now_s - self._refused_s[oldest] <= _MAX_AGE_S:
                return
            del self._refused_s[oldest]
