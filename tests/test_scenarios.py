"""Runs every scenario in ``scenarios/`` and compares it with its snapshot."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode

from pistachioglade.load import Cluster, SimulatedTrainer

from .conftest import CONFIGS
from .scenario import Session, parse_scenario

_FOLDER = Path(__file__).parent / "scenarios"
_SCENARIOS = sorted(_FOLDER.glob("*.scn"))


class _GoldenSession(SingleFileSnapshotExtension):
    _write_mode = WriteMode.TEXT
    file_extension = "txt"


@pytest.mark.parametrize("path", _SCENARIOS, ids=lambda path: path.stem)
def test_scenario(
    path: Path,
    cluster: Cluster,
    make_trainers: Callable[[Cluster], dict[str, SimulatedTrainer]],
    snapshot: SnapshotAssertion,
) -> None:
    statements = parse_scenario(path.read_text(encoding="utf-8"))
    session = Session(cluster, CONFIGS, make_trainers(cluster))
    transcript = session.run(statements)
    assert transcript == snapshot(extension_class=_GoldenSession)
