"""Short seeded fault runs; longer ones are run by hand (docs/MEASUREMENTS.md)."""

from __future__ import annotations

from pathlib import Path

import pytest

from pistachioglade.load import run_faults


@pytest.mark.parametrize(("deployment", "seed"), [("jalrekha", 5), ("vereniging", 6)])
def test_no_promise_is_broken(deployment: str, seed: int, tmp_path: Path) -> None:
    result = run_faults(deployment, seed, 15.0, 1.5, str(tmp_path))
    assert result.faults
    assert result.samples
    assert result.violations == ()
