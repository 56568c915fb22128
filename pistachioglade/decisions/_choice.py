"""Chooses the agent that an entry sends a call to.

The entry prefers the less loaded of two random candidates, counts its own
dispatches, and ejects an agent that fails or that is slow compared with its peers.
A slow agent harms more than a dead agent, since nothing else detects it. Only a
fraction of the agents may be ejected at once.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Sequence
from statistics import median
from typing import Final

import attrs

#: Number of answer times kept for each agent.
_WINDOW: Final = 32
#: Number of answer times from which an agent is compared with its peers.
_MIN_ANSWERS: Final = 8


@attrs.frozen
class ChooserSettings:
    """Limits of ejection."""

    # Consecutive failures after which an agent is ejected.
    failures_in_row: int = 3
    # Ratio of an agent's median answer time to that of its peers above which the agent
    # is slow, if the margin below is exceeded too.
    slow_factor: float = 3.0
    # Difference between the two medians above which an agent is slow, in seconds.
    slow_margin_s: float = 0.05
    # Duration of the first ejection in seconds; each further ejection takes twice as
    # long.
    eject_s: float = 2.0
    # Longest ejection in seconds.
    max_eject_s: float = 30.0
    # Largest fraction of the agents that may be ejected at once.
    max_ejected_fraction: float = 0.34


@attrs.frozen
class Candidate:
    """An agent that fronts the upstream."""

    # Node id.
    agent: str
    # Failure domain.
    domain: str


@attrs.define
class _AgentRecord:
    # In-flight calls of this entry at the agent.
    outstanding: int = 0
    # Failures since the last answer.
    failures: int = 0
    # Durations of the last calls that were answered, in seconds.
    answer_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=_WINDOW))
    # Monotonic time at which the ejection ends.
    ejected_until_s: float = 0.0
    # Ejections since the agent's last full window of answers.
    ejections: int = 0


class CallChooser:
    """Chooses among the agents of one upstream by the entry's own calls."""

    def __init__(self, settings: ChooserSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._records: dict[str, _AgentRecord] = {}

    def _record_of(self, agent: str) -> _AgentRecord:
        return self._records.setdefault(agent, _AgentRecord())

    def choose(
        self,
        candidates: Sequence[Candidate],
        own_domain: str,
        tried: Iterable[str],
        now_s: float,
    ) -> str | None:
        """Return the agent for the next try, or None if all were tried."""
        excluded = set(tried)
        untried = [item for item in candidates if item.agent not in excluded]
        if not untried:
            return None
        usable = [item for item in untried if not self._is_ejected(item.agent, now_s)]
        pair = self._sample(usable or untried)
        best = min(pair, key=lambda item: self._rank(item, own_domain))
        return best.agent

    def _sample(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        return self._rng.sample(candidates, min(2, len(candidates)))

    def _rank(self, candidate: Candidate, own_domain: str) -> tuple[int, bool]:
        record = self._record_of(candidate.agent)
        return record.outstanding, candidate.domain != own_domain

    def _is_ejected(self, agent: str, now_s: float) -> bool:
        return self._record_of(agent).ejected_until_s > now_s

    def ejected_agents(self, now_s: float) -> tuple[str, ...]:
        """Return the agents that are ejected at ``now_s``."""
        return tuple(name for name in self._records if self._is_ejected(name, now_s))

    def record_sent(self, agent: str) -> None:
        """Record that a call is sent to an agent."""
        self._record_of(agent).outstanding += 1

    def record_answer(self, agent: str, answer_s: float, now_s: float) -> None:
        """Record an answer, and eject the agent if it has become slow."""
        record = self._record_of(agent)
        record.outstanding -= 1
        record.failures = 0
        record.answer_s.append(answer_s)
        if self._is_slow(agent):
            record.answer_s.clear()
            self._eject(agent, now_s)
        elif len(record.answer_s) == _WINDOW:
            record.ejections = 0

    def record_failure(self, agent: str, now_s: float) -> None:
        """Record a failure, and eject the agent after several in a row."""
        record = self._record_of(agent)
        record.outstanding -= 1
        record.failures += 1
        if record.failures >= self._settings.failures_in_row:
            record.failures = 0
            self._eject(agent, now_s)

    def _is_slow(self, agent: str) -> bool:
        own = self._record_of(agent).answer_s
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
        allowed = int(self._settings.max_ejected_fraction * len(self._records))
        if len(self.ejected_agents(now_s)) >= allowed:
            return
        record = self._record_of(agent)
        wait_s = self._settings.eject_s * 2.0**record.ejections
        record.ejections = min(record.ejections + 1, 10)
        record.ejected_until_s = now_s + min(wait_s, self._settings.max_eject_s)
