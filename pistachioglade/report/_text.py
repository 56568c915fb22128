"""The report as a table for a terminal."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from itertools import chain

from ._build import CallerReport, Report, TrainerReport


def text_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return lines with each column padded to its widest cell."""
    cells = [list(header), *map(list, rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def _format_counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{name}: {count}" for name, count in counts.items()) or "none"


def _format_seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


def _format_percent(value: float | None) -> str:
    return "-" if value is None else f"{value:.0f}%"


def _trainer_row(trainer: TrainerReport) -> list[str]:
    return [
        trainer.trainer,
        str(trainer.asked),
        str(trainer.delivered),
        str(trainer.tokens),
        _format_percent(trainer.share_promised_percent),
        f"{trainer.share_received_percent:.1f}%",
        _format_seconds(trainer.lateness_mean_s),
        _format_counts(trainer.staleness_versions),
    ]


def _step_rows(trainer: TrainerReport) -> list[list[str]]:
    return [
        [
            trainer.trainer,
            str(step.step),
            str(step.asked),
            str(step.delivered),
            f"{step.last_receipt_s:.2f}",
            _format_counts(step.versions),
            ", ".join(dict.fromkeys(step.owners)),
        ]
        for step in trainer.steps
    ]


def _caller_row(caller: CallerReport) -> list[str]:
    return [
        caller.caller,
        caller.kind,
        str(caller.answered),
        str(sum(caller.refusals.values())),
        _format_seconds(caller.p50_s),
        _format_seconds(caller.p99_s),
    ]


def _refusal_rows(report: Report) -> list[list[str]]:
    named = [
        *((item.trainer, item.refusals) for item in report.trainers),
        *((item.caller, item.refusals) for item in report.callers),
    ]
    return [
        [name, str(count), reason]
        for name, refusals in named
        for reason, count in refusals.items()
    ]


def render_text(report: Report) -> str:
    """Return the report as text tables."""
    sections = [
        (
            "Trainers",
            [
                "trainer",
                "asked",
                "delivered",
                "tokens",
                "share",
                "received",
                "late mean s",
                "staleness (versions: samples)",
            ],
            [_trainer_row(item) for item in report.trainers],
        ),
        (
            "Steps",
            [
                "trainer",
                "step",
                "asked",
                "delivered",
                "whole after s",
                "samples by weight version",
                "owner",
            ],
            list(chain.from_iterable(map(_step_rows, report.trainers))),
        ),
        (
            "Callers",
            ["caller", "kind", "answered", "refused", "p50 s", "p99 s"],
            [_caller_row(item) for item in report.callers],
        ),
        ("Refused", ["who", "times", "why"], _refusal_rows(report)),
        (
            "Made and not delivered",
            ["trainer", "tokens", "why"],
            [
                [item.trainer, str(tokens), reason]
                for item in report.trainers
                for reason, tokens in item.wasted_tokens.items()
            ],
        ),
        ("Gaps", ["who", "what"], [[gap.node, gap.reason] for gap in report.gaps]),
    ]
    blocks = [
        "\n".join([title, *(text_table(header, rows) if rows else ["none"])])
        for title, header, rows in sections
    ]
    return "\n\n".join(blocks)
