"""Quarantine of requests that crash the instances that run them.

Crashes are counted by request digest, shared between entries through the store, or
directly while the store doesn't hold them, and cleared once an instance has answered
the request.
"""

from ._digest import request_digest
from ._guard import RequestGuard
from ._ledger import CrashLedger
from ._reports import CrashReports
from ._store_records import CRASH_KIND, CrashRecordStore

__all__ = [
    "CRASH_KIND",
    "CrashLedger",
    "CrashRecordStore",
    "CrashReports",
    "RequestGuard",
    "request_digest",
]
