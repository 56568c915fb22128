"""How a job lives in the store: one object, and small ones that only ever add to it.

Everything is created once and never changed, but for the owner. So a repeated write is
idempotent, a late one is harmless, and of two writers of one position the store takes
the first.

Every entry watches the small kind of jobs:

    JOB              the submission, with its first owner
    JOB.owner        who runs it now, if that has changed
    JOB.end          the trainer has ended it

Nobody watches results; readers get them from the owner, or read them:

    JOB.rN           the N-th batch of results
    JOB.texts        texts of samples that are not finished; the one object that is
                     replaced, since losing any state of it costs only time
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, Final

import attrs

from ..messages import BatchRecord

#: Kind of submissions, owners and ends.
JOB_KIND: Final = "pistachioglade-jobs"
#: Kind of batches of results.
RESULT_KIND: Final = "pistachioglade-results"
_BATCH_DIGITS: Final = 6


class RecordKind(Enum):
    """What an object says of its job."""

    SUBMISSION = ""
    OWNER = "owner"
    END = "end"
    BATCH = "r"
    TEXTS = "texts"


@attrs.frozen
class RecordName:
    """The name of an object, taken apart."""

    # Job that it belongs to.
    job_id: str
    # What it says.
    kind: RecordKind
    # Number of the batch; 0 for others.
    batch: int = 0

    def __str__(self) -> str:
        if self.kind is RecordKind.SUBMISSION:
            return self.job_id
        number = f"{self.batch:0{_BATCH_DIGITS}d}" if self.kind is _BATCH else ""
        return f"{self.job_id}.{self.kind.value}{number}"


_BATCH: Final = RecordKind.BATCH


def parse_name(name: str) -> RecordName | None:
    """Return the parts of a name; None if it isn't one of ours."""
    job_id, _, suffix = name.partition(".")
    if suffix in (kind.value for kind in (RecordKind.OWNER, RecordKind.END)):
        return RecordName(job_id, RecordKind(suffix))
    if not suffix:
        return RecordName(job_id, RecordKind.SUBMISSION)
    if suffix[:1] == _BATCH.value and suffix[1:].isdigit():
        return RecordName(job_id, _BATCH, int(suffix[1:]))
    return None


@attrs.frozen
class Submission:
    """A job as it was accepted."""

    # Entry that accepted it and runs it first: its name, an at sign, its address.
    owner: str
    # Nonce of the process that accepted it.
    boot: str
    # Host that it was submitted to.
    host: str
    # Path that it was submitted to.
    path: str
    # Time of day of its acceptance, in seconds since the epoch.
    accepted_s: float
    # What the trainer sent, undecoded.
    fields: Mapping[str, Any]


def encode_submission(submission: Submission) -> dict[str, Any]:
    """Return the value of a submission's object."""
    return attrs.asdict(submission, recurse=False)


def decode_submission(value: Mapping[str, Any]) -> Submission:
    """Return the submission in an object's value."""
    return Submission(**value)


def encode_batch(batch: BatchRecord) -> dict[str, Any]:
    """Return the value of a batch's object."""
    return attrs.asdict(batch, recurse=False)


def decode_batch(value: Mapping[str, Any]) -> BatchRecord:
    """Return the batch in an object's value."""
    return BatchRecord(
        value["writer"],
        value["start"],
        tuple(value["results"]),
        tuple(value["item_ids"]),
    )
