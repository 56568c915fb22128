"""Which keys identify a caller, and which jobs a caller may use."""

from __future__ import annotations

import pytest

from ...errors import ErrorKind, Refusal
from .. import (
    MAX_KEY_CHARS,
    Account,
    AccountTable,
    Caller,
    DuplicateKeyError,
    identify_caller,
    key_digest,
)

_KEY = "h5mgjy5rcpihhacrudde"
_SECOND_KEY = "dev3nax7u27gxprymh2r"
_ACCOUNT = Account("a1", 1, frozenset(map(key_digest, (_KEY, _SECOND_KEY))))
_TABLE = AccountTable([_ACCOUNT, Account("a2")])

_REFUSED = {
    "no key": (),
    "empty": ("",),
    "unknown": ("h5mgjy5rcpihhacruddf",),
    "two keys": (_KEY, _SECOND_KEY),
    "the same key twice": (_KEY, _KEY),
    "with a scheme": (f"Bearer {_KEY}",),
    "two in one field": (f"{_KEY}, {_SECOND_KEY}",),
    "a space": (f"{_KEY} ",),
    "NUL": (f"{_KEY}\0",),
    "not ASCII": ("é" * 20,),
    "a lone surrogate": ("\udcff",),
    "too long": ("k" * 10_000,),
    "the digest": (key_digest(_KEY),),
    "the name": ("a1",),
}


@pytest.mark.parametrize("case", _REFUSED)
def test_a_key_that_identifies_nobody_is_refused_without_being_named(case: str) -> None:
    keys = _REFUSED[case]
    found = identify_caller(_TABLE, keys)
    assert isinstance(found, Refusal)
    assert found.kind is ErrorKind.UNAUTHENTICATED and found.did_not_run
    assert not any(key and key in found.reason for key in keys)


@pytest.mark.parametrize("key", [_KEY, _SECOND_KEY])
def test_each_key_of_an_account_identifies_it(key: str) -> None:
    assert identify_caller(_TABLE, (key,)) == Caller(_ACCOUNT)


def test_no_key_is_needed_without_accounts_or_on_a_public_route() -> None:
    assert identify_caller(None, ("any", "keys")) == Caller()
    assert identify_caller(_TABLE, (), needs_key=False) == Caller()
    # A public route ignores a key, so that its requests belong to no account.
    assert identify_caller(_TABLE, (_KEY,), needs_key=False) == Caller()


def test_accounts_without_any_account_accept_no_key() -> None:
    assert isinstance(identify_caller(AccountTable(), (_KEY,)), Refusal)


def test_a_key_of_two_accounts_is_refused() -> None:
    digests = frozenset([key_digest("k")])
    with pytest.raises(DuplicateKeyError):
        AccountTable([Account("a1", None, digests), Account("a2", None, digests)])


def test_a_key_of_the_longest_length_is_found() -> None:
    key = "k" * MAX_KEY_CHARS
    table = AccountTable([Account("a", None, frozenset([key_digest(key)]))])
    assert table.find(key) is not None
    assert table.find(key + "k") is None


@pytest.mark.parametrize(
    ("caller", "job_account", "kind"),
    [
        (Caller(_ACCOUNT), "a1", None),
        (Caller(_ACCOUNT), "a2", ErrorKind.NOT_FOUND),
        (Caller(_ACCOUNT), "", None),
        (Caller(), "", None),
        (Caller(), "a1", ErrorKind.UNAUTHENTICATED),
    ],
)
def test_a_job_is_found_by_its_account_alone(
    caller: Caller, job_account: str, kind: ErrorKind | None
) -> None:
    refusal = caller.check_job("job", job_account)
    assert (refusal and refusal.kind) == kind
