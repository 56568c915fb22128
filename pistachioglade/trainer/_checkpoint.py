"""The client state that a trainer saves with its own checkpoint."""

from __future__ import annotations

import json

import attrs

from ..messages import Group, Receipt, structure, unstructure


@attrs.frozen
class StepCheckpoint:
    """The state of one open step."""

    # Number of the step.
    step: int
    # Unix time at which the step was first opened, in seconds.
    opened_unix_s: float
    # Receipts of the samples that were taken.
    receipts: tuple[Receipt, ...]


@attrs.frozen
class ClosedStepCheckpoint:
    """A complete step whose record is not confirmed.

    The owner may be lost together with the last receipts; if the trainer is killed as
    well, the report would lack those receipts. So the next client opens the step again,
    which needs the prompts.
    """

    # State that an open step has as well.
    state: StepCheckpoint
    # Prompts of the step.
    groups: tuple[Group, ...]
    # Maximum number of tokens of a sample.
    max_tokens: int


@attrs.frozen
class TrainerCheckpoint:
    """The state of a trainer's client."""

    # Newest published version; 0 if there is none.
    newest_version: int = 0
    # Open steps.
    steps: tuple[StepCheckpoint, ...] = ()
    # Closed steps whose record is not confirmed.
    unrecorded: tuple[ClosedStepCheckpoint, ...] = ()

    def to_json(self) -> str:
        """Return the text to save."""
        return json.dumps(unstructure(self))

    @classmethod
    def from_json(cls, text: str) -> TrainerCheckpoint:
        """Return the checkpoint that was saved as ``text``."""
        return structure(json.loads(text), cls)
