"""The client of the platform's store, and local copies of the objects of a kind."""

from ._client import StoreClient
from ._relayed_calls import Relay
from ._store_routes import CALL_TIMEOUT_S, PROBE_INTERVAL_S
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
