"""Orders that bring model engines to the weight versions that trainers name."""

from ._engine_orders import EngineOrders, OrderStep, Progress
from ._order_lease import LEASE_KIND, OrderLease
from ._unattended import FallbackEngineOrders

__all__ = [
    "LEASE_KIND",
    "EngineOrders",
    "FallbackEngineOrders",
    "OrderLease",
    "OrderStep",
    "Progress",
]
