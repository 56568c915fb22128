"""Who sends a request, and which jobs that caller may use."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ._table import Account, AccountTable


@attrs.frozen
class Caller:
    """The sender of a request."""

    # Account of the sender's key; None if the request needs no key.
    account: Account | None = None

    @property
    def account_name(self) -> str:
        """Name of the account; empty without one."""
        return "" if self.account is None else self.account.name

    def check_job(self, job_id: str, job_account: str) -> Refusal | None:
        """Return why the caller may not use a job; None if it may.

        A job without an account was accepted before accounts were configured.
        """
        if not job_account or self.account_name == job_account:
            return None
        if self.account is None:
            return refuse(ErrorKind.UNAUTHENTICATED, "the job belongs to an account")
        return refuse(ErrorKind.NOT_FOUND, f"{job_id:.80}: no such job")


def identify_caller(
    accounts: AccountTable | None, keys: Sequence[str], needs_key: bool = True
) -> Caller | Refusal:
    """Return the sender of a request with the given key fields.

    ``accounts`` is None if the configuration has no accounts. No part of a key is in
    the reason of a refusal.
    """
    if accounts is None or not needs_key:
        return Caller()
    if len(keys) != 1:
        reason = "no key" if not keys else f"{len(keys)} keys"
        return refuse(ErrorKind.UNAUTHENTICATED, reason)
    account = accounts.find(keys[0])
    if account is None:
        return refuse(ErrorKind.UNAUTHENTICATED, "no account has this key")
    return Caller(account)
