"""Client accounts: the table of their keys, and the checks of a caller's key."""

from ._access import Caller, identify_caller
from ._table import (
    MAX_KEY_CHARS,
    Account,
    AccountTable,
    DuplicateKeyError,
    key_digest,
)

__all__ = [
    "MAX_KEY_CHARS",
    "Account",
    "AccountTable",
    "Caller",
    "DuplicateKeyError",
    "identify_caller",
    "key_digest",
]
