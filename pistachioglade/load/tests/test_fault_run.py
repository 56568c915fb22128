"""Folders for the records of fault runs."""

from __future__ import annotations

from pathlib import Path

from .._fault_run import unused_folder


def test_each_run_of_a_seed_gets_a_new_folder(tmp_path: Path) -> None:
    """Guards against runs of one seed that share a folder.

    The stand-ins append to their records, so the checks at the end of the second run
    would count each call twice.
    """
    for name in ("seed-6", "seed-6-2", "seed-6-3"):
        folder = unused_folder(tmp_path, "seed-6")
        assert folder == tmp_path / name
        folder.mkdir()
