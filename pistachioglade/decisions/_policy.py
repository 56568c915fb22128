"""Names the mechanisms of the serving programs that an experiment can leave out.

All mechanisms are in use by default. Each can be left out on its own, so that its
effect can be measured on any deployment: the environment variable
``PISTACHIOGLADE_WITHOUT`` lists the names, separated by commas. docs/ACCOUNT.md states
the measured effects.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse

#: Environment variable that lists the mechanisms to leave out.
WITHOUT_VARIABLE: Final = "PISTACHIOGLADE_WITHOUT"


class Mechanism(Enum):
    """A mechanism that can be left out, and what happens without the mechanism."""

    # Texts of running samples are saved. Without: samples of a dead entry start again.
    SAVED_TEXTS = "saved-texts"
    # Texts of an ended step are kept for the next step. Without: groups that are
    # submitted again start again.
    CARRIED_TEXTS = "carried-texts"
    # As few entries as have the capacity own the jobs of an upstream. Without: each job
    # runs on the entry that accepted the job.
    ONE_HOME = "one-home"
    # Samples of a job that changes its owner run until the next owner asks for them.
    # Without: the samples stop at once.
    RUNNING_ON = "running-on"
    # Jobs go to owners that reach the store. Without: to the owner given by the list of
    # entries alone.
    READY_HOMES = "ready-homes"
    # The sample with the latest possible start goes first. Without: samples of a step
    # go in the order of submission.
    LONGEST_FIRST = "longest-first"
    # While room is short, samples of the groups that a trainer waits for go first.
    # Without: all groups of a step are alike.
    TARGET_GROUPS_FIRST = "target-groups-first"
    # While room is short, trainers share the slots. Without: the steps that are due
    # first take all slots.
    TRAINER_SHARES = "trainer-shares"
    # Samples of a group go to the instances that have its prompt cached. Without: to
    # the least loaded instance.
    GROUP_HOMES = "group-homes"
    # Long samples go to fast instances. Without: to the least loaded instance.
    FAST_FOR_LONG = "fast-for-long"
    # Samples move away from slow instances. Without: samples end where they began.
    MOVING = "moving"
    # Samples go where they are expected to end soonest, by learned lengths, lasting
    # paces and memory. Without: by the caller's estimate and recent paces.
    EXPECTED_ENDS = "expected-ends"
    # Samples leave an engine that is in order only if they would end late there.
    # Without: samples leave each engine that is slower than the others.
    MOVE_BY_GAIN = "move-by-gain"
    # Instances that failed or refused get a cooldown. Without: such instances get new
    # requests at once.
    RESTS = "rests"
    # Engines skip every other weight version. Without: each engine loads each version.
    SKIPPED_VERSIONS = "skipped-versions"
    # A job owner notifies engines of weight versions. Without: engines read the store
    # every 2 s.
    TOLD_VERSIONS = "told-versions"
    # Consecutive changes are fetched with one call to the store. Without: each change
    # with a call of its own.
    GATHERED_CHANGES = "gathered-changes"
    # Watches whose delay does no harm use cheap reads, which may be stale. Without: all
    # watches are current.
    CHEAP_WATCHES = "cheap-watches"
    # Results are collected until the trainer needs them. Without: each result is
    # written at once.
    GATHERED_RESULTS = "gathered-results"
    # Retries are limited to a fraction of the first tries. Without: to the maximum
    # number of attempts of the route.
    RETRY_BUDGET = "retry-budget"
    # Any entry that reaches the store relays calls of other entries. Without: only the
    # entry before the caller in the order of names does.
    ANY_RELAY = "any-relay"
    # The jobs of an entry that falls silent get another owner at once. Without: once
    # the entry has left the list.
    WATCHED_NEIGHBOUR = "watched-neighbour"
    # A few entries watch the store for the others. Without: each entry watches.
    WATCH_RELAYS = "watch-relays"
    # Entries ask each other for a newer configuration. Without: only watches show it.
    CONFIGURATION_CHECK = "configuration-check"
    # Lookups go to the instance with the least expected response time. Without: to the
    # least loaded instance.
    CALLS_BY_PACE = "calls-by-pace"
    # Entries share the lasting paces of instances. Without: each entry knows only its
    # own observations.
    SHARED_PACES = "shared-paces"
    # Requests hold a bounded part of the process's memory. Without: as much as comes.
    MEMORY_BUDGET = "memory-budget"
    # An entry opens its fair part of an instance's connections, and more while others
    # don't need theirs. Without: one for each request without an idle connection.
    CONNECTION_LIMITS = "connection-limits"
    # Among instances that are alike one with an idle connection is chosen. Without: the
    # first by name.
    CONNECTION_REUSE = "connection-reuse"
    # Lookups and streams wait at the entry while no instance has room. Without: they
    # are sent at once.
    ADMISSION_QUEUE = "admission-queue"
    # Requests that return after a refusal start before new ones. Without: they count
    # as new.
    RETURN_ORDER = "return-order"


@attrs.frozen
class Policy:
    """The mechanisms that are in use."""

    # Mechanisms that are left out.
    without: frozenset[Mechanism] = frozenset()

    def uses(self, mechanism: Mechanism) -> bool:
        """Whether a mechanism is in use."""
        return mechanism not in self.without


#: Policy with all mechanisms in use.
FULL_POLICY: Final = Policy()


def parse_policy(text: str) -> Policy | Refusal:
    """Return the policy without the listed mechanisms.

    ``text`` is a list of names, separated by commas. An unknown name is refused.
    """
    names = [name.strip() for name in text.split(",") if name.strip()]
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    unknown = [name for name in names if name not in known]
    if unknown:
        reason = f"{WITHOUT_VARIABLE}: no mechanism {unknown[0]!r}; {', '.join(known)}"
        return refuse(ErrorKind.BAD_REQUEST, reason)
    return Policy(frozenset(known[name] for name in names))
