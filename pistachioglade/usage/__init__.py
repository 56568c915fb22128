"""Usage reports: which account began how many requests in each window of time."""

from ._clock import Clock
from ._collector import UsageCollector
from ._copies import UsageCopies
from ._counters import UsageCounters
from ._ledger import ReportLedger
from ._meter import RequestMeter, UsageMeter
from ._reporter import UsageReporter

__all__ = [
    "Clock",
    "ReportLedger",
    "RequestMeter",
    "UsageCollector",
    "UsageCopies",
    "UsageCounters",
    "UsageMeter",
    "UsageReporter",
]
