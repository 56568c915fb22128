"""Shares of the engines' slots between trainers while more samples wait than fit.

Expected load: two to four trainers that submit steps of some sixty samples every few
seconds to the same engines, one of which may submit several steps at once, or samples
that are ten times as long.

Each trainer has a level: the tokens generated for it within a window of about a step's
time, and the next tokens of its running samples, divided by its weight. A trainer is
within its share while its level is at most the mean level of the trainers that compete.
Among the trainers within their shares the most urgent sample starts, so that due times
decide between trainers as long as the shares are kept.

As in virtual token counters (``FairQueue``), a trainer that was not held back is raised
to the lowest level of those that were: an idle trainer earns no credit, and tokens that
it took while there was room are no debt. ``FairQueue`` itself does not fit: it holds
the waiting samples, whereas jobs end, change owners and change their order here, and it
charges a mean per trainer, whereas these samples have estimates of their own.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Collection, Iterable, Iterator, Mapping
from math import exp
from typing import Any, Final

import attrs

from ._sample_order import PendingSample, start_key, start_order

#: Time constant with which generated tokens lose their weight, in seconds: about the
#: time from a step's submission until its results are due.
_WINDOW_S: Final = 8.0
#: Most tokens of a running sample that count before they are generated: about a usual
#: sample. Without them, all slots that become free together would go to one trainer;
#: with all tokens of long samples, their trainer would get few slots until they end.
_AHEAD_TOKENS: Final = 1000
#: Ratio of the weights of two trainers whose priorities differ by 1. Over the ten
#: priorities it gives the least urgent trainer a seventh of the most urgent one's
#: tokens, so that it is not starved on a few engines. With 1.5, a fortieth, a step of
#: six samples got no result in 12 s on three slots (soak, seed 12).
_PRIORITY_RATIO: Final = 1.25
#: Lowest priority; configured values beyond it count as this one.
_LOWEST_PRIORITY: Final = 9


def share_weight(priority: int) -> float:
    """Return the weight of a trainer's share; priority 0 has the largest."""
    return float(_PRIORITY_RATIO ** -min(max(priority, 0), _LOWEST_PRIORITY))


def ahead_tokens(remaining: int) -> int:
    """Return the tokens of a running sample that count before they are generated."""
    return min(remaining, _AHEAD_TOKENS)


@attrs.frozen
class TrainerUse:
    """What one trainer has taken since the last pass and takes now."""

    # Name of the trainer.
    trainer: str
    # Priority; 0 is the most urgent.
    priority: int
    # Tokens generated for the trainer since the last pass.
    generated_tokens: float
    # Next tokens of the trainer's running samples, by ``ahead_tokens``.
    ahead_tokens: float


class SampleShares:
    """Chooses the trainer that starts the next sample, at the engines of an upstream.

    One pass consists of ``begin_pass``, any number of ``choose`` and ``charge``, and
    ``end_pass``.
    """

    def __init__(self) -> None:
        # Weight of each trainer that has a job.
        self._weights: dict[str, float] = {}
        # Generated tokens within the window divided by the weight, by trainer.
        self._generated: dict[str, float] = {}
        # Next tokens of running samples divided by the weight, by trainer.
        self._ahead: dict[str, float] = {}
        # Trainers whose samples had to wait at the end of the last pass.
        self.held_back: frozenset[str] = frozenset()
        # Monotonic time of the last pass, in seconds.
        self._passed_s: float | None = None

    def begin_pass(self, uses: Iterable[TrainerUse], now_s: float) -> float:
        """Take in what trainers have got; return the time since the last pass."""
        age_s = 0.0 if self._passed_s is None else max(0.0, now_s - self._passed_s)
        self._passed_s = now_s
        decay = exp(-age_s / _WINDOW_S)
        known = {use.trainer: use for use in uses}
        weights = {name: share_weight(use.priority) for name, use in known.items()}
        self._weights = weights
        self._ahead = {
            name: use.ahead_tokens / weights[name] for name, use in known.items()
        }
        self._generated = self._raise_levels(
            {
                name: self._generated.get(name, 0.0) * decay
                + use.generated_tokens / weights[name]
                for name, use in known.items()
            }
        )
        return age_s

    def _raise_levels(self, generated: Mapping[str, float]) -> dict[str, float]:
        """Return the tokens without credit of trainers that were not held back."""
        competing = [
            level for trainer, level in generated.items() if trainer in self.held_back
        ]
        floor = min(competing, default=None)
        return {
            trainer: 0.0
            if floor is None
            else level
            if trainer in self.held_back
            else max(level, floor)
            for trainer, level in generated.items()
        }

    def level(self, trainer: str) -> float:
        """Return a trainer's tokens in the window and ahead, by its weight."""
        return self._generated.get(trainer, 0.0) + self._ahead.get(trainer, 0.0)

    def choose(self, urgencies: Mapping[str, Any]) -> str:
        """Return the trainer whose sample starts next.

        ``urgencies`` has the sort key of the most urgent sample of each trainer that
        has a sample waiting.
        """
        weights = {name: self._weights.get(name, 1.0) for name in urgencies}
        total = sum(self.level(name) * weight for name, weight in weights.items())
        lowest = min(self.level(name) for name in urgencies)
        # Rounding can put the mean below equal levels.
        limit = max(lowest, total / sum(weights.values()))
        within = (name for name in urgencies if self.level(name) <= limit)
        return min(within, key=lambda name: (urgencies[name], name))

    def charge(self, trainer: str, remaining: int) -> None:
        """Count a sample that starts in this pass, with its expected tokens."""
        charged = ahead_tokens(remaining) / self._weights.get(trainer, 1.0)
        self._ahead[trainer] = self._ahead.get(trainer, 0.0) + charged

    def end_pass(self, held_back: Collection[str]) -> None:
        """Take in which trainers have samples that could not start."""
        self.held_back = frozenset(held_back)

    def share_of(self, trainer: str) -> float:
        """Return a trainer's share among the trainers that are held back."""
        names = self.held_back | {trainer}
        total = sum(self._weights.get(name, 1.0) for name in names)
        return self._weights.get(trainer, 1.0) / total


def order_by_shares(
    samples: Iterable[PendingSample],
    trainers: Mapping[str, str],
    shares: SampleShares | None,
    by_length: bool = True,
    by_target: bool = True,
) -> Iterator[PendingSample]:
    """Yield the samples in the order of their start while not all of them fit.

    Samples of groups that count towards a target come first, and samples with a partial
    text come first among them and among the others. ``trainers`` names the trainer of
    each job. The caller charges a sample that starts before it asks for the next one.
    Without ``shares`` trainers are not told apart, without ``by_target`` all groups
    count.
    """
    classes: defaultdict[tuple[bool, bool], list[PendingSample]] = defaultdict(list)
    for sample in samples:
        is_extra = by_target and not sample.counts_for_target
        classes[is_extra, not sample.has_partial_text].append(sample)
    for key in sorted(classes):
        ordered = start_order(classes[key], by_length)
        if shares is None:
            yield from ordered
        else:
            yield from _divide(ordered, trainers, shares, by_length)


def _divide(
    ordered: Iterable[PendingSample],
    trainers: Mapping[str, str],
    shares: SampleShares,
    by_length: bool,
) -> Iterator[PendingSample]:
    """Yield ordered samples so that each trainer's tokens follow its share."""
    queues: defaultdict[str, deque[PendingSample]] = defaultdict(deque)
    for sample in ordered:
        queues[trainers[sample.job_id]].append(sample)
    while queues:
        chosen = shares.choose(
            {name: start_key(queue[0], by_length) for name, queue in queues.items()}
        )
        yield queues[chosen].popleft()
        if not queues[chosen]:
            del queues[chosen]
