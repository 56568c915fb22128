"""Folders of fault runs."""

from __future__ import annotations

from pathlib import Path

from .._fault_run import unused_folder


def test_a_second_run_of_a_seed_gets_a_folder_of_its_own(tmp_path: Path) -> None:
    """Two runs in one folder showed each call of the second as run twice.

    The stand-ins append to the records that the checks read at the end.
    """
    for name in ("seed-6", "seed-6-2", "seed-6-3"):
        folder = unused_folder(tmp_path, "seed-6")
        assert folder == tmp_path / name
        folder.mkdir()
