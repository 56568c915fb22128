"""Chooses the instance that runs the next request, within its slots.

Rollouts leave ``reserved`` slots of each instance free, so that a call gets a
slot at once; calls may use every slot that no rollout occupies.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..config import EngineSettings


@attrs.define
class _Usage:
    # Requests that the instance runs at the same time.
    limit: int
    # Calls that run on the instance.
    calls: int = 0
    # Rollouts that run on the instance.
    rollouts: int = 0

    @property
    def free(self) -> int:
        return self.limit - self.calls - self.rollouts


class SlotTable:
    """The slots of an agent's instances."""

    def __init__(self, instances: Iterable[EngineSettings]) -> None:
        self._usage = {item.name: _Usage(item.slots) for item in instances}
        self.reserved = 0

    def rollout_slots(self) -> int:
        """Return how many rollouts may run at the same time."""
        return sum(
            max(1, usage.limit - self.reserved) for usage in self._usage.values()
        )

    def running(self) -> tuple[int, int]:
        """Return how many calls and rollouts run."""
        calls = sum(usage.calls for usage in self._usage.values())
        rollouts = sum(usage.rollouts for usage in self._usage.values())
        return calls, rollouts

    def occupy_call_slot(self, usable: Iterable[str]) -> str | None:
        """Occupy a slot for a call and return its instance."""
        name = self._choose_freest(usable)
        if name is not None:
            self._usage[name].calls += 1
        return name

    def occupy_rollout_slot(self, usable: Iterable[str]) -> str | None:
        """Occupy a slot for a rollout and return its instance."""
        candidates = [
            name for name in usable if self._has_free_rollout_slot(self._usage[name])
        ]
        name = self._choose_freest(candidates)
        if name is not None:
            self._usage[name].rollouts += 1
        return name

    def _has_free_rollout_slot(self, usage: _Usage) -> bool:
        return usage.rollouts < max(1, usage.limit - self.reserved)

    def _choose_freest(self, names: Iterable[str]) -> str | None:
        free = [name for name in names if self._usage[name].free > 0]
        if not free:
            return None
        return max(free, key=lambda name: (self._usage[name].free, name))

    def release_call(self, name: str) -> None:
        """Free the slot of a call on an instance."""
        self._usage[name].calls -= 1

    def release_rollout(self, name: str) -> None:
        """Free the slot of a rollout on an instance."""
        self._usage[name].rollouts -= 1
