"""Tables of docs/CAPACITY.md from journal entries of a sweep over fleet sizes.

Each entry holds the printed table of one sweep: for each role and measure the middle
and the busiest process at each number of machines. A measure's power is the exponent
with which its busiest process grows with the machines.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import groupby
from math import exp, log
from pathlib import Path
from typing import Final

import attrs
import pygal

from ..errors import ErrorKind, Refusal, refuse

BEGIN: Final = "<!-- sweeps: begin -->"
END: Final = "<!-- sweeps: end -->"
_SIZES: Final = re.compile(r"^middle / busiest.*\n\s+((?:\d+\s+)+)power", re.MULTILINE)
_CELL: Final = r"(-?[\d.]+) / (-?[\d.]+)"
_DAY: Final = re.compile(
    r"^(sweep-\d+)\s+(\d+)/\d+\s+\S+\s+(-?[\d.]+)\s+([\d.]+)", re.MULTILINE
)
#: Least value whose logarithm is taken; below it a measure counts as none.
_LEAST: Final = 1e-6


@attrs.frozen
class SweepRow:
    """One measure of one sweep."""

    # Role and measure, with its unit.
    name: str
    # Busiest process by number of machines.
    busiest: Mapping[int, float]

    @property
    def power(self) -> float:
        """Exponent of its growth with the machines, by least squares of logarithms."""
        points = [
            (log(size), log(value))
            for size, value in self.busiest.items()
            if value > _LEAST
        ]
        if len(points) < 2:
            return 0.0
        mean_x = sum(x for x, _ in points) / len(points)
        mean_y = sum(y for _, y in points) / len(points)
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread

    def at(self, machines: int) -> float:
        """Return the value that the growth gives at another number of machines."""
        size = max(self.busiest)
        return self.busiest[size] * exp(self.power * log(machines / size))


@attrs.frozen
class Sweep:
    """One sweep of a deployment."""

    # Id of its journal entry.
    id: str
    # Deployment.
    site: str
    # Whether the sources were those of a commit, and which.
    commit: str
    # Worth and part of the credit served, by number of machines.
    days: Mapping[int, tuple[float, float]]
    # Measures in the order of the table.
    rows: tuple[SweepRow, ...]


def read_sweep(path: Path) -> Sweep | Refusal:
    """Return the sweep in a journal entry, or why there is none."""
    try:
        fields = json.loads(path.read_text(encoding="utf-8"))
        text = str(fields["digest"])
        is_sweep = fields["cmd"] == "sweep"
        commit = fields["head"][:7] + (" and changes" if fields["dirty"] else "")
        site, entry_id = fields["site"], fields["id"]
    except (OSError, KeyError, TypeError, ValueError) as error:
        return refuse(ErrorKind.BAD_REQUEST, f"{path}: {type(error).__name__} {error}")
    sizes = _SIZES.search(text)
    if not is_sweep or sizes is None:
        return refuse(ErrorKind.BAD_REQUEST, f"{path}: no entry of a sweep")
    machines = [int(size) for size in sizes.group(1).split()]
    days = {
        size: (float(match.group(3)), float(match.group(4)))
        for size, match in zip(machines, _DAY.finditer(text), strict=False)
    }
    rows = tuple(_rows(text[sizes.end() :], machines))
    return Sweep(entry_id, site, commit, days, rows)


def _rows(text: str, machines: Sequence[int]) -> Iterator[SweepRow]:
    cells = r"\s+".join([_CELL] * len(machines))
    pattern = re.compile(rf"^(\S.*?)\s{{2,}}{cells}", re.MULTILINE)
    for match in pattern.finditer(text):
        values = [float(value) for value in match.groups()[2::2]]
        yield SweepRow(match.group(1).strip(), dict(zip(machines, values, strict=True)))


def render_sweeps(sweeps: Iterable[Sweep], target: int) -> str:
    """Return the tables of several sweeps, each deployment with the spread of its runs.

    ``target`` is the number of machines that the growth is carried on to.
    """
    ordered = sorted(sweeps, key=lambda item: item.site)
    return "\n".join(
        _render_site(site, list(runs), target)
        for site, runs in groupby(ordered, key=lambda item: item.site)
    )


def _render_site(site: str, runs: Sequence[Sweep], target: int) -> str:
    machines = sorted(runs[0].days)
    heads = " | ".join(str(size) for size in machines)
    ids = ", ".join(f"{run.id} ({run.commit})" for run in runs)
    lines = [
        f"### {site}",
        "",
        f"Busiest process; several runs with a comma between them: {ids}.",
        "",
        f"| machines | {heads} | power | at {target} |",
        "| --- |" + " --- |" * (len(machines) + 2),
        _day_line("worth", machines, runs, 0),
        _day_line("served, of the credit", machines, runs, 1),
    ]
    names = [row.name for row in runs[0].rows]
    lines += [_row_line(name, machines, runs, target) for name in names]
    return "\n".join([*lines, ""])


def _day_line(
    name: str, machines: Sequence[int], runs: Sequence[Sweep], place: int
) -> str:
    cells = (
        ", ".join(f"{run.days[size][place]:.3f}" for run in runs if size in run.days)
        for size in machines
    )
    return f"| {name} | {' | '.join(cells)} | | |"


def _row_line(
    name: str, machines: Sequence[int], runs: Sequence[Sweep], target: int
) -> str:
    rows = [row for run in runs for row in run.rows if row.name == name]
    cells = (", ".join(f"{row.busiest[size]:g}" for row in rows) for size in machines)
    powers = ", ".join(f"{row.power:.2f}" for row in rows)
    ahead = ", ".join(f"{row.at(target):.3g}" for row in rows)
    return f"| {name} | {' | '.join(cells)} | {powers} | {ahead} |"


def renew_sweeps(page: str, tables: str) -> str:
    """Return the page with its tables of sweeps replaced."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n\n{tables}\n{END}{tail}"


def plot_sweeps(sweeps: Sequence[Sweep]) -> str:
    """Return an SVG of how each measure of the busiest process grows."""
    machines = sorted({size for run in sweeps for size in run.days})
    chart = pygal.Line(
        logarithmic=True, x_title="machines", title="Busiest process, at 1 with fewest"
    )
    chart.x_labels = [str(size) for size in machines]
    for run in sweeps:
        for row in run.rows:
            first = row.busiest.get(machines[0], 0.0)
            if first > _LEAST:
                values = [row.busiest.get(size, 0.0) / first for size in machines]
                chart.add(f"{run.site}: {row.name}", values)
    return str(chart.render(is_unicode=True))
