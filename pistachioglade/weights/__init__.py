"""Orders that bring model engines to the weight versions that trainers name."""

from ._engine_orders import EngineOrders, OrderStep, Progress
from ._unattended import FallbackEngineOrders

__all__ = [
    "EngineOrders",
    "FallbackEngineOrders",
    "OrderStep",
    "Progress",
]
