"""How a job lives in the store: one object, and small ones that only ever add to it.

Everything is created once and never changed, but for the owner. So a repeated write is
idempotent, a late one is harmless, and of two writers of one position the store takes
the first.

Every entry watches the small kind of jobs:

    JOB              the submission's frame, with its first owner
    JOB.owner        who runs it now, if that has changed
    JOB.end          the trainer has ended it

Nobody watches results; readers get them from the owner, or read them:

    JOB.rN           the N-th batch of results
    JOB.pDIGEST.N    the N-th part of what the trainer sent

What a trainer sent, 50 to 100 kB a job, is read by the entry that runs the job and by
few others. In the watched kind, all entries of a fleet that starts again would read all
of it at once.

Texts of samples that are not listed stand in one object for each node, the one thing
that is replaced, since losing any state of it costs only time.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any, Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..messages import BatchRecord
from ..platform import is_whole

#: Kind of submissions, owners and ends.
JOB_KIND: Final = "pistachioglade-jobs"
#: Kind of batches of results.
RESULT_KIND: Final = "pistachioglade-results"
#: Kind of nodes' texts.
TEXT_KIND: Final = "pistachioglade-texts"
_BATCH_DIGITS: Final = 6
_DIGEST_DIGITS: Final = 16
#: Bytes of an object that its names and frame may take.
_FRAME_BYTES: Final = 1024
#: Most times longer that ASCII text of JSON becomes as a JSON string: each quote and
#: each backslash gets one more.
_ESCAPED_TIMES: Final = 2


def stored_bytes(text: str) -> int:
    """Return the most that a text, encoded as JSON, takes inside an object."""
    return _ESCAPED_TIMES * len(text)


class RecordKind(Enum):
    """What an object says of its job."""

    SUBMISSION = ""
    OWNER = "owner"
    END = "end"
    BATCH = "r"


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
    # What the trainer sent, undecoded; empty while it stands in parts.
    fields: Mapping[str, Any]
    # Model of the job.
    model: str = ""
    # How many items it has.
    total: int = 0
    # Parts in which it stands; 0 if it is here.
    part_count: int = 0
    # Digest of the text that the parts make up.
    digest: str = ""
    # Number of the step that it is.
    step: int = 0

    @property
    def is_whole(self) -> bool:
        """Whether what the trainer sent is here."""
        return self.part_count == 0


@attrs.frozen
class SubmissionPart:
    """A part of a submission as the store has it."""

    # Name of its object.
    name: str
    # Its text.
    text: str


def split_submission(
    job_id: str, submission: Submission, max_bytes: int
) -> tuple[Submission, tuple[SubmissionPart, ...]]:
    """Return a submission's frame, and the parts that what was sent stands in.

    Part names hold the digest of the whole, so that parts of two submissions with one
    id never mix.
    """
    text = sent_text(submission)
    digest = hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_DIGITS]
    step = (max_bytes - _FRAME_BYTES) // _ESCAPED_TIMES
    parts = tuple(
        SubmissionPart(part_name(job_id, digest, number), text[start : start + step])
        for number, start in enumerate(range(0, len(text), step))
    )
    kept = attrs.evolve(submission, fields={}, part_count=len(parts), digest=digest)
    return kept, parts


def sent_text(submission: Submission) -> str:
    """Return the text that the parts of a whole submission make up."""
    return json.dumps(submission.fields)


def rejoined(kept: Submission, submission: Submission) -> Submission:
    """Return the stored submission with what was sent, if both are of the same."""
    if kept.is_whole or kept.digest != submission.digest:
        return kept
    return attrs.evolve(kept, fields=submission.fields, part_count=0)


def part_name(job_id: str, digest: str, number: int) -> str:
    """Return the name of a part's object."""
    return f"{job_id}.p{digest}.{number:0{_BATCH_DIGITS}d}"


def joined_fields(submission: Submission, texts: Iterable[str]) -> dict[str, Any]:
    """Return what the trainer sent; ValueError if the parts don't make it up."""
    text = "".join(texts)
    digest = hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_DIGITS]
    if digest != submission.digest:
        raise ValueError(f"parts have digest {digest}, not {submission.digest}")
    fields = json.loads(text)
    if not isinstance(fields, dict):
        raise ValueError("parts make up no object")
    return fields


def encode_submission(submission: Submission) -> dict[str, Any]:
    """Return the value of a submission's object."""
    return attrs.asdict(submission, recurse=False)


def decode_submission(value: Any) -> Submission | Refusal:
    """Return the submission in an object's value, or why there is none."""
    try:
        read = Submission(**value)
    except TypeError as error:
        return _unreadable("submission", error)
    texts = (read.owner, read.boot, read.host, read.path, read.model, read.digest)
    numbers = (read.total, read.part_count, read.step)
    is_sound = (
        all(isinstance(text, str) for text in texts)
        and isinstance(read.accepted_s, int | float)
        and all(map(is_whole, numbers))
        and isinstance(read.fields, Mapping)
    )
    return read if is_sound else _unreadable("submission", "a field of another type")


def encode_batch(batch: BatchRecord) -> dict[str, Any]:
    """Return the value of a batch's object."""
    return attrs.asdict(batch, recurse=False)


def decode_batch(value: Any) -> BatchRecord | Refusal:
    """Return the batch in an object's value, or why there is none."""
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
    if not is_whole(batch.start) or not all(isinstance(text, str) for text in texts):
        return _unreadable("batch", "a field of another type")
    return batch


@attrs.frozen
class OwnerChange:
    """Who runs a job now."""

    # The entry that runs it.
    owner: str
    # The entry that ran it before.
    earlier: str
    # Whether that one lived when the job passed on.
    is_alive: bool


def decode_owner_change(value: Any) -> OwnerChange | Refusal:
    """Return the change in an object's value, or why there is none."""
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
    """Return a refusal of bounded length, whatever an object holds."""
    return refuse(ErrorKind.UNREADABLE, f"{what}: {why!s:.120}")
