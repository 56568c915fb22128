"""Tests of the register of runs in progress."""

from __future__ import annotations

import asyncio

import pytest

from ...store.tests.scripted import run_virtual
from .._runs import RunningRequests

_OUTLINE = ("POST", "/a", 9)


async def _run_long(runs: RunningRequests, has_record: bool) -> list[bool]:
    """Return whether a run counts at its start and 5 s later."""
    with runs.register(_OUTLINE, lambda: "d", has_record):
        first = runs.is_running(_OUTLINE, "d")
        await asyncio.sleep(5.0)
        return [first, runs.is_running(_OUTLINE, "d")]


@pytest.mark.parametrize(
    ("has_record", "expected"), [(True, [True, True]), (False, [True, False])]
)
def test_a_long_run_counts_only_if_its_request_had_crashes(
    has_record: bool, expected: list[bool]
) -> None:
    """Requests equal to a long stream were refused until the stream's end."""
    assert run_virtual(lambda: _run_long(RunningRequests(), has_record)) == expected


def test_a_run_counts_while_it_is_in_progress() -> None:
    """One of two equal runs that ended took the other one out."""

    async def work() -> None:
        runs = RunningRequests()
        with runs.register(_OUTLINE, lambda: "d", True):
            with runs.register(_OUTLINE, lambda: "d", True):
                assert runs.is_running(_OUTLINE, "d")
            assert runs.is_running(_OUTLINE, "d")
        assert not runs.is_running(_OUTLINE, "d")

    run_virtual(work)


def test_other_requests_with_the_same_outline_are_other_requests() -> None:
    """A request was refused because of another one to the same path."""

    async def work() -> None:
        runs = RunningRequests()
        with runs.register(_OUTLINE, lambda: "other", True):
            assert not runs.is_running(_OUTLINE, "d")

    run_virtual(work)


def test_digests_are_computed_only_for_requests_with_the_same_outline() -> None:
    """Hashing the bodies of all running requests would hold up the event loop."""
    computed: list[str] = []

    def digest() -> str:
        computed.append("d")
        return "d"

    async def work() -> None:
        runs = RunningRequests()
        with (
            runs.register(("POST", "/b", 9), digest, True),
            runs.register(_OUTLINE, digest, True),
        ):
            assert runs.is_running(_OUTLINE, "d")

    run_virtual(work)
    assert computed == ["d"]
