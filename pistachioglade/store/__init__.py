"""The platform's store: the client, and local copies of its kinds."""

from ._around import Relay
from ._client import BEAT_S, CALL_TIMEOUT_S, StoreClient
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
