"""Shares of client accounts in the time at instances, as one entry has seen them.

Expected load: 80 accounts, of which one asks for half of all capacity and the others
for little, in bursts of some seconds.
"""

from __future__ import annotations

import math
from typing import Final

#: Time constant with which earlier use is forgotten: about the length of a burst. Use
#: before the burst doesn't count against an account.
_MEMORY_S: Final = 5.0
#: Time after which the sums are scaled down, so that the growing weight of new use
#: stays a number of usual size.
_RESCALE_S: Final = 4.0 * _MEMORY_S
#: Use below which an account is forgotten at that time, in seconds.
_MIN_USE_S: Final = 1e-3


class AccountShares:
    """Recent use of instances by account; earlier use counts less."""

    def __init__(self) -> None:
        # Time to which the weight 1 belongs, in seconds.
        self._origin_s = 0.0
        # Weighted use by account, in seconds.
        self._used: dict[str, float] = {}
        # Sum of the weighted use of all accounts, in seconds.
        self._total = 0.0

    def charge(self, account: str, used_s: float, now_s: float) -> None:
        """Add time at instances to an account; a negative time corrects an estimate.

        A request without an account is not charged.
        """
        if not account or not math.isfinite(used_s):
            return
        if not 0.0 <= now_s - self._origin_s <= _RESCALE_S:
            self._rescale(now_s)
        weighted = used_s * math.exp((now_s - self._origin_s) / _MEMORY_S)
        before = self._used.get(account, 0.0)
        after = max(0.0, before + weighted)
        self._used[account] = after
        self._total += after - before

    def _rescale(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._origin_s) / _MEMORY_S)
        scaled = {name: used * factor for name, used in self._used.items()}
        self._used = {name: used for name, used in scaled.items() if used >= _MIN_USE_S}
        self._total = math.fsum(self._used.values())
        self._origin_s = now_s

    def level(self, account: str) -> int:
        """Return by how many halves of an equal share an account's use exceeds it.

        Up to one and a half equal shares of the use of all accounts, the level is 0, as
        that of requests without an account. Use varies by as much, and those requests
        would otherwise go before all requests of an account, even of the only one.
        """
        used = self._used.get(account, 0.0)
        if used <= 0.0:
            return 0
        return max(0, int(2.0 * (used * len(self._used) / self._total - 1.0)))
