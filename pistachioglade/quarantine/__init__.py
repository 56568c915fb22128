"""Quarantine of requests that crash the instances that run them.

Crashes are counted by request digest, shared between entries through the store, and
cleared once an instance has answered the request.
"""

from ._digest import request_digest
from ._guard import RequestGuard
from ._ledger import CrashLedger
from ._store_records import CRASH_KIND, CrashRecordStore

__all__ = [
    "CRASH_KIND",
    "CrashLedger",
    "CrashRecordStore",
    "RequestGuard",
    "request_digest",
]
