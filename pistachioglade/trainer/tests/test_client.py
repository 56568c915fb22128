"""The record of a closed step whose owner and trainer are both killed.

The failure: the report lacks the last 1 to 19 samples of a step that its trainer has
taken. The step's owner is killed before the last receipts are written; 1.8 s later the
trainer is killed and restarts from its checkpoint. If the checkpoint holds open steps
only, no process has the receipts of the closed step.
"""

from __future__ import annotations

from typing import Any

from ...errors import ErrorKind, Refusal, refuse
from ...messages import Group, Sample, VersionSpan, unstructure
from .. import TrainerCheckpoint, TrainerClient, TrainerSettings


class _Entry:
    """An entry whose step owner loses its receipts when killed."""

    def __init__(self) -> None:
        # Indices of the receipts that the current owner has; None: step not open.
        self.received: set[int] | None = None
        # Whether the owner writes its record.
        self.writes = False

    def post(self, path: str, fields: Any, *_bounds: Any) -> Any | Refusal:
        receipts = {item["index"] for item in fields["receipts"]}
        if not path.endswith("/fetch"):
            assert fields["groups"] and fields["max_tokens"]
            self.received = receipts
            return {}
        if self.received is None:
            return refuse(ErrorKind.UNKNOWN_STEP, "not open here", 0.1)
        self.received |= receipts
        is_due = fields["max_samples"] and not self.received
        sample = Sample(0, "c", "t", (VersionSpan(1, 3),), "a", "e")
        return {
            "step": 1,
            "samples": unstructure((sample,)) if is_due else [],
            "missing_count": int(not self.received),
            "is_recorded": self.writes,
        }


def _client(entry: _Entry, checkpoint: TrainerCheckpoint | None) -> TrainerClient:
    client = TrainerClient(TrainerSettings(("http://e",), "token"), checkpoint)
    client._entries = entry  # type: ignore[assignment]
    return client


def test_a_closed_step_is_recorded_after_its_owner_and_trainer_are_killed() -> None:
    entry = _Entry()
    client = _client(entry, None)
    with client.open_step(1, (Group("prompt", 1),), 10) as step:
        assert [sample.index for sample in step] == [0]
    saved = client.checkpoint().to_json()
    # The owner is killed, then the trainer.
    entry.received = None
    entry.writes = True
    again = _client(entry, TrainerCheckpoint.from_json(saved))
    again.confirm_records(5.0)
    assert entry.received == {0}
    assert again.checkpoint() == TrainerCheckpoint()


def test_a_checkpoint_without_unrecorded_steps_is_read() -> None:
    saved = TrainerCheckpoint.from_json('{"newest_version": 3, "steps": []}')
    assert saved == TrainerCheckpoint(3)
