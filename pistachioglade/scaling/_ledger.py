"""The ordered engine counts, which the duty's lease carries as its payload."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

import attrs

from ..platform import is_integer

_SEPARATOR: Final = "/"


@attrs.frozen
class OrderedCount:
    """The number of engines that one failure domain was last ordered to have."""

    # Number of engines.
    count: int
    # Whether the platform has acknowledged the order.
    is_acknowledged: bool = False


@attrs.frozen
class CountLedger:
    """The last order of each upstream and failure domain."""

    # Orders by upstream and failure domain.
    orders: Mapping[tuple[str, str], OrderedCount] = attrs.field(factory=dict)

    def with_order(self, subject: tuple[str, str], order: OrderedCount) -> CountLedger:
        """Return the ledger with another order for a subject."""
        return CountLedger({**self.orders, subject: order})

    def encode(self) -> dict[str, Any]:
        """Return the ledger as JSON data."""
        return {
            _SEPARATOR.join(subject): {
                "count": order.count,
                "ok": order.is_acknowledged,
            }
            for subject, order in self.orders.items()
        }


def decode_count_ledger(payload: Any) -> CountLedger:
    """Return the ledger in a lease's payload; without orders that can't be read.

    A count that is missing is ordered anew from the engines that are listed.
    """
    fields = payload if isinstance(payload, Mapping) else {}
    found = {
        (upstream, domain): OrderedCount(item["count"], item.get("ok") is True)
        for name, item in fields.items()
        for upstream, separator, domain in [name.partition(_SEPARATOR)]
        if separator and isinstance(item, Mapping) and is_integer(item.get("count"))
    }
    return CountLedger(found)
