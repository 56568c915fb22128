"""Records that the report is built from, and their encoding in the object API."""

from __future__ import annotations

from typing import Any

import attrs

from ..messages import Receipt, VersionSpan


@attrs.frozen
class StepRecord:
    """Receipts and failures of one step, as recorded by one owner."""

    # Name of the trainer.
    trainer: str
    # Number of the step.
    step: int
    # Node id of the owner that wrote the record.
    owner: str
    # Time at which the trainer first opened the step, in seconds since the epoch.
    opened_unix_s: float
    # Samples asked for.
    sample_count: int
    # Receipts that the trainer sent for samples.
    receipts: tuple[Receipt, ...]
    # Error kind to the number of refused or failed attempts at samples.
    refusals: dict[str, int]
    # Reason to the number of tokens that were generated and not delivered.
    wasted_tokens: dict[str, int]


@attrs.frozen
class UsageRecord:
    """Answers and refusals of one entry to one caller within a span of time."""

    # Start of the span, in seconds since the epoch.
    since_unix_s: float
    # End of the span, in seconds since the epoch.
    until_unix_s: float
    # Name of the caller or trainer.
    caller: str
    # Kind of the caller.
    caller_kind: str
    # Requests that were answered.
    answered: int
    # "kind: reason" to the number of refused requests.
    refusals: dict[str, int]
    # Encoded HDR histogram of answer times, in microseconds.
    latency_hdr: str


def pack_step(record: StepRecord) -> dict[str, Any]:
    """Return a record as JSON data in columns, about 25 bytes for each sample."""
    agents = sorted({receipt.agent for receipt in record.receipts})
    positions = {agent: position for position, agent in enumerate(agents)}
    receipts = record.receipts
    return {
        "trainer": record.trainer,
        "step": record.step,
        "owner": record.owner,
        "opened_unix_s": record.opened_unix_s,
        "sample_count": record.sample_count,
        "refusals": record.refusals,
        "wasted_tokens": record.wasted_tokens,
        "agents": agents,
        "index": [item.index for item in receipts],
        "copy": [item.copy_id.partition(".")[2] for item in receipts],
        "agent": [positions[item.agent] for item in receipts],
        "spans": [
            [number for span in item.spans for number in attrs.astuple(span)]
            for item in receipts
        ],
        "staleness": [item.staleness_versions for item in receipts],
        "lateness_ms": [round(item.lateness_s * 1000) for item in receipts],
    }


def unpack_step(value: dict[str, Any]) -> StepRecord:
    """Return the record that :func:`pack_step` encoded."""
    agents = value["agents"]
    columns = zip(
        value["index"],
        value["copy"],
        value["agent"],
        value["spans"],
        value["staleness"],
        value["lateness_ms"],
        strict=True,
    )
    return StepRecord(
        trainer=value["trainer"],
        step=value["step"],
        owner=value["owner"],
        opened_unix_s=value["opened_unix_s"],
        sample_count=value["sample_count"],
        receipts=tuple(_receipt(agents, *column) for column in columns),
        refusals=value["refusals"],
        wasted_tokens=value["wasted_tokens"],
    )


def _receipt(
    agents: list[str],
    index: int,
    copy: str,
    agent: int,
    spans: list[int],
    staleness: int,
    lateness_ms: int,
) -> Receipt:
    pairs = zip(spans[::2], spans[1::2], strict=True)
    return Receipt(
        index=index,
        copy_id=f"{agents[agent]}.{copy}",
        spans=tuple(VersionSpan(version, count) for version, count in pairs),
        staleness_versions=staleness,
        lateness_s=lateness_ms / 1000,
        agent=agents[agent],
    )
