"""Works the tables of docs/CAPACITY.md out from measured slopes."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

import attrs

_BEGIN: Final = "<!-- tables: begin -->"
_END: Final = "<!-- tables: end -->"

# The target of letter 1.
_NODES: Final = 670
_TRAINERS: Final = 14
_STEP_SAMPLES: Final = 8192
_STEP_S: Final = 27 * 60.0
_CHANGES_PER_S: Final = 31_000 / 86_400
_ENTRIES: Final = 10
_CPU_LIMIT: Final = 0.022
_MEMORY_LIMIT_MB: Final = 256.0
_BYTES_LIMIT_PER_S: Final = 11_000.0
_CHANGE_LIMIT_S: Final = 7.0
_FAILURES_PER_S: Final = (64 + 3_400) / 86_400

# How the roles call the object API.
_LEASE_RENEWALS_PER_S: Final = 0.5
_LEDGER_WRITES_PER_S: Final = 0.5
_USAGE_WRITES_PER_S: Final = 0.2
_CALLS_PER_CHANGE: Final = 4
_VALUE_LIMIT_BYTES: Final = 1_000_000
#: Headers of websocket, TCP and IP for one frame, with its share of
#: acknowledgements.
_FRAME_OVERHEAD_BYTES: Final = 66


@attrs.frozen
class Line:
    """A straight line through readings."""

    # Value at no size.
    start: float
    # Growth for each unit of size.
    slope: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.start + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _y in points) / count
    mean_y = sum(y for _x, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _y in points)
    joint = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = joint / spread if spread else 0.0
    return Line(mean_y - slope * mean_x, slope)


class _Readings:
    """Readings by name."""

    def __init__(self, fields: Sequence[Mapping[str, Any]]) -> None:
        self._fields = fields

    def points(self, name: str) -> list[tuple[float, float]]:
        return [
            (float(item["size"]), float(item["value"]))
            for item in self._fields
            if item["name"] == name
        ]

    def at(
        self, name: str, size: float, scale: Callable[[float], float] = float
    ) -> float:
        """Return a figure at a size, on a line over ``scale`` of the sizes."""
        points = [(scale(x), y) for x, y in self.points(name)]
        return fit(points).at(scale(size))


def _row(*cells: str) -> str:
    return f"| {' | '.join(cells)} |"


def _measured(readings: _Readings, fields: Sequence[Mapping[str, Any]]) -> list[str]:
    names = list(dict.fromkeys(str(item["name"]) for item in fields))
    rows = [_row("reading", "size: value"), _row("---", "---")]
    for name in names:
        points = readings.points(name)
        cells = ", ".join(f"{size:.0f}: {value:.4g}" for size, value in points)
        rows.append(_row(name, cells))
    return rows


def _verdict(value: float, limit: float) -> str:
    return "fits" if value <= limit else "DOES NOT FIT"


def _node_rows(readings: _Readings) -> list[str]:
    cpu = readings.at("node_cpu_part", _NODES, math.log2)
    memory = readings.at("node_memory_mb", _NODES)
    frames = readings.at("node_frames_per_s", _NODES, math.log2)
    payload = readings.at("node_frame_bytes_per_s", _NODES, math.log2)
    part = readings.at("part_bytes", _TRAINERS) + readings.at("root_bytes", _TRAINERS)
    changes = _CHANGES_PER_S * part
    churn = 2 * _FAILURES_PER_S * 120 * 2 * math.log2(_NODES)
    wire = payload + frames * _FRAME_OVERHEAD_BYTES + changes + churn
    change_s = readings.at("change_everywhere_s", _NODES, math.log2)
    return [
        _row("control of one node at 670", "value", "limit", "verdict"),
        _row("---", "---", "---", "---"),
        _row(
            "processor, part of a core",
            f"{cpu:.4f}",
            "0.022",
            _verdict(cpu, _CPU_LIMIT),
        ),
        _row("memory, MB", f"{memory:.0f}", "256", _verdict(memory, _MEMORY_LIMIT_MB)),
        _row("frames a second, both ways", f"{frames:.1f}", "-", "-"),
        _row(
            "bytes a second with headers, changes and churn",
            f"{wire:.0f}",
            "11000",
            _verdict(wire, _BYTES_LIMIT_PER_S),
        ),
        _row("of these for 31,000 changes a day", f"{changes:.0f}", "-", "-"),
        _row("of these for 3,464 leavings a day", f"{churn:.1f}", "-", "-"),
        _row(
            "change in force everywhere, s",
            f"{change_s:.2f}",
            "7",
            _verdict(change_s, _CHANGE_LIMIT_S),
        ),
    ]


def _owner_rows(readings: _Readings) -> list[str]:
    samples = float(_STEP_SAMPLES)
    plan = readings.at("plan_cpu_s", samples)
    pack = readings.at("record_pack_cpu_s", samples)
    size = readings.at("record_bytes", samples)
    cpu = (plan + _STEP_S * _LEDGER_WRITES_PER_S * pack / 2) / _STEP_S
    day = 86_400 / _STEP_S * _TRAINERS * readings.at("report_cpu_s", samples)
    return [
        _row("step owner at 8,192 samples", "value", "limit", "verdict"),
        _row("---", "---", "---", "---"),
        _row("plan, processor s for a step", f"{plan:.2f}", "-", "-"),
        _row(
            "plan and record, part of a core",
            f"{cpu:.4f}",
            "0.022",
            _verdict(cpu, _CPU_LIMIT),
        ),
        _row(
            "plan, MB",
            f"{readings.at('plan_memory_mb', samples):.1f}",
            "256",
            _verdict(readings.at("plan_memory_mb", samples), _MEMORY_LIMIT_MB),
        ),
        _row(
            "record, bytes",
            f"{size:.0f}",
            "1000000",
            _verdict(size, _VALUE_LIMIT_BYTES),
        ),
        _row("report over a day, processor s", f"{day:.0f}", "60", _verdict(day, 60)),
    ]


def _api_rows(readings: _Readings) -> list[str]:
    reads = readings.at("api_reads_per_s", _NODES)
    leases = _TRAINERS * _LEASE_RENEWALS_PER_S
    ledger = _TRAINERS * _LEDGER_WRITES_PER_S
    usage = _ENTRIES * _USAGE_WRITES_PER_S
    changes = _CHANGES_PER_S * _CALLS_PER_CHANGE
    domain = _TRAINERS + _TRAINERS * 2
    parted = _NODES / 0.5
    writes = leases + ledger + usage + changes
    return [
        _row("object API at the target", "writes/s", "reads/s", "waiting watches"),
        _row("---", "---", "---", "---"),
        _row("measured at rest, extrapolated", "0", f"{reads:.1f}", "-"),
        _row("entries' watches", "0", f"{_ENTRIES / 20:.1f}", str(_ENTRIES)),
        _row("leases", f"{leases:.1f}", "0", "0"),
        _row("ledger", f"{ledger:.1f}", "0", "0"),
        _row("usage", f"{usage:.1f}", "0", "0"),
        _row(
            "configuration and weights",
            f"{changes:.1f}",
            f"{changes + _CHANGES_PER_S * _ENTRIES * 2:.1f}",
            "0",
        ),
        _row("sum", f"{writes:.1f} of 300", f"{reads + 10:.1f} of 2000", str(_ENTRIES)),
        _row(
            "a failure domain lost at once, in the second after",
            f"{domain}",
            f"{domain}",
            "0",
        ),
        _row(
            "every node without peers (regions parted node by node)",
            "0",
            f"{parted:.0f}",
            "0",
        ),
    ]


def renew_page(text: str, fields: Sequence[Mapping[str, Any]]) -> str:
    """Return the page with its tables worked out anew."""
    readings = _Readings(fields)
    tables = [
        _measured(readings, fields),
        _node_rows(readings),
        _owner_rows(readings),
        _api_rows(readings),
    ]
    block = "\n\n".join("\n".join(table) for table in tables)
    head, _, rest = text.partition(_BEGIN)
    _old, _, tail = rest.partition(_END)
    return f"{head}{_BEGIN}\n\n{block}\n\n{_END}{tail}"
