"""The demo as processes: steps, lookups, report and planned stop."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
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


def _processes_of(folder: Path) -> list[str]:
    """Return the command lines of processes, except the demo, that name a folder."""
    lines = []
    for entry in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            command = entry.read_bytes().replace(b"\0", b" ").decode(errors="replace")
        except OSError:
            continue
        if str(folder) in command and "load" not in command:
            lines.append(command)
    return lines


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_demo_that_is_ended_leaves_nothing_running(
    number: signal.Signals, tmp_path: Path
) -> None:
    script = Path(sys.executable).parent / "pistachioglade-load"
    demo = subprocess.Popen(
        [str(script), "demo", "--deployment", "jalrekha", "--folder", str(tmp_path)]
    )
    deadline_s = time.monotonic() + 60.0
    while not _processes_of(tmp_path) and time.monotonic() < deadline_s:
        time.sleep(0.1)
    assert _processes_of(tmp_path)
    time.sleep(3.0)
    demo.send_signal(number)
    demo.wait(60.0)
    assert _processes_of(tmp_path) == []
