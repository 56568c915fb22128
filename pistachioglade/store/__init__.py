"""The platform's store: the client, and local copies of its kinds."""

from ._around import Relay
from ._client import CALL_TIMEOUT_S, StoreClient
from ._watch import WATCH_HOLD_S, Mirror

__all__ = ["CALL_TIMEOUT_S", "WATCH_HOLD_S", "Mirror", "Relay", "StoreClient"]
