"""Tests of the register of runs in progress."""

from __future__ import annotations

from ...http1 import Request
from ...store.tests.scripted import run_virtual
from .. import CrashLedger, RequestGuard
from .._runs import RunningRequests

_OUTLINE = ("POST", "/a", 9)


def test_a_run_counts_while_it_is_in_progress() -> None:
    runs = RunningRequests()
    with runs.register(_OUTLINE, lambda: "d"):
        with runs.register(_OUTLINE, lambda: "d"):
            assert runs.is_running(_OUTLINE, "d")
        assert runs.is_running(_OUTLINE, "d")
    assert not runs.is_running(_OUTLINE, "d")


def test_other_requests_with_the_same_outline_are_other_requests() -> None:
    runs = RunningRequests()
    with runs.register(_OUTLINE, lambda: "other"):
        assert not runs.is_running(_OUTLINE, "d")


def test_digests_are_computed_only_for_requests_with_the_same_outline() -> None:
    """Hashing the bodies of all running requests would hold up the event loop."""
    computed: list[str] = []

    def digest() -> str:
        computed.append("d")
        return "d"

    runs = RunningRequests()
    with runs.register(("POST", "/b", 9), digest), runs.register(_OUTLINE, digest):
        assert runs.is_running(_OUTLINE, "d")
    assert computed == ["d"]


def test_requests_without_crashes_are_not_compared_with_running_ones() -> None:
    """One crash record made each admission compare all runs with the same outline."""

    async def work() -> None:
        ledger = CrashLedger()
        ledger.record_crash("other", "i-1", "r")
        computed: list[str] = []

        def digest() -> str:
            computed.append("d")
            return "d"

        with ledger.runs.register(_OUTLINE, digest):
            request = Request("POST", "/a", (("Host", "h"),), b"123456789", 0.0)
            assert await RequestGuard(ledger, request, "r").admit(lambda: ()) is None
        assert not computed

    run_virtual(work)
