"""What a trainer saves with its own checkpoint."""

from __future__ import annotations

import json

import attrs

from ..messages import Receipt, structure, unstructure


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
class TrainerCheckpoint:
    """All of a client's state."""

    # Newest version that was published.
    newest_version: int = 0
    # Open steps.
    steps: tuple[StepCheckpoint, ...] = ()

    def to_json(self) -> str:
        """Return the text to save."""
        return json.dumps(unstructure(self))

    @classmethod
    def from_json(cls, text: str) -> TrainerCheckpoint:
        """Return the checkpoint that was saved as ``text``."""
        return structure(json.loads(text), cls)
