"""The duties of one entry towards the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ..errors import ErrorKind, Refusal, refuse
from ..messages import AskDuty, DutyAnswer
from ._entry_messages import EntryMessages
from ._scaling_duty import ScalingDuty
from ._usage_duty import UsageDuty


class Duties:
    """Starts and stops the duties, and answers entries that ask for a holder."""

    def __init__(self, usage: UsageDuty, scaling: ScalingDuty) -> None:
        self._parts = (usage, scaling)

    def _answer(self, message: AskDuty) -> DutyAnswer | Refusal:
        duties = (part.duty for part in self._parts)
        for duty in duties:
            if duty is not None and duty.name == message.duty:
                return duty.answer()
        return refuse(ErrorKind.NOT_FOUND, f"no duty {message.duty:.40}")

    @property
    def held_count(self) -> int:
        """Number of duties whose lease this entry holds."""
        duties = (part.duty for part in self._parts)
        return sum(duty is not None and duty.is_holder for duty in duties)

    def register_messages(self, messages: EntryMessages) -> None:
        """Register the answers to the messages about duties."""
        messages.register(AskDuty, self._answer)
        for part in self._parts:
            part.register_messages(messages)

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks by name."""
        usage, scaling = self._parts
        return usage.tasks() | scaling.tasks()

    async def stop(self) -> None:
        """Leave all duties to other entries, before a planned stop."""
        await asyncio.gather(*(part.stop() for part in self._parts))
