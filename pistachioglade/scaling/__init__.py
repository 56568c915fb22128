"""Engine counts: orders the platform to run as many engines as the demand needs."""

from ._controller import ScalingController
from ._ledger import CountLedger
from ._subjects import ScaledUpstream, scaled_upstreams

__all__ = [
    "CountLedger",
    "ScaledUpstream",
    "ScalingController",
    "scaled_upstreams",
]
