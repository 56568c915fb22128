"""Tables of the capacity page, rendered from journal entries of sweeps."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from ...errors import Refusal
from .._sweep_page import (
    BEGIN,
    END,
    Sweep,
    plot_sweeps,
    read_sweep,
    render_sweeps,
    replace_tables,
)

_DIGEST = """day          own/srv  score  worth served refused failed  weakest part
sweep-30      31/303   0.06  0.063  0.217   0.000  0.234  worst windows 0.06
sweep-300   303/3003   0.91  0.913  1.000   0.000  0.003  worst windows 0.98

middle / busiest or longest, by own machines
                                     30             300  power  at 671
engine: processor %           1.1 / 1.1       1.2 / 1.3   0.06  1.3
entry: connections           24.0 / 100       15.0 / 1000  0.62  1008
config acked, ms             45.0 / 46.0       142 / 172   0.53  264
power: the busiest grows
"""


def _entry(folder: Path, **more: object) -> Path:
    path = folder / "entry.json"
    fields = {"cmd": "sweep", "id": "ab", "site": "lake", "head": "c0cffe0abc"}
    path.write_text(json.dumps(fields | {"dirty": False, "digest": _DIGEST} | more))
    return path


def test_sweep_entry_is_rendered_as_table(tmp_path: Path) -> None:
    sweep = read_sweep(_entry(tmp_path))
    assert isinstance(sweep, Sweep)
    assert sweep.days == {30: (0.063, 0.217), 300: (0.913, 1.0)}
    rows = {row.name: row for row in sweep.rows}
    assert rows["engine: processor %"].busiest == {30: 1.1, 300: 1.3}
    assert rows["entry: connections"].power == pytest.approx(1.0)
    assert rows["entry: connections"].at(600) == pytest.approx(2000.0)
    page = replace_tables(f"a\n{BEGIN}\nold\n{END}\nb", render_sweeps([sweep], 670))
    assert "old" not in page
    assert page.startswith("a\n") and page.endswith("\nb")
    assert "| entry: connections | 100 | 1000 | 1.00 | 2.23e+03 |" in page
    assert "entry: connections" in plot_sweeps([sweep])


@pytest.mark.parametrize(
    "more", [{"cmd": "score"}, {"digest": "nothing"}, {"digest": 3}, {"head": None}]
)
def test_entry_without_sweep_is_refused(
    tmp_path: Path, more: dict[str, object]
) -> None:
    assert isinstance(read_sweep(_entry(tmp_path, **more)), Refusal)


def test_missing_file_is_refused(tmp_path: Path) -> None:
    assert isinstance(read_sweep(tmp_path / "none.json"), Refusal)
