"""Jobs, items and results in the formats that callers send and read."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Mapping, Sequence
from typing import Any

from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Item, Job, Result, RewardCall
from ._names import LENGTH_HINT, TOKEN_USAGE


def parse_submission(body: bytes) -> Mapping[str, Any] | Refusal:
    """Return the JSON object of a submission."""
    try:
        fields = json.loads(body)
    except ValueError as error:
        return refuse(ErrorKind.BAD_REQUEST, f"submission: {error}")
    if not isinstance(fields, dict):
        return refuse(ErrorKind.BAD_REQUEST, "submission: not an object")
    return fields


def decode_job(
    job_id: str, host: str, path: str, fields: Mapping[str, Any]
) -> Job | Refusal:
    """Return the job of a submission, or a refusal that names the fault."""
    try:
        items = tuple(_item(item) for item in fields["items"])
        return Job(
            id=job_id,
            host=host,
            path=path,
            model=str(fields.get("model", "")),
            min_version=int(fields.get("min-version") or 0),
            target_groups=int(fields.get("target-group-count") or 0),
            step=int(fields.get("step") or 0),
            items=items,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"submission: {type(error).__name__} {error}"
        return refuse(ErrorKind.BAD_REQUEST, reason)


def _body(text: str | None) -> bytes:
    try:
        return base64.b64decode(text or "", validate=True)
    except binascii.Error as error:
        raise ValueError(f"body: {error}") from None


def _item(fields: Mapping[str, Any]) -> Item:
    headers = fields.get("headers") or {}
    by_name = {name.lower(): value for name, value in headers.items()}
    hint = by_name.get(LENGTH_HINT.lower())
    _, _, max_output = str(by_name.get(TOKEN_USAGE.lower(), "")).partition(",")
    scoring = fields.get("scoring-endpoint")
    return Item(
        id=fields["id"],
        group=fields.get("group-id") or fields["id"],
        path=fields["path"],
        fields=tuple((str(name), str(value)) for name, value in headers.items()),
        body=_body(fields.get("body")),
        tokens=int(fields.get("token-count") or 0),
        expected_tokens=int(hint) if hint is not None else None,
        most_tokens=int(max_output) if max_output else None,
        reward=_reward(scoring) if scoring else None,
    )


def _reward(fields: Mapping[str, Any]) -> RewardCall:
    return RewardCall(
        fields["id"], fields["host"], fields["path"], _body(fields.get("body"))
    )


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
