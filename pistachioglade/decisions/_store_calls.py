"""How long a call to the store may take, by its size and by how its way answers.

The load it answers: an entry that runs all jobs of a model is cut off from the store
for nine seconds and writes batches of 100 to 400 kB by way of another entry, whose link
of 30 Mbit/s they pass four times, as each answer holds the object again. With one time
for all calls the small ones worked and the large ones never did: each was given up just
before its answer, sent anew, and kept the link full for the others.
"""

from __future__ import annotations

from typing import Final

import attrs

#: Bytes of a body that pass in a second, on a small link and four times over it.
_WAY_BYTES_PER_S: Final = 900_000
#: Longest that a call is waited for once its way is known to be slow.
_LONGEST_S: Final = 4.0


def transfer_time_s(body_bytes: int) -> float:
    """Return the time that a call takes for its size alone."""
    return body_bytes / _WAY_BYTES_PER_S


@attrs.define
class TryTime:
    """Time of a call that is tried again until it is answered."""

    # Times the usual time; grows while the way is slow.
    _factor: float = attrs.field(default=1.0, init=False)

    def limit_s(self, usual_s: float) -> float:
        """Return the time for the next try, where ``usual_s`` is that of the first."""
        return max(usual_s, min(_LONGEST_S, usual_s * self._factor))

    def lost(self, is_way_slow: bool) -> None:
        """Take that a try was not answered.

        Only by a way that is known to be slow does the next try get more time: what is
        sent to a silent store, and what it has done without an answer, is never
        answered, and a longer try for it is lost to whoever waits.
        """
        self._factor = 2 * self._factor if is_way_slow else 1.0
