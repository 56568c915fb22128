"""Tables of cases for staleness, retries, gossip links, transfers and holds."""

from __future__ import annotations

import pytest

from ...errors import ANSWERS, ErrorKind, Execution, refuse
from .. import (
    VersionPace,
    fingers,
    is_fresh,
    may_retry,
    step_hold_s,
    wave_delay_s,
    will_be_fresh,
)
from .._transfer import STORE_READERS, fetch_sources


@pytest.mark.parametrize(
    ("oldest", "newest", "bound", "fresh"),
    [(3, 3, 0, True), (2, 3, 0, False), (1, 3, 2, True), (1, 4, 2, False)],
)
def test_is_fresh(oldest: int, newest: int, bound: int, fresh: bool) -> None:
    assert is_fresh(oldest, newest, bound) is fresh


@pytest.mark.parametrize(
    ("start", "newest", "bound", "coming", "fresh"),
    [(3, 3, 1, 1, True), (3, 3, 1, 2, False), (2, 3, 1, 1, False)],
)
def test_will_be_fresh(
    start: int, newest: int, bound: int, coming: int, fresh: bool
) -> None:
    assert will_be_fresh(start, newest, bound, coming) is fresh


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_every_kind_has_an_answer(kind: ErrorKind) -> None:
    assert kind in ANSWERS
    assert refuse(kind, "why").execution is ANSWERS[kind].execution


@pytest.mark.parametrize(
    ("kind", "idempotent", "remaining_s", "allowed"),
    [
        (ErrorKind.OVERLOADED, False, 1.0, True),
        (ErrorKind.OVERLOADED, False, 0.0, False),
        (ErrorKind.LINK_LOST, False, 1.0, False),
        (ErrorKind.LINK_LOST, True, 1.0, True),
        (ErrorKind.UPSTREAM_LOST, False, 1.0, False),
        (ErrorKind.KEY_SPENT, True, 1.0, False),
        (ErrorKind.BAD_REQUEST, True, 1.0, False),
    ],
)
def test_may_retry(
    kind: ErrorKind, idempotent: bool, remaining_s: float, allowed: bool
) -> None:
    assert may_retry(refuse(kind, "why"), idempotent, remaining_s) is allowed


def test_an_unknown_outcome_of_a_non_idempotent_request_is_not_retried() -> None:
    unknown = [
        kind for kind in ErrorKind if ANSWERS[kind].execution is not Execution.NOT_RUN
    ]
    assert not any(may_retry(refuse(kind, ""), False, 9.0) for kind in unknown)


@pytest.mark.parametrize("size", [1, 2, 3, 10, 670])
def test_fingers_reach_every_member_in_few_hops(size: int) -> None:
    nodes = [f"node-{number}" for number in range(size)]
    links = {node: fingers(nodes, node) for node in nodes}
    assert max(map(len, links.values())) <= 10
    reached, frontier = {nodes[0]}, {nodes[0]}
    hops = 0
    while frontier:
        frontier = {peer for node in frontier for peer in links[node]} - reached
        reached |= frontier
        hops += bool(frontier)
    assert reached == set(nodes)
    assert hops <= 10


def test_every_agent_has_a_source_and_few_read_the_store() -> None:
    agents = [f"agent-{number}" for number in range(40)]
    sources = {item: fetch_sources("m", 1, item, agents) for item in agents}
    readers = [item for item in agents if not sources[item]]
    assert len(readers) == STORE_READERS
    parents = [found[0] for found in sources.values() if found]
    assert max(parents.count(parent) for parent in parents) <= 3
    assert all(item not in found for item, found in sources.items())


@pytest.mark.parametrize(
    ("domain", "swap_s", "expected_s"),
    [("a", 1.0, 0.0), ("c", 1.0, 2.0), ("c", 9.0, 4.0)],
)
def test_update_waves_fit_the_time_bound(
    domain: str, swap_s: float, expected_s: float
) -> None:
    assert wave_delay_s(domain, ["a", "b", "c"], swap_s, 6.0) == expected_s


@pytest.mark.parametrize(
    ("pace", "now_s", "expected_s"),
    [
        (VersionPace(), 5.0, 0.0),
        (VersionPace(10.0, 100.0), 107.0, 4.0),
        (VersionPace(10.0, 100.0), 102.0, 0.0),
        (VersionPace(10.0, 100.0), 111.0, 0.0),
        (VersionPace(10.0, 100.0), 105.0, 5.0),
    ],
)
def test_a_step_is_held_for_weights_that_are_due_soon(
    pace: VersionPace, now_s: float, expected_s: float
) -> None:
    assert step_hold_s(pace, now_s) == pytest.approx(expected_s)
