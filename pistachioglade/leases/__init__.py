"""Leases: which process may make certain calls, with a fencing token."""

from ._duty import Duty, Entries
from ._lease import (
    DUTY_LEASE_KIND,
    ENGINE_LEASE_KIND,
    HolderStatus,
    Lease,
    LeaseTerms,
)
from ._platform_api import PlatformApi

__all__ = [
    "DUTY_LEASE_KIND",
    "ENGINE_LEASE_KIND",
    "Duty",
    "Entries",
    "HolderStatus",
    "Lease",
    "LeaseTerms",
    "PlatformApi",
]
