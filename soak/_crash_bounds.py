"""Bound of the instances that one request crashes during an outage of the store."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from itertools import chain
from typing import Final

import attrs

#: Grace period after the third crash, and after a disturbance of an entry or the store,
#: in which attempts aren't counted, in seconds.
GRACE_S: Final = 3.0
#: Number of crashes after which a request must be quarantined.
QUARANTINE_CRASHES: Final = 3
#: Maximum number of attempts that may reach instances after the grace period.
MAX_LATE_ATTEMPTS: Final = 3


@attrs.define
class Interruption:
    """A time in which an entry or an instance's relay can lose crash reports."""

    # Name of the entry, or id of the instance.
    name: str
    # Begin, in seconds of the monotonic clock.
    begun_s: float
    # End, in seconds of the monotonic clock; infinite until it is known.
    ended_s: float = math.inf


@attrs.frozen
class CrashRun:
    """A run of a request that crashed its instance."""

    # Name of the entry that sent the request to the instance.
    entry: str
    # Id of the instance.
    instance: str
    # Time at which the caller sent the attempt, in seconds of the monotonic clock.
    sent_s: float
    # Time at which the run began, in seconds of the monotonic clock.
    begun_s: float
    # Time of the crash, in seconds of the monotonic clock.
    crashed_s: float


@attrs.frozen
class OutageJudge:
    """Decides which runs of one request are beyond the rule during an outage.

    The rule: a request that has crashed three instances is quarantined. When its third
    crash is known, each further entry may have at most one run of it that was already
    in progress or admitted concurrently, and at most three attempts reach instances
    later than the grace period.

    The bound holds since the caller sends its attempts one after the other, each after
    an answer and a pause, in which the reports over the links arrive; links need no
    store. An entry that lacks one crash, because it was written to the store right
    before the outage, knows of three with its one further run.

    A run counts only if the store was away, and if its entry could receive reports from
    the grace period before the first attempt on. A crash counts as known only if its
    entry could also report it until the run began. An entry that is killed, stopped,
    frozen or started within that time is excluded; one that only lost the store isn't.
    """

    # Runs of the request.
    runs: Sequence[CrashRun]
    # Time of the request's first attempt, in seconds of the monotonic clock.
    first_sent_s: float
    # Begins and ends of outages of the store, in seconds of the monotonic clock.
    outages: Sequence[tuple[float, float]]
    # Interruptions of entries and of instances' relays.
    interruptions: Sequence[Interruption]

    def extra_runs(self, after_s: float = 0.0) -> list[CrashRun]:
        """Return the counted runs that began some time after the third known crash."""
        return [
            run
            for run in self.runs
            if self._is_counted(run, run.begun_s)
            and self.is_store_away(run.begun_s)
            and self.count_known(run.begun_s, after_s) >= QUARANTINE_CRASHES
        ]

    def count_known(self, at_s: float, for_s: float = 0.0) -> int:
        """Return how many crashes entries had known for some time at a given time."""
        return sum(
            run.crashed_s < at_s - for_s and self._is_counted(run, at_s)
            for run in self.runs
        )

    def is_store_away(self, at_s: float) -> bool:
        """Whether the store was down or silent at a time."""
        return any(begun_s <= at_s <= ended_s for begun_s, ended_s in self.outages)

    def is_connected(self, entry: str, until_s: float) -> bool:
        """Whether an entry has run, connected to its peers, up to a time."""
        return not self._is_interrupted(entry, self.first_sent_s - GRACE_S, until_s)

    def _is_counted(self, run: CrashRun, until_s: float) -> bool:
        # A disturbed relay can hold a request up until its entry has given it up.
        return self.is_connected(run.entry, until_s) and not self._is_interrupted(
            run.instance, run.sent_s, run.crashed_s
        )

    def _is_interrupted(self, name: str, since_s: float, until_s: float) -> bool:
        return any(
            item.name == name and item.begun_s <= until_s and item.ended_s >= since_s
            for item in self.interruptions
        )

    def find_violations(self, entries: int) -> Iterator[str]:
        """Yield a description of each limit that the runs of the request exceed."""
        extra = self.extra_runs()
        for entry, runs in Counter(run.entry for run in extra).items():
            if runs > 1:
                yield f"{runs} runs at {entry} after the third known crash"
        if len(extra) > entries - 1:
            yield f"{len(extra)} runs at {entries} entries after the third known crash"
        late = self.extra_runs(GRACE_S)
        if len(late) > MAX_LATE_ATTEMPTS:
            yield f"{len(late)} runs later than {GRACE_S:g} s"

    def describe(self) -> str:
        """Return the time line of the request, in seconds from its first attempt."""
        runs = (
            (run.begun_s, f"{run.entry} crashed {run.instance}") for run in self.runs
        )
        outages = ((*outage, "store away") for outage in self.outages)
        interruptions = (
            (item.begun_s, item.ended_s, f"{item.name} interrupted")
            for item in self.interruptions
        )
        spans = _begins_and_ends(chain(outages, interruptions))
        return "; ".join(
            f"{at_s - self.first_sent_s:.3f} {what}"
            for at_s, what in sorted({*runs, *spans})
            if at_s >= self.first_sent_s - GRACE_S
        )


def _begins_and_ends(
    spans: Iterable[tuple[float, float, str]],
) -> Iterator[tuple[float, str]]:
    for begun_s, ended_s, what in spans:
        yield begun_s, what
        yield ended_s, f"{what}: end"
