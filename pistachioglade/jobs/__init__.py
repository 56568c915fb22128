"""Jobs: their layout in the store, their owners and runs, and their results."""

from ._cleaner import JobCleaner
from ._content import JobContent, decode_content, digest_of, reserving
from ._ledger import JobLedger, JobState, RecordSource
from ._owner import JobOwner
from ._reader import JobReader, address_of, node_of
from ._records import (
    JOB_KIND,
    RESULT_KIND,
    TEXT_KIND,
    RecordKind,
    RecordName,
    Submission,
    decode_submission,
    encode_batch,
    encode_submission,
    parse_name,
)
from ._submission_parts import SubmissionParts

__all__ = [
    "JOB_KIND",
    "RESULT_KIND",
    "TEXT_KIND",
    "JobCleaner",
    "JobContent",
    "JobLedger",
    "JobOwner",
    "JobReader",
    "JobState",
    "RecordKind",
    "RecordName",
    "RecordSource",
    "Submission",
    "SubmissionParts",
    "address_of",
    "decode_content",
    "decode_submission",
    "digest_of",
    "encode_batch",
    "encode_submission",
    "node_of",
    "parse_name",
    "reserving",
]
