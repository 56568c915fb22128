"""Shows the hops of one request from a file of spans."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

Span = dict[str, Any]


def read_spans(path: Path) -> list[Span]:
    """Return the spans in a file of JSON lines."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines if line.strip()]


def find_slowest_trace(spans: Iterable[Span]) -> str:
    """Return the id of the trace that contains the longest span."""
    longest = max(spans, key=lambda span: float(span["duration_s"]))
    return str(longest["trace_id"])


def render_trace(spans: Iterable[Span], trace_id: str) -> list[str]:
    """Return a line for each hop of a trace, indented below its parent."""
    chosen = [span for span in spans if span["trace_id"] == trace_id]
    children: dict[str, list[Span]] = defaultdict(list)
    known = {span["span_id"] for span in chosen}
    for span in sorted(chosen, key=lambda item: float(item["start_unix_s"])):
        parent = span["parent_id"] if span["parent_id"] in known else ""
        children[parent].append(span)
    return list(_render_children(children, "", 0))


def _render_children(
    children: dict[str, list[Span]], parent: str, depth: int
) -> Iterator[str]:
    for span in children[parent]:
        details = " ".join(
            f"{key}={value}" for key, value in span["attributes"].items()
        )
        duration_ms = float(span["duration_s"]) * 1000
        indent = "  " * depth
        yield f"{indent}{span['name']} {duration_ms:.2f} ms {span['node']} {details}"
        yield from _render_children(children, str(span["span_id"]), depth + 1)
