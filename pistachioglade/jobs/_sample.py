"""An item of a job that has no result yet."""

from __future__ import annotations

import attrs

from ..decisions import remaining_tokens
from ..fleet import Item, Result
from ._sample_try import SampleText, SampleTry


@attrs.define(eq=False)
class Sample:
    """An item without a result, and the state of its tries."""

    # The item.
    item: Item
    # Text generated so far.
    text: SampleText = attrs.field(factory=SampleText)
    # Number of tries that the engine answered with 500.
    failures: int = 0
    # Consecutive tries whose engine connection was lost before any event.
    crashes: int = 0
    # Monotonic time before which the sample is not started again, in seconds.
    not_before_s: float = 0.0
    # Engine of the last try, unless that try completed the text.
    last_instance: str | None = None
    # Start of the run of each engine that the sample has moved away from, in
    # milliseconds since the epoch, by instance.
    left_runs: dict[str, int] = attrs.field(factory=dict)
    # The try in progress; None while there is none.
    running: SampleTry | None = None
    # Engine of the try in progress; set from the choice of the engine on.
    running_at: str | None = None
    # Monotonic time since which the sample waits for a slot at a faster engine, in
    # seconds; None if it does not.
    waiting_since_s: float | None = None
    # Whether the sample waits for an engine.
    is_waiting: bool = True

    def remaining_tokens(self, event_tokens: int) -> int:
        """Return the tokens that the text is still expected to take."""
        if not self.is_waiting and self.running_at is None:
            # The text is complete and is being scored.
            return 0
        done = len(self.text.parts) * event_tokens
        return remaining_tokens(self.item.expected_tokens, done, self.item.most_tokens)

    @property
    def is_begun(self) -> bool:
        """Whether the sample runs, has a text or is being scored."""
        return not self.is_waiting or self.text.last_event is not None

    def result(self, score: str) -> Result:
        """Return the result of the complete text with its score."""
        versions = tuple(sorted(self.text.versions))
        return Result(self.item.id, True, self.text.joined, versions, score)
