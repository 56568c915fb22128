"""Tables of docs/CAPACITY.md from journal entries of a sweep over fleet sizes.

Each entry holds the printed table of one sweep: for each role and measure, the values
of the middle and the busiest process at each number of machines. The power of a
measure is the exponent of the busiest process's growth with the number of machines.
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
#: Values up to this bound count as zero and have no logarithm.
_ZERO_BOUND: Final = 1e-6


@attrs.frozen
class SweepRow:
    """One measure of one sweep."""

    # Role and measure, with its unit.
    name: str
    # Value of the busiest process, by number of machines.
    busiest: Mapping[int, float]

    @property
    def power(self) -> float:
        """Exponent of the growth with the machines, by least squares of logarithms."""
        points = [
            (log(size), log(value))
            for size, value in self.busiest.items()
            if value > _ZERO_BOUND
        ]
        if len(points) < 2:
            return 0.0
        mean_x = sum(x for x, _ in points) / len(points)
        mean_y = sum(y for _, y in points) / len(points)
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread

    def at(self, machines: int) -> float:
        """Return the extrapolated value at another number of machines."""
        size = max(self.busiest)
        return self.busiest[size] * exp(self.power * log(machines / size))


@attrs.frozen
class Sweep:
    """Scores and measures of one sweep of a deployment over fleet sizes."""

    # Id of the sweep's journal entry.
    id: str
    # Name of the deployment.
    site: str
    # Abbreviated commit of the sources, with " and changes" for a dirty work tree.
    commit: str
    # Worth and served fraction of the credit, by number of machines.
    days: Mapping[int, tuple[float, float]]
    # Measures in the order of the table.
    rows: tuple[SweepRow, ...]


def read_sweep(path: Path) -> Sweep | Refusal:
    """Return the sweep in a journal entry, or a refusal with the reason."""
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
    rows = tuple(_parse_rows(text[sizes.end() :], machines))
    return Sweep(entry_id, site, commit, days, rows)


def _parse_rows(text: str, machines: Sequence[int]) -> Iterator[SweepRow]:
    cells = r"\s+".join([_CELL] * len(machines))
    pattern = re.compile(rf"^(\S.*?)\s{{2,}}{cells}", re.MULTILINE)
    for match in pattern.finditer(text):
        values = [float(value) for value in match.groups()[2::2]]
        yield SweepRow(match.group(1).strip(), dict(zip(machines, values, strict=True)))


def render_sweeps(sweeps: Iterable[Sweep], target: int) -> str:
    """Return a table for each deployment, with the values of all its runs.

    ``target`` is the number of machines to which the growth is extrapolated.
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
        _render_day("worth", machines, runs, 0),
        _render_day("served, of the credit", machines, runs, 1),
    ]
    names = [row.name for row in runs[0].rows]
    lines += [_render_row(name, machines, runs, target) for name in names]
    return "\n".join([*lines, ""])


def _render_day(
    name: str, machines: Sequence[int], runs: Sequence[Sweep], column: int
) -> str:
    cells = (
        ", ".join(f"{run.days[size][column]:.3f}" for run in runs if size in run.days)
        for size in machines
    )
    return f"| {name} | {' | '.join(cells)} | | |"


def _render_row(
    name: str, machines: Sequence[int], runs: Sequence[Sweep], target: int
) -> str:
    rows = [row for run in runs for row in run.rows if row.name == name]
    cells = (", ".join(f"{row.busiest[size]:g}" for row in rows) for size in machines)
    powers = ", ".join(f"{row.power:.2f}" for row in rows)
    ahead = ", ".join(f"{row.at(target):.3g}" for row in rows)
    return f"| {name} | {' | '.join(cells)} | {powers} | {ahead} |"


def replace_tables(page: str, tables: str) -> str:
    """Return the page with the tables between the markers replaced."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n\n{tables}\n{END}{tail}"


def plot_sweeps(sweeps: Sequence[Sweep]) -> str:
    """Return an SVG plot of the growth of each measure's busiest process."""
    machines = sorted({size for run in sweeps for size in run.days})
    chart = pygal.Line(
        logarithmic=True, x_title="machines", title="Busiest process, at 1 with fewest"
    )
    chart.x_labels = [str(size) for size in machines]
    for run in sweeps:
        for row in run.rows:
            first = row.busiest.get(machines[0], 0.0)
            if first > _ZERO_BOUND:
                values = [row.busiest.get(size, 0.0) / first for size in machines]
                chart.add(f"{run.site}: {row.name}", values)
    return str(chart.render(is_unicode=True))
