"""The whole path as processes: steps, lookups, report, planned end."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from pistachioglade.load import main


def test_demo_delivers_every_sample_and_reports(tmp_path: Path) -> None:
    folder = str(tmp_path / "run")
    result = CliRunner().invoke(
        main, ["demo", "--deployment", "jalrekha", "--steps", "2", "--folder", folder]
    )
    assert result.exit_code == 0, result.output
    rows = [line.split() for line in result.stdout.splitlines()]
    assert ["narrator", "256", "256"] in [row[:3] for row in rows]
    assert ["risk-notes", "128", "128"] in [row[:3] for row in rows]
