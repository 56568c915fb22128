"""Tests of the choice among agents: load, ejection and its limit."""

from __future__ import annotations

import random

from .. import CallChooser, Candidate, ChooserSettings

_CANDIDATES = [Candidate(name, "dom") for name in ("a", "b", "c", "d")]


def _chooser() -> CallChooser:
    return CallChooser(ChooserSettings(), random.Random(1))


def _record_answer(
    chooser: CallChooser, agent: str, answer_s: float, now_s: float
) -> None:
    chooser.record_sent(agent)
    chooser.record_answer(agent, answer_s, now_s)


def test_the_less_loaded_of_two_agents_is_chosen() -> None:
    chooser = _chooser()
    for _call in range(5):
        chooser.record_sent("a")
    chosen = {chooser.choose(_CANDIDATES[:2], "dom", (), 0.0) for _try in range(20)}
    assert chosen == {"b"}


def test_a_slow_agent_is_ejected_for_a_limited_time() -> None:
    chooser = _chooser()
    for turn in range(10):
        for agent, answer_s in (("a", 0.01), ("b", 0.01), ("c", 0.01), ("d", 0.5)):
            _record_answer(chooser, agent, answer_s, float(turn))
    assert chooser.ejected_agents(8.0) == ("d",)
    assert chooser.ejected_agents(60.0) == ()


def test_failing_agents_are_ejected_up_to_the_limit() -> None:
    chooser = _chooser()
    for agent in ("a", "b", "c", "d"):
        for _try in range(3):
            chooser.record_sent(agent)
            chooser.record_failure(agent, 1.0)
    assert len(chooser.ejected_agents(1.0)) == 1


def test_no_agent_is_chosen_if_all_were_tried() -> None:
    tried = [item.agent for item in _CANDIDATES]
    assert _chooser().choose(_CANDIDATES, "dom", tried, 0.0) is None
