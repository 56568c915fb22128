"""Which agent an entry sends a call to.

The entry prefers the least loaded of two random candidates, counts its own
dispatches, and ejects an agent that fails or is slow beside its peers: slow but
alive is worse than dead, since nobody else notices. Never more than a part of
the agents is ejected.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Sequence
from statistics import median
from typing import Final

import attrs

#: Answers that are remembered for each agent.
_WINDOW: Final = 32
#: Answers that an agent needs before it can be called slow.
_MIN_ANSWERS: Final = 8


@attrs.frozen
class ChooserSettings:
    """Limits of ejection."""

    # Failures in a row after which an agent is ejected.
    failures_in_row: int = 3
    # An agent is slow when its median is so many times that of its peers...
    slow_factor: float = 3.0
    # ...and so much above it.
    slow_margin_s: float = 0.05
    # Time of the first ejection; doubles with each that follows.
    eject_s: float = 2.0
    # Longest ejection.
    max_eject_s: float = 30.0
    # Largest part of the agents that may be ejected at once.
    max_ejected_part: float = 0.34


@attrs.frozen
class Candidate:
    """An agent that fronts the upstream."""

    # Node id.
    agent: str
    # Failure domain.
    domain: str


@attrs.define
class _AgentRecord:
    # Calls that this entry has there.
    outstanding: int = 0
    # Failures since the last answer.
    failures: int = 0
    # Times of the last answers.
    answer_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=_WINDOW))
    # End of the ejection.
    ejected_until_s: float = 0.0
    # How many ejections followed each other.
    ejections: int = 0


class CallChooser:
    """The entry's memory of one upstream's agents."""

    def __init__(self, settings: ChooserSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._records: dict[str, _AgentRecord] = {}

    def _record(self, agent: str) -> _AgentRecord:
        return self._records.setdefault(agent, _AgentRecord())

    def choose(
        self,
        candidates: Sequence[Candidate],
        own_domain: str,
        tried: Iterable[str],
        now_s: float,
    ) -> str | None:
        """Return the agent for the next try, or None when all were tried."""
        passed = set(tried)
        fresh = [item for item in candidates if item.agent not in passed]
        if not fresh:
            return None
        open_ones = [item for item in fresh if not self._is_ejected(item.agent, now_s)]
        pair = self._sample(open_ones or fresh)
        best = min(pair, key=lambda item: self._rank(item, own_domain))
        return best.agent

    def _sample(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        return self._rng.sample(candidates, min(2, len(candidates)))

    def _rank(self, candidate: Candidate, own_domain: str) -> tuple[int, bool]:
        record = self._record(candidate.agent)
        return record.outstanding, candidate.domain != own_domain

    def _is_ejected(self, agent: str, now_s: float) -> bool:
        return self._record(agent).ejected_until_s > now_s

    def ejected(self, now_s: float) -> tuple[str, ...]:
        """Return the agents that are ejected now."""
        return tuple(name for name in self._records if self._is_ejected(name, now_s))

    def sent(self, agent: str) -> None:
        """Count a call that goes out."""
        self._record(agent).outstanding += 1

    def answered(self, agent: str, answer_s: float, now_s: float) -> None:
        """Count an answer, and eject the agent if it has become slow."""
        record = self._record(agent)
        record.outstanding -= 1
        record.failures = 0
        record.answer_s.append(answer_s)
        if self._is_slow(agent):
            record.answer_s.clear()
            self._eject(agent, now_s)
        elif len(record.answer_s) == _WINDOW:
            record.ejections = 0

    def failed(self, agent: str, now_s: float) -> None:
        """Count a failure, and eject the agent after several in a row."""
        record = self._record(agent)
        record.outstanding -= 1
        record.failures += 1
        if record.failures >= self._settings.failures_in_row:
            record.failures = 0
            self._eject(agent, now_s)

    def _is_slow(self, agent: str) -> bool:
        own = self._record(agent).answer_s
        others = [
            median(record.answer_s)
            for name, record in self._records.items()
            if name != agent and len(record.answer_s) >= _MIN_ANSWERS
        ]
        if len(own) < _MIN_ANSWERS or not others:
            return False
        usual_s = median(others)
        limit_s = max(
            self._settings.slow_factor * usual_s, usual_s + self._settings.slow_margin_s
        )
        return median(own) > limit_s

    def _eject(self, agent: str, now_s: float) -> None:
        allowed = int(self._settings.max_ejected_part * len(self._records))
        if len(self.ejected(now_s)) >= allowed:
            return
        record = self._record(agent)
        wait_s = self._settings.eject_s * 2.0**record.ejections
        record.ejections = min(record.ejections + 1, 10)
        record.ejected_until_s = now_s + min(wait_s, self._settings.max_eject_s)
