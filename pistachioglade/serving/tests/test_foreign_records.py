"""Stored records that another writer has made invalid: no reader fails on them."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...errors import Refusal
from ...forwarding import FleetView
from ...jobs import JobLedger, Submission, encode_submission
from ...jobs._records import decode_batch
from ...platform import Entry
from ...store import StoreClient
from ...store.tests.scripted import run_virtual
from .._members import Members

_FIELDS: dict[str, Any] = {"items": [{"id": "i0", "path": "/"}]}
_VALID = encode_submission(Submission("a@h:1", "b", "h", "/", 0.0, _FIELDS))
_LISTING = {"address": "h:1", "boot": "b", "capacity": 1.0}
_VALUES = (
    st.none()
    | st.integers()
    | st.text(max_size=5)
    | st.lists(st.integers(), max_size=2)
    | st.just(_FIELDS)
)


@given(st.lists(st.tuples(st.sampled_from(sorted(_VALID)), _VALUES), max_size=3))
def test_the_ledger_survives_an_invalid_submission(
    invalid_fields: list[tuple[str, Any]],
) -> None:
    async def work() -> None:
        ledger = JobLedger()
        ledger.apply_entry(Entry("job", 1, _VALID | dict(invalid_fields), None), False)
        ledger.apply_entry(Entry("other", 2, _VALID, None), False)
        assert ledger.find("other") is not None
        for state in ledger.jobs.values():
            assert not state.submission or isinstance(state.owner, str)
            assert state.submission is None or state.total >= 0

    run_virtual(work)


@given(
    _VALUES
    | st.dictionaries(st.sampled_from(["owner", "earlier", "is_alive"]), _VALUES)
)
def test_the_ledger_ignores_an_invalid_owner_record(value: Any) -> None:
    async def work() -> None:
        ledger = JobLedger()
        ledger.apply_entry(Entry("job", 1, _VALID, None), False)
        ledger.apply_entry(Entry("job.owner", 2, value, None), False)
        state = ledger.find("job")
        assert state is not None and state.owner == "a@h:1"
        change = {"owner": "c@h:3", "earlier": "a@h:1", "is_alive": True}
        ledger.apply_entry(Entry("job.owner", 3, change, None), False)
        assert state.owner == "c@h:3"

    run_virtual(work)


@given(_VALUES | st.dictionaries(st.sampled_from(["writer", "start"]), _VALUES))
def test_an_invalid_batch_is_refused(value: Any) -> None:
    assert isinstance(decode_batch(value), Refusal)


@pytest.mark.parametrize(
    "value", [None, 3, "h:1", [], {}, _LISTING | {"address": 7}, {"address": "h:2"}]
)
def test_an_entry_with_an_invalid_listing_is_not_listed(value: Any) -> None:
    async def work() -> None:
        client = StoreClient("store", 1)
        members = Members("me", "h:0", 1.0, "b", client, FleetView(lambda: None))
        members.mirror.apply_newer(Entry("sound", 1, _LISTING, None))
        members.mirror.apply_newer(Entry("spoilt", 2, _LISTING, None))
        members.mirror.apply_newer(Entry("spoilt", 3, value, None))
        assert members.names == ("sound",)
        assert members.owner_names == {"sound@h:1"}
        assert members.address_of_node("spoilt") == ""
        assert members.choose_owner("up", "m", 0) == "sound@h:1"

    run_virtual(work)
