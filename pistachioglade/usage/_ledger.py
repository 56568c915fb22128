"""The ledger of reports, which the duty's lease carries as its payload.

A window's counts are in the ledger before they are reported, and never change there.
The ledger is written together with the lease, by a conditional write that only the
holder of the lease can make. All holders therefore report the same counts.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from ..decisions import MAX_LEDGER_WINDOWS
from ..platform import is_integer


@attrs.frozen
class LedgerEntry:
    """The report of a window."""

    # Number of requests by account.
    counts: Mapping[str, int]
    # Whether the platform has acknowledged the report.
    is_acknowledged: bool = False


@attrs.frozen
class ReportLedger:
    """The reports of the latest windows."""

    # Reports by window.
    entries: Mapping[int, LedgerEntry] = attrs.field(factory=dict)

    @property
    def newest(self) -> int:
        """The latest window that was recorded; -1 if there is none."""
        return max(self.entries, default=-1)

    def with_entry(self, window: int, entry: LedgerEntry) -> ReportLedger:
        """Return the ledger with a report, without those that are too old."""
        entries = {**self.entries, window: entry}
        kept = sorted(entries)[-MAX_LEDGER_WINDOWS:]
        return ReportLedger({item: entries[item] for item in kept})

    def acknowledged(self, window: int) -> ReportLedger:
        """Return the ledger with a report marked as acknowledged."""
        entry = attrs.evolve(self.entries[window], is_acknowledged=True)
        return self.with_entry(window, entry)

    def encode(self) -> dict[str, Any]:
        """Return the ledger as JSON data."""
        return {
            str(window): {"counts": dict(entry.counts), "ok": entry.is_acknowledged}
            for window, entry in self.entries.items()
        }


def decode_ledger(payload: Any) -> ReportLedger | None:
    """Return the ledger in a lease's payload; None if it is unreadable.

    A lease without a payload has an empty ledger.
    """
    if payload is None:
        return ReportLedger()
    try:
        return ReportLedger(
            {int(window): _entry(item) for window, item in payload.items()}
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _entry(fields: Any) -> LedgerEntry:
    counts = fields["counts"]
    if not all(is_integer(count) for count in counts.values()):
        raise TypeError("a count that is no integer")
    return LedgerEntry(dict(counts), fields["ok"] is True)
