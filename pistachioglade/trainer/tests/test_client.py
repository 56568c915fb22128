"""A trainer that is killed, and the record of the step that it had just taken.

What users saw: the report lacked the last 1 to 19 samples of a step that its trainer
had taken. The order of events: the step's owner was killed before it had written the
last receipts; 1.8 s later the trainer was, and went on from its checkpoint. The cause:
the checkpoint held open steps only, so nobody kept the receipts of the closed one.
The evidence: of six runs of one seed in which the client's state was printed at its
kill, three still waited for the step's record, and the one that failed was among them;
its logs name the killed process as the step's owner.
"""

from __future__ import annotations

from typing import Any

from ...errors import ErrorKind, Refusal, refuse
from ...messages import Group, Sample, VersionSpan, unstructure
from .. import TrainerCheckpoint, TrainerClient, TrainerSettings


class _Entry:
    """An entry whose step owner dies with what it has heard."""

    def __init__(self) -> None:
        # Indices of the receipts that the owner in office has; None: step not open.
        self.heard: set[int] | None = None
        # Whether the owner gets to write its record.
        self.writes = False

    def post(self, path: str, fields: Any, *_bounds: Any) -> Any | Refusal:
        receipts = {item["index"] for item in fields["receipts"]}
        if not path.endswith("/fetch"):
            assert fields["groups"] and fields["max_tokens"]
            self.heard = receipts
            return {}
        if self.heard is None:
            return refuse(ErrorKind.UNKNOWN_STEP, "not open here", 0.1)
        self.heard |= receipts
        is_due = fields["max_samples"] and not self.heard
        sample = Sample(0, "c", "t", (VersionSpan(1, 3),), "a", "e")
        return {
            "step": 1,
            "samples": unstructure((sample,)) if is_due else [],
            "missing_count": int(not self.heard),
            "is_recorded": self.writes,
        }


def _client(entry: _Entry, checkpoint: TrainerCheckpoint | None) -> TrainerClient:
    client = TrainerClient(TrainerSettings(("http://e",), "token"), checkpoint)
    client._entries = entry  # type: ignore[assignment]
    return client


def test_a_closed_step_is_recorded_though_its_owner_and_its_trainer_are_killed() -> (
    None
):
    entry = _Entry()
    client = _client(entry, None)
    with client.open_step(1, (Group("prompt", 1),), 10) as step:
        assert [sample.index for sample in step] == [0]
    saved = client.checkpoint().to_json()
    # The owner is killed, then the trainer.
    entry.heard = None
    entry.writes = True
    again = _client(entry, TrainerCheckpoint.from_json(saved))
    again.settle(5.0)
    assert entry.heard == {0}
    assert again.checkpoint() == TrainerCheckpoint()


def test_a_checkpoint_of_before_is_read() -> None:
    saved = TrainerCheckpoint.from_json('{"newest_version": 3, "steps": []}')
    assert saved == TrainerCheckpoint(3)
