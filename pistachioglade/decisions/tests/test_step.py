"""The plan of a step: each sample is delivered once in any order of events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ...messages import Receipt, Sample, VersionSpan
from .. import AgentView, StepPlan, StepPolicy

_AGENTS = ("a", "b", "c")


def _sample(index: int, agent: str, version: int = 1, speed: float = 10.0) -> Sample:
    spans = (VersionSpan(version, 10),)
    copy_id = f"{agent}.1.{index}"
    return Sample(index, copy_id, "text", spans, agent, agent, tokens_per_s=speed)


def _receipt(sample: Sample) -> Receipt:
    return Receipt(sample.index, sample.copy_id, sample.spans, 0, 0.0, sample.agent)


def _views(plan: StepPlan) -> list[AgentView]:
    outstanding = plan.running_by_agent()
    return [AgentView(agent, 4, outstanding.get(agent, 0)) for agent in _AGENTS]


def test_all_samples_are_started_once() -> None:
    plan = StepPlan("k", [3, 3], StepPolicy())
    started = []
    while (dispatch := plan.next_dispatch(_views(plan), 0.0)) is not None:
        started.append(dispatch.index)
    assert sorted(started) == list(range(6))


def test_a_group_prefers_one_agent() -> None:
    plan = StepPlan("k", [3], StepPolicy())
    agents = set()
    while (dispatch := plan.next_dispatch(_views(plan), 0.0)) is not None:
        agents.add(dispatch.agent)
    assert len(agents) <= 2


def test_a_slow_sample_is_hedged_once_and_its_obsolete_copy_is_returned() -> None:
    plan = StepPlan("k", [10], StepPolicy(hedge_fraction=0.1))
    started = []
    while (dispatch := plan.next_dispatch(_views(plan), 0.0)) is not None:
        started.append(dispatch)
    for dispatch in started[:9]:
        plan.record_finished(
            dispatch.agent, _sample(dispatch.index, dispatch.agent), 1.0
        )
    slow = started[9]
    hedge = plan.next_dispatch(_views(plan), 9.0)
    assert hedge is not None
    assert (hedge.index, hedge.is_hedge) == (slow.index, True)
    assert hedge.agent != slow.agent
    assert plan.next_dispatch(_views(plan), 9.0) is None
    obsolete = plan.record_finished(
        hedge.agent, _sample(hedge.index, hedge.agent), 10.0
    )
    assert obsolete == (slow.agent,)


def test_only_the_first_of_two_finished_copies_is_ready() -> None:
    plan = StepPlan("k", [1], StepPolicy())
    plan.record_finished("a", _sample(0, "a"), 1.0)
    plan.record_finished("b", _sample(0, "b"), 1.0)
    assert [sample.agent for sample in plan.ready_samples(10)] == ["a"]


def test_stale_copies_are_queued_again() -> None:
    plan = StepPlan("k", [2], StepPolicy())
    plan.next_dispatch(_views(plan), 0.0)
    plan.record_finished("a", _sample(0, "a", version=1), 1.0)
    assert [item.index for item in plan.discard_stale(3, 1)] == [0]
    assert plan.ready_samples(10) == ()
    assert plan.pending_count == 2


def test_samples_that_a_restored_trainer_lacks_are_queued_again() -> None:
    plan = StepPlan("k", [2], StepPolicy())
    receipts = [_receipt(_sample(index, "a")) for index in range(2)]
    plan.record_receipts(receipts)
    assert plan.is_complete
    plan.restore_receipts(receipts[:1])
    assert plan.missing_count == 1
    assert plan.pending_count == 1


_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["start", "finish", "fail", "take", "reject", "restore"]),
        st.integers(0, 5),
    ),
    max_size=60,
)


@given(_EVENTS)
def test_no_sample_is_ever_lost(events: list[tuple[str, int]]) -> None:
    """Each sample is pending, running, ready or receipted after any events."""
    plan = StepPlan("k", [3, 3], StepPolicy(hedge_fraction=1.0))
    now_s = 0.0
    for event, index in events:
        now_s += 1.0
        running = [
            agent for agent in _AGENTS if index in plan.samples_running_at(agent)
        ]
        if event == "start":
            plan.next_dispatch(_views(plan), now_s)
        elif event == "finish" and running:
            plan.record_finished(running[0], _sample(index, running[0]), now_s)
        elif event == "fail" and running:
            plan.record_failure(running[0], index)
        elif event == "take":
            plan.record_receipts(map(_receipt, plan.ready_samples(index)))
        elif event == "reject":
            plan.discard_rejected([index])
        elif event == "restore":
            plan.restore_receipts(plan.receipts[: index // 2])
    _finish(plan)
    assert plan.is_complete
    assert [item.index for item in plan.receipts] == list(range(6))


def _finish(plan: StepPlan) -> None:
    for _round in range(20):
        while plan.next_dispatch(_views(plan), 1000.0) is not None:
            pass
        for agent in _AGENTS:
            for index in plan.samples_running_at(agent):
                plan.record_finished(agent, _sample(index, agent), 1000.0)
        plan.record_receipts(map(_receipt, plan.ready_samples(100)))


def test_groups_of_a_slow_agent_start_elsewhere_near_the_steps_end() -> None:
    """Guards against groups that wait forever for an excluded preferred agent."""
    plan = StepPlan("k", [3, 3, 3, 3], StepPolicy())
    while plan.pending_count >= 6:
        plan.next_dispatch(_views(plan), 0.0)
    for agent, speed in (("a", 10.0), ("b", 10.0), ("c", 0.1)):
        for index in plan.samples_running_at(agent):
            plan.record_finished(agent, _sample(index, agent, speed=speed), 1.0)
    while plan.next_dispatch(_views(plan), 0.0) is not None:
        for agent in _AGENTS:
            for index in plan.samples_running_at(agent):
                plan.record_finished(agent, _sample(index, agent), 1.0)
    assert plan.pending_count == 0
