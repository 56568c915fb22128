"""Decides how long a unit of work takes at an instance, lastingly and at the moment.

A unit is an event of an engine's stream or a response of a plain instance.

Expected load: engines of which a third take 2.4 times as long as the others in every
run; machines on which work takes 2.5 times as long for 0.6 s at a time, reported in
PERCENT with the head of a response only; instances that turn six times slower for some
seconds. Events of one engine arrive every few milliseconds and take the same time each.
Responses of one plain instance may arrive seconds apart, and their work varies by a
factor of ten. Times are therefore averaged as logarithms, and differences are compared
with the measured spread.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from math import exp, isfinite, log, sqrt
from typing import Any, Final

import attrs

#: Time for which an instance's load report counts: about the work of two lookups, or a
#: tenth of a sample's.
LOAD_REPORT_TTL_S: Final = 0.3
#: Time for which the recent pace counts, and for which an instance stays slowed without
#: another observation. Afterwards single requests find out whether it has recovered.
_RECENT_TTL_S: Final = 3.0
#: Limits of a plausible unit. Events that arrive in one segment are microseconds apart,
#: which measures the network; no unit takes a minute.
_MIN_UNIT_S: Final = 0.0005
_MAX_UNIT_S: Final = 60.0
#: Own observations after which they replace reports of other entries.
SETTLED_UNITS: Final = 4
#: Half-lives of the trust in a pace that isn't observed any more, by own observations
#: and by reports of other entries. A fault at the start of a run, or a false report,
#: would otherwise keep lookups away for good, so that it never showed.
_OWN_HALF_LIFE_S: Final = 15.0
_REPORT_HALF_LIFE_S: Final = 3.0
#: Own observations from which single outliers don't count in the lasting time.
_GATED_UNITS: Final = 8
#: Smallest weight of an observation in the lasting time: some seconds of an engine's
#: events, so that a short disturbance barely changes it.
_LASTING_WEIGHT: Final = 1.0 / 256.0
#: Weight of an observation in the recent time.
_RECENT_WEIGHT: Final = 0.25
#: Largest logarithmic excess of one observation in the recent time. A stall (a load of
#: weights, a preemption) takes longer and says no more.
_MAX_EXCESS: Final = log(12.0)
#: Logarithmic excess of the recent over the lasting time from which an instance is
#: slowed, and below which it is usual again. Other requests on an instance and the
#: network change a unit by less than a third.
_SLOWED_EXCESS: Final = log(1.6)
_USUAL_EXCESS: Final = log(1.3)
#: Number of standard errors that the excess has to reach as well, since the work of
#: lookups varies widely.
_MIN_DEVIATIONS: Final = 3.0
#: Variance of the logarithm of a unit that is assumed at first, and the number of
#: observations that the assumption counts for.
_ASSUMED_VARIANCE: Final = 0.25
_ASSUMED_UNITS: Final = 4
#: Consecutive units without a usual one among them, and time of such a run, after which
#: an instance is slowed. The time exceeds the validity of a load report, so that a
#: single outdated PERCENT has no effect.
_MIN_SLOW_UNITS: Final = 3
_MIN_SLOW_S: Final = 0.4
#: Time for which slowness is ascribed to the machine of an instance that reports
#: PERCENT, while no fresh PERCENT rules that out: three changes of such a machine.
_MACHINE_DOUBT_S: Final = 2.0
#: Consecutive faster units, and time of such a run, after which the lasting time is
#: measured anew: it was measured during a fault.
_MIN_FAST_UNITS: Final = 3
_MIN_FAST_S: Final = 0.5
#: Time and units after which slowness counts as lasting. The instance is then rated by
#: its expected time only, so that a wrong lasting time doesn't exclude it for good.
_SLOWED_FOR_GOOD_S: Final = 20.0
_SLOWED_FOR_GOOD_UNITS: Final = 16


class PaceState(Enum):
    """What is known about the pace of an instance."""

    # Nothing.
    UNKNOWN = "unknown"
    # The instance is as fast as it lastingly is, as far as known.
    USUAL = "usual"
    # The instance is much slower than its lasting pace and its machine explain.
    SLOWED = "slowed"


def _rounded(time_s: float | None) -> float | None:
    """Return a time in tenths of a millisecond; None if it isn't known."""
    return None if time_s is None or not isfinite(time_s) else round(time_s, 4)


def _ignore_state(_state: PaceState) -> None:
    """Ignore a change of the state."""


@attrs.define
class InstancePace:
    """The lasting and the recent time of a unit, and the machine's PERCENT.

    Times of units are kept as natural logarithms of seconds.
    """

    # Called after each change of the state.
    on_change: Callable[[PaceState], None] = _ignore_state
    # State as of the last observation or report.
    state: PaceState = PaceState.UNKNOWN
    # Last PERCENT of the machine; None if the last load report had none.
    machine_percent: int | None = None
    # Monotonic time of that report.
    percent_reported_s: float = float("-inf")
    # Whether the instance has ever reported a PERCENT.
    has_percent: bool = False
    # Lasting time of a unit by own observations; None before any.
    own_log: float | None = None
    # Own observations that the lasting time consists of.
    own_units: int = 0
    # Variance of single observations.
    variance: float = _ASSUMED_VARIANCE
    # Monotonic time of the last own observation.
    observed_s: float = float("-inf")
    # Lasting time of a unit by the newest report of an entry; None without one.
    reported_log: float | None = None
    # Monotonic time of the observation that the report is based on.
    reported_s: float = float("-inf")
    # Monotonic time since which the lasting time is known.
    known_since_s: float = float("-inf")
    # Recent time of a unit on a usual machine; None before any.
    recent_log: float | None = None
    # Units and start of the current run of slow units; None if the last was usual.
    slow_units: int = 0
    slow_since_s: float | None = None
    # First and last unit of that run that a fresh PERCENT doesn't explain, or that of
    # an instance without PERCENT.
    unexplained_since_s: float | None = None
    unexplained_until_s: float = float("-inf")
    # Units and start of the current run of units with a faster recent time.
    fast_units: int = 0
    fast_since_s: float | None = None
    # Units in the state SLOWED, and the monotonic time of its start.
    slowed_units: int = 0
    slowed_since_s: float = float("-inf")

    @property
    def is_settled(self) -> bool:
        """Whether own observations outweigh the reports of other entries."""
        return self.own_units >= SETTLED_UNITS

    @property
    def _lasting_log(self) -> float | None:
        if self.is_settled or self.reported_log is None:
            return self.own_log
        return self.reported_log

    @property
    def lasting_s(self) -> float | None:
        """Lasting time of a unit on a usual machine; None if it is unknown."""
        lasting_log = self._lasting_log
        return None if lasting_log is None else exp(lasting_log)

    @property
    def recent_s(self) -> float | None:
        """Recent time of a unit on a usual machine; None before any observation."""
        return None if self.recent_log is None else exp(self.recent_log)

    @property
    def shared(self) -> tuple[float, float] | None:
        """Lasting time and the time of its last observation; None if not known well."""
        if self.is_settled and self.own_log is not None:
            return exp(self.own_log), self.observed_s
        if self.reported_log is not None:
            return exp(self.reported_log), self.reported_s
        return None

    def machine_factor(self, now_s: float) -> float | None:
        """Return the machine's current PERCENT as a factor; None if it isn't fresh."""
        is_fresh = now_s - self.percent_reported_s < LOAD_REPORT_TTL_S
        known = self.machine_percent if is_fresh else None
        return None if known is None else known / 100.0

    def expected_s(self, now_s: float) -> float | None:
        """Return the expected time of a unit that begins now; None if unknown."""
        base_s = self.recent_s if self.is_slowed(now_s) else self.lasting_s
        return None if base_s is None else base_s * (self.machine_factor(now_s) or 1.0)

    def is_slowed(self, now_s: float) -> bool:
        """Whether the instance is slowed, by an observation that still counts."""
        is_recent = now_s - self.observed_s < _RECENT_TTL_S
        return self.state is PaceState.SLOWED and is_recent

    def is_proven(self, now_s: float) -> bool:
        """Whether the pace is observed, and no earlier slowness has to be checked."""
        if self.state is PaceState.SLOWED:
            return self.is_slowed(now_s)
        return self.is_settled

    def trust(self, now_s: float) -> float:
        """Return how far the lasting time counts in a choice, from 0 to 1.

        The trust decreases while the instance isn't observed.
        """
        half_life_s = _OWN_HALF_LIFE_S if self.is_settled else _REPORT_HALF_LIFE_S
        age_s = max(0.0, now_s - max(self.observed_s, self.known_since_s))
        return float(0.5 ** (age_s / half_life_s))

    def log_fields(self, now_s: float) -> dict[str, Any]:
        """Return what the pace is known from, for a log line."""
        is_reported = not self.is_settled and self.reported_log is not None
        known_s = self.reported_s if is_reported else self.observed_s
        return {
            "lasting_s": _rounded(self.lasting_s),
            "recent_s": _rounded(self.recent_s),
            "basis": "report" if is_reported else "own",
            "age_s": _rounded(now_s - known_s),
            "own_units": self.own_units,
            "machine_percent": self.machine_percent,
            "percent_age_s": _rounded(now_s - self.percent_reported_s),
        }

    def record_percent(self, machine_percent: int | None, now_s: float) -> None:
        """Record the PERCENT of a load report; None if the report has none."""
        self.machine_percent = machine_percent
        self.percent_reported_s = now_s
        self.has_percent = self.has_percent or machine_percent is not None

    def record_report(self, unit_s: float, observed_s: float, now_s: float) -> bool:
        """Record another entry's observation; return whether it was of use."""
        is_plausible = _MIN_UNIT_S <= unit_s <= _MAX_UNIT_S
        if self.is_settled or observed_s <= self.reported_s or not is_plausible:
            return False
        self.reported_log, self.reported_s = log(unit_s), observed_s
        self._become_known(now_s)
        return True

    def record_unit(self, unit_s: float, now_s: float) -> None:
        """Record the time of one unit that has just ended."""
        if not _MIN_UNIT_S <= unit_s <= _MAX_UNIT_S:
            return
        factor = self.machine_factor(now_s)
        work_log = log(unit_s) - log(factor or 1.0)
        is_doubted = factor is None and self.has_percent
        lasting_log = self._lasting_log
        is_gap = now_s - self.observed_s > _RECENT_TTL_S
        self.observed_s = now_s
        if lasting_log is None:
            self.own_log = self.recent_log = work_log
            self.own_units = 1
            self._become_known(now_s)
            return
        self._record_slow_run(work_log - lasting_log, is_doubted, now_s)
        if is_doubted and self.is_settled and self._may_be_machine(now_s):
            return
        excess = min(work_log - lasting_log, _MAX_EXCESS)
        self._record_recent(lasting_log + excess, is_gap)
        if self.state is not PaceState.SLOWED or not self.is_settled:
            self._record_lasting(work_log)
        self._rate(log(unit_s), now_s)

    def _record_slow_run(self, excess: float, is_doubted: bool, now_s: float) -> None:
        if excess <= _SLOWED_EXCESS:
            self.slow_units = 0
            self.slow_since_s = self.unexplained_since_s = None
            return
        self.slow_units += 1
        if self.slow_since_s is None:
            self.slow_since_s = now_s
        if not is_doubted:
            self.unexplained_until_s = now_s
            if self.unexplained_since_s is None:
                self.unexplained_since_s = now_s

    def _may_be_machine(self, now_s: float) -> bool:
        """Whether the current run of slow units may be due to the machine alone."""
        return self.slow_since_s is not None and not self._is_slow_run_long(now_s)

    def _record_recent(self, work_log: float, is_gap: bool) -> None:
        if self.recent_log is None or is_gap:
            self.recent_log = work_log
        else:
            self.recent_log += _RECENT_WEIGHT * (work_log - self.recent_log)

    def _record_lasting(self, work_log: float) -> None:
        if self.own_log is None:
            self.own_log, self.own_units = work_log, 1
            return
        difference = work_log - self.own_log
        gate = max(_SLOWED_EXCESS, _MIN_DEVIATIONS * sqrt(self.variance))
        if self.own_units >= _GATED_UNITS and abs(difference) > gate:
            return
        self.own_units += 1
        weight = max(_LASTING_WEIGHT, 1.0 / self.own_units)
        self.own_log += weight * difference
        spread_weight = max(_LASTING_WEIGHT, 1.0 / (self.own_units + _ASSUMED_UNITS))
        self.variance += spread_weight * (difference * difference - self.variance)

    def _excess_limit(self) -> float:
        """Return the excess that isn't explained by the spread of the units."""
        recent_share = _RECENT_WEIGHT / (2.0 - _RECENT_WEIGHT)
        lasting_share = 1.0 / max(self.own_units, SETTLED_UNITS)
        error = sqrt(self.variance * (recent_share + lasting_share))
        return max(_SLOWED_EXCESS, _MIN_DEVIATIONS * error)

    def _rate(self, unit_log: float, now_s: float) -> None:
        """Compare the recent time with the lasting time.

        ``unit_log`` is the time of the last unit with the machine's part: a PERCENT
        alone is no sign that the lasting time is too long, since it may be outdated.
        """
        lasting_log, recent_log = self._lasting_log, self.recent_log
        if not self.is_settled or lasting_log is None or recent_log is None:
            return
        excess, limit = recent_log - lasting_log, self._excess_limit()
        if self.state is PaceState.SLOWED:
            self.slowed_units += 1
            if excess < _USUAL_EXCESS:
                self._enter(PaceState.USUAL)
            elif self._is_slowed_for_good(now_s):
                self._restart_lasting(recent_log)
                self._enter(PaceState.USUAL)
        elif excess > limit and self._is_slow_run_long(now_s):
            self.slowed_units, self.slowed_since_s = 0, now_s
            self._enter(PaceState.SLOWED)
        is_fast = max(excess, unit_log - lasting_log) < -limit
        self._record_fast_run(is_fast, now_s)

    def _is_slow_run_long(self, now_s: float) -> bool:
        if self.slow_since_s is None or self.slow_units < _MIN_SLOW_UNITS:
            return False
        since_s = self.unexplained_since_s
        unexplained_s = 0.0 if since_s is None else self.unexplained_until_s - since_s
        slow_s = now_s - self.slow_since_s
        return unexplained_s >= _MIN_SLOW_S or slow_s >= _MACHINE_DOUBT_S

    def _is_slowed_for_good(self, now_s: float) -> bool:
        is_long = now_s - self.slowed_since_s >= _SLOWED_FOR_GOOD_S
        return is_long and self.slowed_units >= _SLOWED_FOR_GOOD_UNITS

    def _record_fast_run(self, is_fast: bool, now_s: float) -> None:
        if not is_fast:
            self.fast_units, self.fast_since_s = 0, None
            return
        self.fast_units += 1
        if self.fast_since_s is None:
            self.fast_since_s = now_s
        is_long = now_s - self.fast_since_s >= _MIN_FAST_S
        recent_log = self.recent_log
        if is_long and self.fast_units >= _MIN_FAST_UNITS and recent_log is not None:
            self._restart_lasting(recent_log)
            self.fast_units, self.fast_since_s = 0, None

    def _restart_lasting(self, work_log: float) -> None:
        """Measure the lasting time anew, from the recent time on."""
        self.own_log = work_log
        self.own_units = SETTLED_UNITS

    def _become_known(self, now_s: float) -> None:
        if self.state is PaceState.UNKNOWN:
            self.known_since_s = now_s
            self._enter(PaceState.USUAL)

    def _enter(self, state: PaceState) -> None:
        if state is not self.state:
            self.state = state
            self.on_change(state)
