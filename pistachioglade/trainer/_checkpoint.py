"""What a trainer saves with its own checkpoint."""

from __future__ import annotations

import json

import attrs

from ..messages import Group, Receipt, structure, unstructure


@attrs.frozen
class StepCheckpoint:
    """One open step."""

    # Number of the step.
    step: int
    # When it was first opened.
    opened_unix_s: float
    # Samples that were taken.
    receipts: tuple[Receipt, ...]


@attrs.frozen
class ClosedStepCheckpoint:
    """A step that was taken whole, and whose record is not known to be written.

    Its owner may be gone with the last receipts, and the report would lack them where
    the trainer is killed as well. The next client opens the step again, which takes its
    prompts.
    """

    # What an open step has.
    state: StepCheckpoint
    # Its prompts.
    groups: tuple[Group, ...]
    # Most tokens of a sample.
    max_tokens: int


@attrs.frozen
class TrainerCheckpoint:
    """All of a client's state."""

    # Newest version that was published.
    newest_version: int = 0
    # Open steps.
    steps: tuple[StepCheckpoint, ...] = ()
    # Closed steps whose record is not known to be written.
    unrecorded: tuple[ClosedStepCheckpoint, ...] = ()

    def to_json(self) -> str:
        """Return the text to save."""
        return json.dumps(unstructure(self))

    @classmethod
    def from_json(cls, text: str) -> TrainerCheckpoint:
        """Return the checkpoint that was saved as ``text``."""
        return structure(json.loads(text), cls)
