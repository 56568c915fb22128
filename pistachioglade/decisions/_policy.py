"""Which mechanisms the serving programs use; all of them, but for an experiment.

Each can be left out alone, so that what it is worth can be measured on any deployment:
``PISTACHIOGLADE_WITHOUT`` names them, with commas between. What they are worth stands
in docs/ACCOUNT.md.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse

#: Variable of the environment that names what is left out.
WITHOUT_VARIABLE: Final = "PISTACHIOGLADE_WITHOUT"


class Mechanism(Enum):
    """A mechanism that can be left out; without it, what follows the colon happens."""

    # Texts of running samples are saved: samples of a dead entry start anew.
    SAVED_TEXTS = "saved-texts"
    # Texts of an ended step are kept for the next: groups that come again start anew.
    CARRIED_TEXTS = "carried-texts"
    # One entry runs all jobs of an upstream: each runs where it was accepted.
    ONE_HOME = "one-home"
    # Samples of a job that passes on run until its next owner asks: they stop at once.
    RUNNING_ON = "running-on"
    # Jobs go to entries that reach the store: to whoever is home by the list.
    READY_HOMES = "ready-homes"
    # The sample with the latest start goes first: the order of submission in a step.
    LONGEST_FIRST = "longest-first"
    # A group's samples go where its prompt is: to the emptiest instance.
    GROUP_HOMES = "group-homes"
    # Long samples go to fast instances: to the emptiest ones.
    FAST_FOR_LONG = "fast-for-long"
    # Samples leave slow instances: they end where they began.
    MOVING = "moving"
    # Instances that failed or refused rest for a moment: they are asked again at once.
    RESTS = "rests"
    # Engines skip every other version: each loads each.
    SKIPPED_VERSIONS = "skipped-versions"
    # A home tells engines of versions: they read the store every 2 s.
    TOLD_VERSIONS = "told-versions"
    # Changes that follow each other come with one call: with one each.
    GATHERED_CHANGES = "gathered-changes"
    # Watches whose lateness harms nobody are cheap: all are of now.
    CHEAP_WATCHES = "cheap-watches"
    # Results gather until the trainer needs them: each is written at once.
    GATHERED_RESULTS = "gathered-results"
    # Retries are a part of first tries: as many as the route allows.
    RETRY_BUDGET = "retry-budget"
    # Any entry that reaches the store makes others' calls: the one before them does.
    ANY_RELAY = "any-relay"
    # An entry that falls silent loses its jobs at once: when it is off the list.
    WATCHED_NEIGHBOUR = "watched-neighbour"
    # A few entries watch the store for the others: each watches.
    WATCH_RELAYS = "watch-relays"


@attrs.frozen
class Policy:
    """The mechanisms that are in use."""

    # Those that are left out.
    without: frozenset[Mechanism] = frozenset()

    def uses(self, mechanism: Mechanism) -> bool:
        """Whether a mechanism is in use."""
        return mechanism not in self.without


#: All mechanisms.
FULL_POLICY: Final = Policy()


def parse_policy(text: str) -> Policy | Refusal:
    """Return the policy that a list of names leaves, or which name is unknown."""
    words = [word.strip() for word in text.split(",") if word.strip()]
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    unknown = [word for word in words if word not in known]
    if unknown:
        reason = f"{WITHOUT_VARIABLE}: no mechanism {unknown[0]!r}; {', '.join(known)}"
        return refuse(ErrorKind.BAD_REQUEST, reason)
    return Policy(frozenset(known[word] for word in words))
