"""The report as CSV and as one self-contained HTML page with plots."""

from __future__ import annotations

import csv
import html
import io
from collections.abc import Sequence

import pygal

from ._build import Report, TrainerReport
from ._text import render_text

_CSV_HEADER = (
    "trainer",
    "step",
    "opened_unix_s",
    "asked",
    "delivered",
    "last_receipt_s",
    "version",
    "samples_of_version",
)


def render_csv(report: Report) -> str:
    """Return CSV with a row for each trainer, step and weight version."""
    buffer = io.StringIO()
    writer = csv.writer(buffer)
    writer.writerow(_CSV_HEADER)
    for trainer in report.trainers:
        for step in trainer.steps:
            for version, samples in (step.versions or {"": 0}).items():
                writer.writerow(
                    [
                        trainer.trainer,
                        step.step,
                        f"{step.opened_unix_s:.3f}",
                        step.asked,
                        step.delivered,
                        f"{step.last_receipt_s:.3f}",
                        version,
                        samples,
                    ]
                )
    return buffer.getvalue()


def _bar_chart(title: str, series: dict[str, dict[str, int]], x_title: str) -> str:
    labels = list(dict.fromkeys(key for counts in series.values() for key in counts))
    chart = pygal.Bar(
        title=title, x_title=x_title, y_title="samples", height=320, js=[]
    )
    chart.x_labels = labels
    for name, counts in series.items():
        chart.add(name, [counts.get(label, 0) for label in labels])
    return str(chart.render(is_unicode=True, disable_xml_declaration=True))


def _share_chart(trainers: Sequence[TrainerReport]) -> str:
    chart = pygal.Bar(title="Shares of tokens", y_title="percent", height=320, js=[])
    chart.x_labels = [trainer.trainer for trainer in trainers]
    chart.add("promised", [trainer.share_promised_percent for trainer in trainers])
    chart.add("received", [trainer.share_received_percent for trainer in trainers])
    return str(chart.render(is_unicode=True, disable_xml_declaration=True))


def render_html(report: Report) -> str:
    """Return the report as one HTML page without external resources."""
    staleness = {item.trainer: item.staleness_versions for item in report.trainers}
    lateness = {item.trainer: item.lateness_s for item in report.trainers}
    charts = [
        _share_chart(report.trainers),
        _bar_chart("Staleness at receipt", staleness, "versions behind the newest"),
        _bar_chart("Lateness", lateness, "seconds after the opening, up to"),
    ]
    text = html.escape(render_text(report))
    return (
        "<!doctype html><html><head><meta charset='utf-8'>"
        "<title>Rollout report</title></head><body><h1>Rollout report</h1>"
        f"{''.join(charts)}<pre>{text}</pre></body></html>"
    )
