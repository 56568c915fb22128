"""The ``story`` command on log files."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner

from .. import main

_LINES = [
    # Lines of two processes, out of order and mixed with other output.
    {"event": "job-accepted", "job": "j", "model": "m", "items": 2, "node": "b"}
    | {"timestamp": "2026-01-01T00:00:01.000Z"},
    {"event": "item-tried", "job": "j", "item": "i", "outcome": "broken"}
    | {"reason": "connection lost", "timestamp": "2026-01-01T00:00:02.000Z"},
    {"event": "item-tried", "job": "j", "item": "i", "outcome": "complete"}
    | {"versions": [1, 2], "until_due_s": -0.5, "events": 9}
    | {"timestamp": "2026-01-01T00:00:03.000Z"},
    {"event": "results-listed", "job": "j", "results": 1}
    | {"timestamp": "2026-01-01T00:00:04.000Z"},
    {"event": "item-given-up", "job": "j", "item": "k", "reason": "422"}
    | {"timestamp": "2026-01-01T00:00:05.000Z"},
    {"event": "request-refused", "request": "r", "kind": "overloaded"}
    | {"timestamp": "2026-01-01T00:00:06.000Z"},
    {"event": "lines-dropped", "count": 3, "timestamp": "2026-01-01T00:00:07.000Z"},
]


def _files(folder: Path) -> list[str]:
    first, second = folder / "a.log", folder / "b.log"
    texts = [json.dumps(line) for line in _LINES]
    first.write_text("\n".join(["Traceback: none of ours", *texts[1::2], "{half"]))
    second.write_text("\n".join(f"12.5 node {text}" for text in texts[::2]))
    return [str(first), str(second)]


def test_story_lines_are_sorted_by_time(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["story", "i", *_files(tmp_path)])
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert len(lines) == 2
    assert "outcome=broken reason=connection lost" in lines[0]
    assert "outcome=complete" in lines[1]


def test_unknown_subject_exits_with_code_2(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["story", "nobody", *_files(tmp_path)])
    assert result.exit_code == 2
    assert "nobody" in result.output


def test_missing_log_file_exits_with_code_2(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["report", "--logs", str(tmp_path / "none.log")])
    assert result.exit_code == 2
    assert "none.log" in result.output
