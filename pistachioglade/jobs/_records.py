"""Layout of jobs in the store: one object per job, and small objects that add to it.

All objects but the owner's are created once and never changed. A repeated write is
therefore idempotent, a late write is harmless, and of two writers of one position the
store accepts the first.

Every entry watches the kind of jobs, whose objects are small:

    JOB              the submission without the trainer's fields, with the first owner
    JOB.owner        the entry that runs the job now, after a change
    JOB.end          the trainer has ended the job

No entry watches the kind of results; readers ask the owner or read the objects:

    JOB.rN           the N-th batch of results
    JOB.pDIGEST.N    the N-th part of the trainer's fields

The trainer's fields, 50 to 100 kB a job, are read by the entry that runs the job
and by few others. In the watched kind, all entries of a restarting fleet would read all
of them at once.

Texts of samples without a stored result are in one object for each node. That object is
replaced at each save, since losing any state of it costs only time.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..messages import BatchRecord
from ..platform import is_integer

#: Kind of the objects for submissions, owners and ends.
JOB_KIND: Final = "pistachioglade-jobs"
#: Kind of the objects for batches of results and parts of submissions.
RESULT_KIND: Final = "pistachioglade-results"
#: Kind of the objects for nodes' saved texts.
TEXT_KIND: Final = "pistachioglade-texts"
_BATCH_DIGITS: Final = 6


class RecordKind(Enum):
    """What an object records of its job."""

    SUBMISSION = ""
    OWNER = "owner"
    END = "end"
    BATCH = "r"


@attrs.frozen
class RecordName:
    """The parsed name of an object."""

    # Id of the job.
    job_id: str
    # What the object records.
    kind: RecordKind
    # Number of the batch; 0 for other objects.
    batch: int = 0

    def __str__(self) -> str:
        if self.kind is RecordKind.SUBMISSION:
            return self.job_id
        number = f"{self.batch:0{_BATCH_DIGITS}d}" if self.kind is _BATCH else ""
        return f"{self.job_id}.{self.kind.value}{number}"


_BATCH: Final = RecordKind.BATCH


def parse_name(name: str) -> RecordName | None:
    """Parse an object's name; return None if no job's object has such a name."""
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

    # Entry that accepted the job and runs it first: node name, at sign, address.
    owner: str
    # Nonce of the process that accepted the job.
    boot: str
    # Host that the job was submitted to.
    host: str
    # Path that the job was submitted to.
    path: str
    # Wall-clock time of the acceptance, in seconds since the epoch.
    accepted_s: float
    # Fields that the trainer sent, undecoded; empty in the records of this build.
    fields: Mapping[str, Any]
    # Model that the job asks for.
    model: str = ""
    # Number of items.
    total: int = 0
    # Number of parts that hold the trainer's fields; 0 if ``fields`` has them.
    part_count: int = 0
    # Digest of the joined text of the parts.
    digest: str = ""
    # Number of the trainer's step.
    step: int = 0
    # Account that the job belongs to; empty without accounts, and in the records of
    # builds that knew none.
    account: str = ""

    @property
    def has_fields(self) -> bool:
        """Whether ``fields`` has the trainer's fields, as older builds send them."""
        return self.part_count == 0


def part_name(job_id: str, digest: str, number: int) -> str:
    """Return the name of a part's object."""
    return f"{job_id}.p{digest}.{number:0{_BATCH_DIGITS}d}"


def encode_submission(submission: Submission) -> dict[str, Any]:
    """Return the value of a submission's object."""
    fields = attrs.asdict(submission, recurse=False)
    if not submission.account:
        # Builds that know no accounts refuse a record with an unknown field.
        del fields["account"]
    return fields


def decode_submission(value: Any) -> Submission | Refusal:
    """Decode a submission from an object's value; return a refusal if invalid."""
    try:
        submission = Submission(**value)
    except TypeError as error:
        return _unreadable("submission", error)
    texts = (
        submission.owner,
        submission.boot,
        submission.host,
        submission.path,
        submission.model,
        submission.digest,
        submission.account,
    )
    numbers = (submission.total, submission.part_count, submission.step)
    is_valid = (
        all(isinstance(text, str) for text in texts)
        and isinstance(submission.accepted_s, int | float)
        and all(map(is_integer, numbers))
        and isinstance(submission.fields, Mapping)
    )
    return (
        submission if is_valid else _unreadable("submission", "a field of another type")
    )


def encode_batch(batch: BatchRecord) -> dict[str, Any]:
    """Return the value of a batch's object."""
    return attrs.asdict(batch, recurse=False)


def decode_batch(value: Any) -> BatchRecord | Refusal:
    """Decode a batch from an object's value; return a refusal if invalid."""
    try:
        batch = BatchRecord(
            value["writer"],
            value["start"],
            tuple(value["results"]),
            tuple(value["item_ids"]),
        )
    except (IndexError, KeyError, TypeError) as error:
        return _unreadable("batch", error)
    texts = (batch.writer, *batch.results, *batch.item_ids)
    if not is_integer(batch.start) or not all(isinstance(text, str) for text in texts):
        return _unreadable("batch", "a field of another type")
    return batch


@attrs.frozen
class OwnerChange:
    """The change of a job's owner."""

    # Entry that runs the job now.
    owner: str
    # Entry that ran the job before.
    earlier: str
    # Whether the earlier owner was alive at the change.
    is_alive: bool


def decode_owner_change(value: Any) -> OwnerChange | Refusal:
    """Decode a change of owner from an object's value; return a refusal if invalid."""
    try:
        change = OwnerChange(value["owner"], value["earlier"], value["is_alive"])
    except (IndexError, KeyError, TypeError) as error:
        return _unreadable("owner", error)
    names = (change.owner, change.earlier)
    if not all(isinstance(name, str) for name in names):
        return _unreadable("owner", "a name of another type")
    if not isinstance(change.is_alive, bool):
        return _unreadable("owner", "is_alive of another type")
    return change


def _unreadable(what: str, why: object) -> Refusal:
    """Return a refusal with a reason of bounded length."""
    return refuse(ErrorKind.UNREADABLE, f"{what}: {why!s:.120}")
