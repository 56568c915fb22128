"""The entry's choice: load, ejection of the slow and the failing, its limit."""

from __future__ import annotations

import random

from .. import CallChooser, Candidate, ChooserSettings

_CANDIDATES = [Candidate(name, "dom") for name in ("a", "b", "c", "d")]


def _chooser() -> CallChooser:
    return CallChooser(ChooserSettings(), random.Random(1))


def _answer(chooser: CallChooser, agent: str, answer_s: float, now_s: float) -> None:
    chooser.sent(agent)
    chooser.answered(agent, answer_s, now_s)


def test_the_less_loaded_of_two_is_taken() -> None:
    chooser = _chooser()
    for _call in range(5):
        chooser.sent("a")
    chosen = {chooser.choose(_CANDIDATES[:2], "dom", (), 0.0) for _try in range(20)}
    assert chosen == {"b"}


def test_a_slow_agent_is_ejected_and_comes_back() -> None:
    chooser = _chooser()
    for turn in range(10):
        for agent, answer_s in (("a", 0.01), ("b", 0.01), ("c", 0.01), ("d", 0.5)):
            _answer(chooser, agent, answer_s, float(turn))
    assert chooser.ejected(8.0) == ("d",)
    assert chooser.ejected(60.0) == ()


def test_failures_in_a_row_eject_but_never_most_agents() -> None:
    chooser = _chooser()
    for agent in ("a", "b", "c", "d"):
        for _try in range(3):
            chooser.sent(agent)
            chooser.failed(agent, 1.0)
    assert len(chooser.ejected(1.0)) == 1


def test_all_tried_means_none() -> None:
    tried = [item.agent for item in _CANDIDATES]
    assert _chooser().choose(_CANDIDATES, "dom", tried, 0.0) is None
