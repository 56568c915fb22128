"""Leases: which process may make certain calls, with a fencing token."""

from ._lease import DUTY_LEASE_KIND, ENGINE_LEASE_KIND, Lease, LeaseTerms

__all__ = ["DUTY_LEASE_KIND", "ENGINE_LEASE_KIND", "Lease", "LeaseTerms"]
