"""Processor time and memory of processes, read from ``/proc``."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import attrs

_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
_BYTES_PER_MB: Final = 1e6


@attrs.frozen
class ProcessCost:
    """Processor time and memory of one process, or the sum over several."""

    # Processor time since the start, in seconds.
    cpu_s: float
    # Resident memory, in megabytes.
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
    return ProcessCost(ticks / _TICKS_PER_S, int(pages) * _PAGE_BYTES / _BYTES_PER_MB)


def total_cost(pids: Iterable[int]) -> ProcessCost:
    """Return the sum over the processes that still run."""
    costs = [cost for cost in map(read_cost, pids) if cost is not None]
    return ProcessCost(
        sum(cost.cpu_s for cost in costs), sum(cost.memory_mb for cost in costs)
    )
