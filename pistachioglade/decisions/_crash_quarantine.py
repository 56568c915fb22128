"""Quarantine policy for requests whose instances crash.

Limits the damage from a request that crashes every instance that runs it and that its
caller retries at any entry. Each run fails the other requests of that instance, and the
loss of the last instance fails all requests of the upstream. A request that was in
flight when instances ended for other reasons must be served again soon.
"""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import Final

import attrs

#: Crashes from which a request runs only if its upstream has another instance.
SUSPECT_CRASHES: Final = 2
#: Crashes from which a request is quarantined.
QUARANTINE_CRASHES: Final = 3
#: Pause before each trial run of a quarantined request. The number of trials bounds
#: the number of further crashes.
_TRIAL_PAUSES_S: Final = (30.0, 120.0, 600.0)
#: Time for which a request waits for a second instance of its upstream. After that the
#: request runs on the only instance, so that an upstream with one instance still
#: serves the request.
_SPARE_WAIT_S: Final = 10.0
#: Time for which a run counts that began before its request had a crash record. Such a
#: run may be a long stream that harms nothing, and each equal request is refused while
#: it counts.
_COUNTED_RUN_S: Final = 1.0
#: Retry-After of a request whose trial run can't be claimed: the store doesn't answer,
#: or another entry has just claimed the trial.
UNCLAIMED_TRIAL_WAIT_S: Final = 2.0
#: Retry-After of a request that waits for a second instance.
_REPLACEMENT_WAIT_S: Final = 2.0
#: Retry-After while another run of the request is in progress, and the minimum of
#: every Retry-After.
_RUN_WAIT_S: Final = 0.2
#: Time that the write of a request's first crash may take before the other entries are
#: told directly. The store usually answers sooner, and tells them by their watches.
_FIRST_REPORT_DELAY_S: Final = 0.05
#: Longest wait, before a failed request is answered, for the other entries to know of
#: its crashes. As long as the timeout of a call to an entry, which may be busy.
MAX_SHARE_WAIT_S: Final = 0.5
#: Time after an instance's end for which a call of a job's item is held back. Below
#: five seconds, the limit for which a sample of an open job may be at no engine.
_OWED_PAUSE_S: Final = 4.5
#: First pause of a sample that has crashed engines.
_SAMPLE_PAUSE_S: Final = 1.0
#: Maximum number of doublings of that pause. Keeps the longest pause below five
#: seconds, the limit for which a sample of an open job may be at no engine.
_MAX_SAMPLE_DOUBLINGS: Final = 2
#: Retention of the history of a request that isn't quarantined.
_SUSPECT_RETENTION_S: Final = 600.0
#: Retention of the history of a quarantined request.
_QUARANTINE_RETENTION_S: Final = 3600.0


class Admission(Enum):
    """Whether a request may be sent."""

    # Send the request.
    SEND = "send"
    # Send the request if a trial run can be claimed.
    TRIAL = "trial"
    # Refuse the request.
    REFUSE = "refuse"


@attrs.frozen
class CrashHistory:
    """Crash history of one request across all its request ids."""

    # Instances that ended while running the request, since an instance last answered
    # the request.
    crashes: int
    # Trial runs claimed since the request was quarantined.
    trials: int
    # Seconds since this node last saw either count change.
    unchanged_s: float
    # Whether this node has a run of the request in progress.
    is_running: bool


@attrs.frozen
class AdmissionDecision:
    """Admission decision for a request."""

    # Whether the request may be sent.
    admission: Admission
    # Human-readable reason for a refusal.
    reason: str = ""
    # Seconds until a refused request may be retried.
    wait_s: float = 0.0


_SEND: Final = AdmissionDecision(Admission.SEND)


def is_quarantined(crashes: int) -> bool:
    """Return whether a request with this number of crashes is quarantined."""
    return crashes >= QUARANTINE_CRASHES


def decide_admission(history: CrashHistory, open_instances: int) -> AdmissionDecision:
    """Return the admission decision for a request.

    ``open_instances`` is the number of instances of its upstream that can run the
    request.
    """
    if history.crashes < SUSPECT_CRASHES:
        return _SEND
    due_s = 0.0
    if is_quarantined(history.crashes):
        if history.trials >= len(_TRIAL_PAUSES_S):
            return _refuse(history, _QUARANTINE_RETENTION_S - history.unchanged_s)
        due_s = _TRIAL_PAUSES_S[history.trials]
    if history.unchanged_s < due_s:
        return _refuse(history, due_s - history.unchanged_s)
    if history.is_running:
        return _refuse(history, _RUN_WAIT_S)
    if open_instances < 2 and history.unchanged_s < due_s + _SPARE_WAIT_S:
        return _refuse(history, _REPLACEMENT_WAIT_S)
    return (
        AdmissionDecision(Admission.TRIAL) if is_quarantined(history.crashes) else _SEND
    )


def decide_owed_admission(
    history: CrashHistory, open_instances: int
) -> AdmissionDecision:
    """Return the admission decision for a call that belongs to an item of a job.

    Items are owed whatever has ended while it ran them: instances also end for other
    reasons, and many items may have equal calls. Such a call is held back only for a
    bounded time after the last crash, whatever the number of crashes and trials.
    """
    if history.crashes < SUSPECT_CRASHES:
        return _SEND
    is_delayed = is_quarantined(history.crashes) or open_instances < 2
    if is_delayed and history.unchanged_s < _OWED_PAUSE_S:
        return _refuse(history, _OWED_PAUSE_S - history.unchanged_s)
    return _refuse(history, _RUN_WAIT_S) if history.is_running else _SEND


def _refuse(history: CrashHistory, wait_s: float) -> AdmissionDecision:
    reason = f"{history.crashes} instances ended while they ran this request"
    return AdmissionDecision(
        Admission.REFUSE, reason, round(max(_RUN_WAIT_S, wait_s), 3)
    )


def counted_run_s(has_record: bool) -> float:
    """Return how long a run counts as in progress at most.

    ``has_record`` tells whether its request had a crash record at the start.
    """
    return inf if has_record else _COUNTED_RUN_S


def report_delay_s(crashes: int) -> float:
    """Return how long after a crash other entries are told of it, if it isn't stored.

    An entry that doesn't know of a suspect request's crashes runs the request at
    further instances, so these crashes are reported without waiting for the store.
    """
    return 0.0 if crashes >= SUSPECT_CRASHES else _FIRST_REPORT_DELAY_S


def sample_pause_s(crashes: int) -> float:
    """Return the pause after a sample's latest crash in a row.

    Samples are delayed rather than refused, since a sample stays with its job until the
    trainer ends the job.
    """
    if not is_quarantined(crashes):
        return 0.0
    doublings = min(crashes - QUARANTINE_CRASHES, _MAX_SAMPLE_DOUBLINGS)
    return _SAMPLE_PAUSE_S * float(2**doublings)


def history_retention_s(crashes: int) -> float:
    """Return how long a request's history is retained after its last change."""
    return _QUARANTINE_RETENTION_S if is_quarantined(crashes) else _SUSPECT_RETENTION_S
