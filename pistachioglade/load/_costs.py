"""What processes cost, read from the kernel's process table."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import attrs

_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
_MEGA: Final = 1e6


@attrs.frozen
class ProcessCost:
    """One reading of one process."""

    # Processor time so far.
    cpu_s: float
    # Memory that it has in use.
    memory_mb: float


def read_cost(pid: int) -> ProcessCost | None:
    """Return the cost of a process, or None if it has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
        pages = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]
    except OSError:
        return None
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ProcessCost(ticks / _TICKS_PER_S, int(pages) * _PAGE_BYTES / _MEGA)


def total_cost(pids: Iterable[int]) -> ProcessCost:
    """Return the sum over processes that are still there."""
    costs = [cost for cost in map(read_cost, pids) if cost is not None]
    return ProcessCost(
        sum(cost.cpu_s for cost in costs), sum(cost.memory_mb for cost in costs)
    )
