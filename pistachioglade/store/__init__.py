"""The client of the platform's store, and local copies of the objects of a kind."""

from ._client import CALL_TIMEOUT_S, PROBE_INTERVAL_S, StoreClient
from ._relayed_calls import Relay
from ._watch import WATCH_HOLD_S, FetchChangesFrom, Mirror

__all__ = [
    "CALL_TIMEOUT_S",
    "PROBE_INTERVAL_S",
    "WATCH_HOLD_S",
    "FetchChangesFrom",
    "Mirror",
    "Relay",
    "StoreClient",
]
