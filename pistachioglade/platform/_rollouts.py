"""Results of jobs in the formats that callers read."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from ..fleet import Result


def encode_result(result: Result) -> dict[str, Any]:
    """Return a result in the format that callers read."""
    fields: dict[str, Any] = {
        "id": result.item_id,
        "state": "completed" if result.is_completed else "terminated",
        "output-text": result.text,
    }
    if result.versions:
        fields["weight-versions"] = list(result.versions)
    if result.score:
        fields["score"] = result.score
    return fields


def decode_result(fields: Mapping[str, Any]) -> Result:
    """Return the result that :func:`encode_result` encoded."""
    return Result(
        item_id=fields["id"],
        is_completed=fields["state"] == "completed",
        text=fields["output-text"],
        versions=tuple(fields.get("weight-versions", ())),
        score=fields.get("score", ""),
    )


def encode_results_page(total: int, after: int, results: Sequence[str]) -> bytes:
    """Return the answer to a reader who has the first ``after`` results.

    Each result is the JSON text of the fields that :func:`encode_result` returns.
    """
    head = f'{{"total": {total}, "next": {after + len(results)}, "results": ['
    return (head + ",".join(results) + "]}").encode()
