"""Reports of samples, weight versions, lateness, refusals and lost time."""

from ._build import (
    CallerReport,
    Gap,
    Report,
    StepReport,
    TrainerReport,
    build_report,
    merge_receipts,
    summarise,
)
from ._files import render_csv, render_html
from ._from_logs import LoggedRecords, LogLine, line_unix_s, records_from_logs
from ._losses import (
    CallLoss,
    LossCause,
    Losses,
    StepLoss,
    losses_from_logs,
    render_losses,
)
from ._records import StepRecord, UsageRecord, pack_step, unpack_step
from ._text import render_text, text_table

__all__ = [
    "CallLoss",
    "CallerReport",
    "Gap",
    "LogLine",
    "LoggedRecords",
    "LossCause",
    "Losses",
    "Report",
    "StepLoss",
    "StepRecord",
    "StepReport",
    "TrainerReport",
    "UsageRecord",
    "build_report",
    "line_unix_s",
    "losses_from_logs",
    "merge_receipts",
    "pack_step",
    "records_from_logs",
    "render_csv",
    "render_html",
    "render_losses",
    "render_text",
    "summarise",
    "text_table",
    "unpack_step",
]
