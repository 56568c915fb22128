"""Tests of the register of runs in progress."""

from __future__ import annotations

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
