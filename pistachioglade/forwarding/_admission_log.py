"""Fields of the log lines about decisions on the admission of requests."""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite
from typing import Any

from ..decisions import Estimate, InstanceRecord, StartRate, WaitingRequest


def request_log_fields(
    request: WaitingRequest, estimate: Estimate | None, now_s: float
) -> dict[str, Any]:
    """Return the fields of a request, and of the estimate of its start."""
    fields: dict[str, Any] = {
        "request": request.request_id,
        "route": request.route,
        "account": request.account,
        "priority": request.priority,
        "is_retry": request.is_retry,
        "is_returning": request.is_returning,
        "deadline_in_s": round(request.deadline_s - now_s, 4),
    }
    if estimate is not None:
        fields |= {
            "position": estimate.position,
            "expected_wait_s": round(estimate.wait_s, 4),
            "expected_answer_s": round(estimate.answer_s, 4),
        }
    return fields


def rate_log_fields(rate: StartRate, aim_s: float, now_s: float) -> dict[str, Any]:
    """Return the fields of the rate at which requests start."""
    return {
        "starts_per_s": round(rate.starts_per_s(aim_s, now_s), 1),
        "in_flight": rate.in_flight,
    }


def report_log_fields(
    records: Iterable[InstanceRecord], now_s: float
) -> dict[str, Any]:
    """Return the number of instances and the ages of their load reports."""
    ages_s = [now_s - record.load_reported_s for record in records]
    known_s = [age_s for age_s in ages_s if isfinite(age_s)]
    return {
        "instances": len(ages_s),
        "newest_report_age_s": round(min(known_s), 4) if known_s else None,
        "oldest_report_age_s": round(max(known_s), 4) if known_s else None,
    }
