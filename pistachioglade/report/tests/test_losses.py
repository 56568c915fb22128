"""Attribution of lost time to causes, for late steps and failed calls."""

from __future__ import annotations

from typing import Any

import pytest

from .. import LossCause, losses_from_logs, render_losses


def _line(at_s: float, event: str, **fields: Any) -> dict[str, Any]:
    return {"event": event, "timestamp": f"2026-01-01T00:00:{at_s:06.3f}Z", **fields}


def _tried(
    at_s: float, took_s: float, outcome: str, resumed_after: int | None, events: int
) -> dict[str, Any]:
    return _line(
        at_s,
        "item-tried",
        job="j",
        item="i",
        outcome=outcome,
        took_s=took_s,
        resumed_after=resumed_after,
        events=events,
    )


def _step(*lines: dict[str, Any], ended_s: float = 9.0) -> list[dict[str, Any]]:
    return [
        _line(1.0, "job-accepted", job="j", model="m", step=3),
        _line(1.0, "job-run-begun", job="j", due_in_s=7.5),
        *lines,
        _line(ended_s - 0.5, "results-listed", job="j", items=["i"]),
        _line(ended_s, "job-ended", job="j"),
    ]


@pytest.mark.parametrize(
    ("lines", "expected_s"),
    [
        # 100 events of 40 ms each, then scoring, listing and reading.
        (
            [_tried(5.1, 4.0, "complete", None, 100)],
            {"LENGTH": 4.0, "WAITED": 0.1, "LISTING": 3.4, "READING": 0.5},
        ),
        # One refusal costs half a second.
        (
            [
                _tried(1.0, 0.0, "not-run", None, 0),
                _tried(5.5, 4.0, "complete", None, 100),
            ],
            {"LENGTH": 4.0, "REFUSED": 0.5, "LISTING": 3.0, "READING": 0.5},
        ),
        # A stream breaks, and its last ten events are generated again.
        (
            [
                _tried(3.0, 2.0, "broken", None, 50),
                _tried(5.4, 2.4, "complete", 39, 100),
            ],
            {"LENGTH": 4.0, "AGAIN": 0.4, "LISTING": 3.1, "READING": 0.5},
        ),
        # The entry crashed after 60 events; no log line names these events.
        (
            [
                _line(4.5, "job-run-begun", job="j", due_in_s=4.0),
                _tried(6.1, 1.6, "complete", 59, 100),
            ],
            {"LENGTH": 4.0, "PASSED_ON": 1.1, "LISTING": 2.4, "READING": 0.5},
        ),
    ],
)
def test_late_step_time_is_attributed_to_causes(
    lines: list[dict[str, Any]], expected_s: dict[str, float]
) -> None:
    (step,) = losses_from_logs(_step(*lines)).steps
    found_s = {cause.name: time_s for cause, time_s in step.parts_s.items() if time_s}
    assert found_s == pytest.approx(expected_s)
    assert sum(step.parts_s.values()) == pytest.approx(step.took_s) == 8.0
    assert step.is_late


def test_slow_attempt_is_attributed_to_slow_instance() -> None:
    other = {"job": "j", "outcome": "complete", "resumed_after": None}
    lines = [
        *(
            _line(3.0, "item-tried", item=f"o{n}", took_s=2.0, events=50, **other)
            for n in range(3)
        ),
        _tried(8.0, 7.0, "complete", None, 100),
    ]
    (step,) = losses_from_logs(_step(*lines)).steps
    assert step.parts_s[LossCause.SLOW] == pytest.approx(3.0)


def test_steps_without_end_or_listed_sample_are_omitted() -> None:
    lines = _step(_tried(5.0, 4.0, "complete", None, 100))
    assert not losses_from_logs(lines[:-1]).steps
    assert not losses_from_logs([lines[0], lines[-1]]).steps


def test_failed_calls_are_grouped_by_route_and_cause() -> None:
    def call(request: str, outcome: Any, reason: str, took_s: float) -> dict[str, Any]:
        return _line(
            1.0,
            "call-tried",
            request=request,
            route="app",
            outcome=outcome,
            reason=reason,
            took_s=took_s,
        )

    losses = losses_from_logs(
        [
            call("a", "upstream-lost", "no answer in 0.4 s", 0.4),
            call("a", 200, "", 0.1),
            call("b", "upstream-lost", "no answer in 0.35 s", 0.35),
            call("c", 500, "", 0.05),
            call("d", 200, "", 0.05),
        ]
    )
    found = [(item.cause, item.requests, item.unanswered) for item in losses.calls]
    assert found == [("answered N", 1, 1), ("no answer in N s", 2, 1)]
    assert "no answer in N s" in render_losses(losses)
