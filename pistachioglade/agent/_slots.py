"""Which instance runs the next request, within its slots.

Rollouts leave ``reserved`` slots of each instance free, so that a call finds
one at once; calls may use every slot that rollouts don't.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..config import EngineSettings


@attrs.define
class _Usage:
    # Requests that the instance takes at once.
    limit: int
    # Calls that run there.
    calls: int = 0
    # Rollouts that run there.
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

    def take_call(self, usable: Iterable[str]) -> str | None:
        """Occupy a slot for a call and return its instance."""
        name = self._freest(usable)
        if name is not None:
            self._usage[name].calls += 1
        return name

    def take_rollout(self, usable: Iterable[str]) -> str | None:
        """Occupy a slot for a rollout and return its instance."""
        room = [name for name in usable if self._has_rollout_room(self._usage[name])]
        name = self._freest(room)
        if name is not None:
            self._usage[name].rollouts += 1
        return name

    def _has_rollout_room(self, usage: _Usage) -> bool:
        return usage.rollouts < max(1, usage.limit - self.reserved)

    def _freest(self, names: Iterable[str]) -> str | None:
        free = [name for name in names if self._usage[name].free > 0]
        if not free:
            return None
        return max(free, key=lambda name: (self._usage[name].free, name))

    def release_call(self, name: str) -> None:
        """Give a call's slot back."""
        self._usage[name].calls -= 1

    def release_rollout(self, name: str) -> None:
        """Give a rollout's slot back."""
        self._usage[name].rollouts -= 1
