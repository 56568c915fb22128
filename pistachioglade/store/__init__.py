"""The client of the platform's store, and local copies of the objects of a kind."""

from ._client import BEAT_S, CALL_TIMEOUT_S, StoreClient
from ._relayed_calls import Relay
from ._watch import WATCH_HOLD_S, Follow, Mirror

__all__ = [
    "BEAT_S",
    "CALL_TIMEOUT_S",
    "WATCH_HOLD_S",
    "Follow",
    "Mirror",
    "Relay",
    "StoreClient",
]
