"""Load, failures and pace of one instance as an entry knows them.

Expected load: a few lookups per second beside bursts of about sixty samples that
several nodes send at once, on instances that turn slow, silent or faulty without
warning. A node knows its own requests immediately, and those of other nodes from the
latest load report of the instance.
"""

from __future__ import annotations

from typing import Final

import attrs

from ._instance_pace import LOAD_REPORT_TTL_S, InstancePace, PaceState
from ._instance_refusals import InstanceRefusal

#: Time for which another job owner's report of its running samples counts.
_OWNER_REPORT_TTL_S: Final = 0.6
#: First cooldown of an instance that failed. An instance that only dropped one answer
#: is available again before the next burst.
_FIRST_COOLDOWN_S: Final = 0.25
#: Longest cooldown. A dead instance leaves the list of instances within three
#: heartbeats.
_MAX_COOLDOWN_S: Final = 3.0
#: First pause of an instance that refused: about the time until one of its slots is
#: free.
_FIRST_REFUSAL_PAUSE_S: Final = 0.06
#: Longest pause of an instance that refused. The end of a load of weights has to be
#: noticed soon.
_MAX_REFUSAL_PAUSE_S: Final = 0.25
#: Weight of the newest gap in an instance's mean gap.
_PACE_WEIGHT: Final = 0.2
#: Ratio to the mean gap from which a gap is a stall (new weights, a preemption) and
#: doesn't count in the mean.
_STALL_FACTOR: Final = 12.0
#: Time for which a mean gap counts.
_PACE_TTL_S: Final = 6.0


def _refusal_pause_s(earlier: int) -> float:
    """Return the pause after a refusal that follows ``earlier`` other refusals."""
    return float(min(_MAX_REFUSAL_PAUSE_S, _FIRST_REFUSAL_PAUSE_S * 2.0**earlier))


@attrs.define
class InstanceRecord:
    """Load, failures and speed of one instance as this node knows them."""

    # Failure domain.
    domain: str
    # Requests that the instance runs at once.
    slots: int
    # In-flight requests of this node at the instance.
    outstanding: int = 0
    # Running samples of other job owners and the monotonic time of their report, by
    # owner.
    owner_reports: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    # In-flight requests of other nodes, by the instance's last load report.
    reported_others: int = 0
    # Monotonic time of that report.
    load_reported_s: float = float("-inf")
    # Failures since the last good answer.
    failures: int = 0
    # Refusals since the last good answer.
    refusals: int = 0
    # Monotonic time until which the instance is in a cooldown.
    cooldown_until_s: float = float("-inf")
    # Mean time between two events of a stream, in seconds; None before any.
    mean_gap_s: float | None = None
    # Monotonic time of the last measured gap.
    gap_measured_s: float = float("-inf")
    # Newest weight version seen at the instance, by model.
    versions: dict[str, int] = attrs.field(factory=dict)
    # Monotonic time until which the instance is expected to load weights, by model.
    loading_until_s: dict[str, float] = attrs.field(factory=dict)
    # Refusals of a model's requests while the instance loads its weights, since the
    # last good answer, by model.
    load_refusals: dict[str, int] = attrs.field(factory=dict)
    # Lasting and recent time of a unit of work, and the machine's PERCENT.
    pace: InstancePace = attrs.field(factory=InstancePace)
    # Whether cooldowns apply to the instance.
    has_cooldowns: bool = True
    # Whether the instance has answered since its listing, so that the listed address is
    # right.
    has_answered: bool = True

    def load(self, now_s: float) -> int:
        """Return the in-flight requests at the instance that this node knows of."""
        is_report_valid = now_s - self.load_reported_s < LOAD_REPORT_TTL_S
        told = sum(
            count
            for count, reported_s in self.owner_reports.values()
            if now_s - reported_s < _OWNER_REPORT_TTL_S
        )
        return self.outstanding + max(
            self.reported_others if is_report_valid else 0, told
        )

    def others_load(self, now_s: float) -> int | None:
        """Return the in-flight requests of other nodes; None without recent reports."""
        is_reported = now_s - self.load_reported_s < LOAD_REPORT_TTL_S
        others = self.load(now_s) - self.outstanding
        return others if is_reported or others > 0 else None

    def free_slots(self, now_s: float) -> int:
        """Return the free slots that this node knows of."""
        return self.slots - self.load(now_s)

    def sample_capacity(self, now_s: float) -> int:
        """Return the number of samples that may be sent to the instance now.

        An instance that hasn't answered yet gets a single sample: the list may be out
        of date, with all its instances replaced since. So does one that was slowed when
        it was last observed, some time ago: its samples may all have to leave again.
        """
        free = self.free_slots(now_s)
        was_slowed = self.pace.state is PaceState.SLOWED and not self.is_slowed(now_s)
        is_proven = self.has_answered and not was_slowed
        return free if is_proven else min(free, 1 - self.outstanding)

    def is_in_cooldown(self, now_s: float) -> bool:
        """Whether the instance is in a cooldown after a failure or a refusal."""
        return self.has_cooldowns and now_s < self.cooldown_until_s

    def record_load_report(
        self,
        running: int,
        waiting: int,
        now_s: float,
        machine_percent: int | None = None,
    ) -> None:
        """Record the instance's load report."""
        self.pace.record_percent(machine_percent, now_s)
        self.reported_others = max(0, running + waiting - self.outstanding)
        self.load_reported_s = now_s

    def record_refusal(
        self, kind: InstanceRefusal, now_s: float, model: str | None = None
    ) -> None:
        """Record a refusal; a refusal for a load of weights affects only that model."""
        if kind is InstanceRefusal.LOADING and model is not None:
            earlier = self.load_refusals.get(model, 0)
            self.load_refusals[model] = earlier + 1
            self.loading_until_s[model] = now_s + _refusal_pause_s(earlier)
            return
        pause_s = _refusal_pause_s(self.refusals)
        self.refusals += 1
        self.cooldown_until_s = max(self.cooldown_until_s, now_s + pause_s)

    def record_sent(self, model: str, now_s: float) -> None:
        """Record that a request of a model is sent to the instance.

        If the model's last request was refused because of a load of weights, other
        requests of the model wait for the answer to this request.
        """
        if self.load_refusals.get(model):
            self.loading_until_s[model] = now_s + _MAX_REFUSAL_PAUSE_S

    def is_loading(self, model: str, now_s: float) -> bool:
        """Whether requests of a model wait, since the instance loads its weights."""
        return now_s < self.loading_until_s.get(model, now_s)

    def record_answer(self, model: str | None = None) -> None:
        """Record a good answer, and end the cooldown.

        ``model`` is the model of the request; None if the request has no model.
        """
        self.has_answered = True
        self.failures = 0
        self.refusals = 0
        self.cooldown_until_s = float("-inf")
        if model is not None:
            self.record_model_loaded(model)

    def record_model_loaded(self, model: str) -> None:
        """Record that the instance runs a request of a model."""
        self.load_refusals.pop(model, None)
        self.loading_until_s.pop(model, None)

    def record_failure(self, now_s: float) -> None:
        """Record a failure; each further failure doubles the cooldown."""
        cooldown_s = min(_MAX_COOLDOWN_S, _FIRST_COOLDOWN_S * 2.0**self.failures)
        self.failures += 1
        self.cooldown_until_s = max(self.cooldown_until_s, now_s + cooldown_s)

    def record_event_gap(self, gap_s: float, now_s: float) -> None:
        """Record the time between two events of one stream."""
        self.pace.record_unit(gap_s, now_s)
        known_s = self.mean_gap_s
        is_old = now_s - self.gap_measured_s > _PACE_TTL_S
        self.gap_measured_s = now_s
        if known_s is None or is_old:
            self.mean_gap_s = gap_s
        elif gap_s < known_s * _STALL_FACTOR:
            self.mean_gap_s = known_s + _PACE_WEIGHT * (gap_s - known_s)

    def record_unit(self, unit_s: float, now_s: float) -> None:
        """Record the time of a unit of a caller's request."""
        self.pace.record_unit(unit_s, now_s)

    def recent_gap_s(self, now_s: float) -> float | None:
        """Return the mean gap in seconds; None if no recent gap is known."""
        return self.mean_gap_s if now_s - self.gap_measured_s < _PACE_TTL_S else None

    def lasting_gap_s(self) -> float | None:
        """Return the lasting time of one unit in seconds; None if it is unknown."""
        return self.pace.lasting_s

    def expected_gap_s(self, now_s: float) -> float | None:
        """Return the expected time of one unit that begins now; None if unknown."""
        return self.pace.expected_s(now_s)

    def is_slowed(self, now_s: float) -> bool:
        """Whether the instance is much slower now than its own lasting pace."""
        return self.pace.is_slowed(now_s)
