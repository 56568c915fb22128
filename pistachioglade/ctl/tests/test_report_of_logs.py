"""The report from the serving programs' log files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from .. import main


def _line(second: int, event: str, **fields: Any) -> dict[str, Any]:
    return {"event": event, "timestamp": f"2026-01-01T00:00:{second:02d}Z", **fields}


def _completed(second: int, item: str, versions: list[int]) -> dict[str, Any]:
    fields = {"job": "j", "item": item, "instance": "i-1", "versions": versions}
    return _line(
        second, "item-tried", outcome="complete", events=9, tokens=90, **fields
    )


_LINES = [
    _line(1, "job-accepted", job="j", model="m", step=3, items=5, node="b"),
    # Another entry accepts the same job.
    _line(1, "job-accepted", job="j", model="m", step=3, items=5, node="a"),
    _line(1, "job-run-begun", job="j", node="b"),
    _line(2, "version-named", model="m", version=4),
    _line(2, "item-tried", job="j", item="i", outcome="broken", events=2),
    _completed(3, "i", [3, 4]),
    _completed(4, "k", [4]),
    # Completed item that the step's end leaves unlisted.
    _completed(5, "n", [4]),
    _line(5, "item-given-up", job="j", item="g", reason="422"),
    _line(6, "results-listed", job="j", results=3, items=["i", "k", "g"]),
    _line(7, "call-tried", request="r", route="app", outcome=503, took_s=0.1),
    _line(7, "call-tried", request="r", route="app", outcome=200, took_s=0.2),
    _line(8, "request-refused", request="s", route="app", kind="full", reason="x"),
    _line(9, "lines-dropped", count=3, node="b"),
]


def _files(folder: Path) -> list[str]:
    first, second = folder / "a.log", folder / "b.log"
    texts = [json.dumps(line) for line in _LINES]
    first.write_text("\n".join(["Traceback: none of ours", *texts[1::2], "{half"]))
    second.write_text("\n".join(f"12.5 node {text}" for text in texts[::2]))
    return ["--logs", str(first), "--logs", str(second)]


def _report(folder: Path) -> dict[str, Any]:
    arguments = ["--output", "json", "report", *_files(folder)]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    report: dict[str, Any] = json.loads(result.output)
    return report


def test_trainer_report_has_samples_versions_and_lateness(tmp_path: Path) -> None:
    trainer = _report(tmp_path)["trainers"][0]
    assert trainer["trainer"] == "m"
    assert (trainer["asked"], trainer["delivered"]) == (5, 2)
    assert trainer["tokens"] == 180
    assert trainer["versions"] == {"3": 1, "4": 2}
    assert trainer["staleness_versions"] == {"0": 1, "1": 1}
    assert trainer["lateness_mean_s"] == pytest.approx(5.0)
    assert trainer["refusals"] == {"given up: 422": 1}
    assert list(trainer["wasted_tokens"].values()) == [90]
    assert trainer["share_promised_percent"] is None
    assert trainer["steps"][0]["owners"] == ["b"]


def test_caller_report_has_answers_and_refusals(tmp_path: Path) -> None:
    (caller,) = _report(tmp_path)["callers"]
    assert (caller["caller"], caller["answered"]) == ("app", 1)
    assert caller["refusals"] == {"full: x": 1}
    assert caller["p50_s"] == pytest.approx(0.3, rel=0.02)


def test_dropped_log_lines_are_reported_as_gap(tmp_path: Path) -> None:
    gaps = _report(tmp_path)["gaps"]
    assert gaps == [{"node": "b", "reason": "3 log lines were dropped"}]


@pytest.mark.parametrize("form", ["table", "csv", "html"])
def test_report_is_rendered_in_every_form(form: str, tmp_path: Path) -> None:
    arguments = ["report", "--form", form, *_files(tmp_path)]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    assert "m" in result.output


def test_steps_outside_the_span_are_omitted(tmp_path: Path) -> None:
    arguments = ["--output", "json", "report", "--since-unix-s", "4e9"]
    result = CliRunner().invoke(main, [*arguments, *_files(tmp_path)])
    assert json.loads(result.output)["trainers"] == []
