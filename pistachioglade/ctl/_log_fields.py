"""Reads fields of log lines that may be missing or of another type."""

from __future__ import annotations

from math import isfinite

from ..report import LogLine


def text_of(line: LogLine, name: str) -> str:
    """Return a field that is a text; empty if it is none."""
    value = line.get(name)
    return value if isinstance(value, str) else ""


def number_of(line: LogLine, name: str) -> float | None:
    """Return a field that is a finite number; None if it is none."""
    value = line.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        number = float(value)
    except OverflowError:
        return None
    return number if isfinite(number) else None


def count_of(line: LogLine, name: str) -> int | None:
    """Return a field that is a number as an integer; None if it is none."""
    number = number_of(line, name)
    return None if number is None else int(number)
